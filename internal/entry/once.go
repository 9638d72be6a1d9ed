package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/pkg/claim"
	"github.com/chicorystall/chicorystall/pkg/placement"
	"github.com/chicorystall/chicorystall/pkg/retry"
)

const (
	// recordTimeout is how long an answer is delayed until the record about its
	// claim is on the log.
	recordTimeout = time.Second
	// maxStoredAnswersBytes limits the answers that are kept in memory for repeated
	// idempotency keys.
	maxStoredAnswersBytes = 8 << 20
)

// runOnce runs a non-idempotent call under a claim on its idempotency key.
func (s *Server) runOnce(ctx context.Context, req *request, call serviceCall, answer *answerWriter) *refusal {
	key, err := claim.NewKey(req.Account, call.service.Name, req.Header.Get(headerIdempotencyKey))
	if err != nil {
		return badRequest("header %s: %v", headerIdempotencyKey, err)
	}
	attempt := retry.Attempt{Number: max(1, req.Attempt), Deadline: req.Deadline}
	digest := claim.DigestOf([]byte(req.Method), []byte(call.path), req.Body)
	for {
		decision, err := s.claimant.Begin(ctx, key, digest)
		if err != nil {
			return claimRefusal(err, req.Attempt == 1)
		}
		s.logClaim(req, key, decision)
		if decision.Kind != claim.Run {
			return s.sendClaimOutcome(decision, answer)
		}
		refused, retryable := s.runWithGrant(ctx, req, call, decision.Grant, key, answer)
		if !retryable {
			return refused
		}
		next := s.retries.Next(time.Now(), attempt, retry.Failure{Server: call.service.Name, Repeatable: true, RetryAfter: refused.RetryAfter})
		if next.Reason != retry.Allowed || !sleep(ctx, next.Delay) {
			return refused.withRetryAfter(max(next.RetryAfter, time.Second))
		}
		s.logRetry(req, attempt, refused, next)
		attempt = attempt.WithNext()
	}
}

// runWithGrant sends the call once. It sets retryable if the call certainly did not
// run and may be sent again.
func (s *Server) runWithGrant(ctx context.Context, req *request, call serviceCall, grant *claim.Grant, key claim.Key, answer *answerWriter) (refused *refusal, retryable bool) {
	permit, refused := s.acquireServiceWorker(ctx, req, call, "")
	if refused != nil {
		recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
		defer cancel()
		s.logLateRecord(grant.Release(recordCtx, refused.Reason))
		return refused, false
	}
	defer func() { s.book.Release(context.WithoutCancel(ctx), permit, refused == nil) }()
	if err := grant.Use(); err != nil {
		return unknownRefusal("claim-ended", "the claim on the key can't be used: %v", err), false
	}
	reply, err := s.callService(ctx, req, call, permit, key.ID.String())
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	switch {
	case err == nil && !reply.NotStarted:
		stored := claim.NewAnswer(reply.Status, reply.Header, serviceAnswerHeaders, reply.Body, s.settings.Limits.MaxAnswerBytes)
		s.logLateRecord(grant.Complete(recordCtx, stored))
		return s.sendReply(reply, answer), false
	case err == nil || errors.Is(err, engine.ErrNotSent):
		refused = serviceRefusal(ctx, reply, err)
		s.logLateRecord(grant.Release(recordCtx, refused.Reason))
		return refused, true
	}
	refused = serviceRefusal(ctx, reply, err)
	s.logLateRecord(grant.Abandon(recordCtx, refused.Reason))
	return refused, false
}

// logLateRecord logs that a record of a claim was not written in time. The record is
// written later, unless this process ends before. Until then a repeated key is
// answered from the memory of this process.
func (s *Server) logLateRecord(err error) {
	if err != nil {
		s.log.WithError(err).Warn("record of a claim is late")
	}
}

// sendClaimOutcome answers a request whose idempotency key was claimed before.
func (s *Server) sendClaimOutcome(decision claim.Decision, answer *answerWriter) *refusal {
	s.counters.add("KeysRepeated", 1)
	switch decision.Kind {
	case claim.Replay:
		if decision.Answer.Kept {
			return s.sendAnswer(decision.Answer, answer)
		}
		return &refusal{
			Outcome: outcomeComplete, Status: http.StatusConflict, Reason: "answer-not-kept",
			Detail: "the request ran and was answered, but its answer was too large to be stored",
		}
	case claim.NotRun:
		return notRunRefusal(http.StatusServiceUnavailable, "not-run", "an earlier attempt did not run: %s", decision.Reason).withRetryAfter(decision.RetryAfter)
	case claim.Conflict:
		return notRunRefusal(http.StatusUnprocessableEntity, "key-reused", "the key was used for a request with other content")
	case claim.Pending:
		refused := unknownRefusal("running", "another attempt with this key is still running").withRetryAfter(max(decision.RetryAfter, time.Second))
		refused.Status = http.StatusConflict
		return refused
	}
	return unknownRefusal("may-have-run", "an earlier attempt may have run: %s", decision.Reason)
}

// claimRefusal returns the refusal of a request whose idempotency key could not be
// claimed. It states whether an attempt with the key may have run.
func claimRefusal(err error, firstAttempt bool) *refusal {
	var futureKey *claim.FutureKeyError
	if errors.As(err, &futureKey) {
		return badRequest("header %s: %v", headerIdempotencyKey, err)
	}
	var unavailable *claim.UnavailableError
	if !errors.As(err, &unavailable) {
		return unknownRefusal("claim-failed", "the key could not be claimed: %v", err)
	}
	outcome := unavailable.Outcome(firstAttempt)
	if outcome.Kind == claim.NotRun {
		return notRunRefusal(http.StatusServiceUnavailable, "log-unavailable", "the request was not run, since its key could not be claimed: %v", err).withRetryAfter(unavailable.RetryAfter)
	}
	refused := unknownRefusal("log-unavailable", "this attempt was not run; whether an earlier one ran is not known at present: %v", err).withRetryAfter(unavailable.RetryAfter)
	refused.Status = http.StatusServiceUnavailable
	return refused
}

func (s *Server) logClaim(req *request, key claim.Key, decision claim.Decision) {
	s.log.WithFields(logrus.Fields{
		"request": req.ID,
		"account": req.Account,
		"service": key.Service,
		"key":     key.ID.String(),
		"reason":  decision.Kind.String(),
	}).Info("claim decision")
}

// claimQuery is what one entry instance asks another about a claim. It is sent as
// JSON, so the names of its fields are part of the protocol.
type claimQuery struct {
	Claimant claim.ClaimantID
	Key      claim.Key
	Claim    claim.ClaimID
}

// claimReply is the answer to a claimQuery, sent as JSON. OtherRun says that the
// claim belongs to an earlier run of the entry instance.
type claimReply struct {
	OtherRun bool `json:",omitempty"`
	Outcome  claim.Outcome
}

// askClaimant asks another entry instance for the outcome of its claim.
func (s *Server) askClaimant(ctx context.Context, claimant claim.ClaimantID, key claim.Key, id claim.ClaimID) (claim.Outcome, error) {
	name, bootID, _ := strings.Cut(string(claimant), "/")
	if s.fleet.hasEnded(placement.Process{Name: name, BootID: bootID}) {
		return claim.Outcome{}, claim.ErrClaimantEnded
	}
	address, known := s.members.Address(name)
	if !known {
		return claim.Outcome{}, errors.Newf("address of entry instance %q is not known", name)
	}
	query, err := json.Marshal(claimQuery{Claimant: claimant, Key: key, Claim: id})
	if err != nil {
		return claim.Outcome{}, err
	}
	data, err := s.peers.AskClaim(ctx, address, query)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return claim.Outcome{}, errors.Mark(err, claim.ErrClaimantEnded) // no process listens at the address
	}
	if err != nil {
		return claim.Outcome{}, err
	}
	var reply claimReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return claim.Outcome{}, err
	}
	if reply.OtherRun {
		return claim.Outcome{}, claim.ErrClaimantEnded
	}
	return reply.Outcome, nil
}

// handleAskClaim answers another entry instance's query about a claim of this
// instance.
func (s *Server) handleAskClaim(_ context.Context, _ string, data []byte) ([]byte, error) {
	var query claimQuery
	if err := json.Unmarshal(data, &query); err != nil {
		return nil, err
	}
	if query.Claimant != s.claimant.ID {
		return json.Marshal(claimReply{OtherRun: true})
	}
	return json.Marshal(claimReply{Outcome: s.claimant.Outcome(query.Key, query.Claim)})
}
