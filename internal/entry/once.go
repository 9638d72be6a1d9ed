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
	// recordTimeout is how long an answer waits for its record on the log.
	recordTimeout = time.Second
	// maxStoredAnswersBytes bounds the answers kept in memory for repeated keys.
	maxStoredAnswersBytes = 8 << 20
)

// runOnce runs a call that may not be repeated, under a claim on its key.
func (s *Server) runOnce(ctx context.Context, req *request, call serviceCall, to *answer) *refusal {
	key, err := claim.NewKey(req.Account, call.service.Name, req.Header.Get(headerIdempotencyKey))
	if err != nil {
		return badRequest("header %s: %v", headerIdempotencyKey, err)
	}
	attempt := retry.Attempt{Number: max(1, req.Attempt), Deadline: req.Deadline}
	digest := claim.DigestOf([]byte(req.Method), []byte(call.path), req.Body)
	for {
		decision, err := s.claimant.Begin(ctx, key, digest)
		if err != nil {
			return claimFailure(err, req.Attempt == 1)
		}
		s.logClaim(req, key, decision)
		if decision.Kind != claim.Run {
			return s.tellOutcome(decision, to)
		}
		refused, again := s.runGranted(ctx, req, call, decision.Grant, key, to)
		if !again {
			return refused
		}
		next := s.retries.Next(time.Now(), attempt, retry.Failure{Server: call.service.Name, Repeatable: true, RetryAfter: refused.RetryAfter})
		if next.Reason != retry.Allowed || !sleep(ctx, next.Delay) {
			return refused.after(max(next.RetryAfter, time.Second))
		}
		s.logRetry(req, attempt, refused, next)
		attempt = attempt.WithNext()
	}
}

// runGranted sends the call once. Again is set when it certainly did not run.
func (s *Server) runGranted(ctx context.Context, req *request, call serviceCall, grant *claim.Grant, key claim.Key, to *answer) (refused *refusal, again bool) {
	permit, refused := s.placeService(ctx, req, call, "")
	if refused != nil {
		record, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
		defer cancel()
		s.note(grant.Release(record, refused.Reason))
		return refused, false
	}
	defer func() { s.book.Release(context.WithoutCancel(ctx), permit, refused == nil) }()
	if err := grant.Use(); err != nil {
		return unknown("claim-ended", "the claim can't be used: %v", err), false
	}
	reply, err := s.callService(ctx, req, call, permit, key.ID.String())
	record, cancelRecord := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancelRecord()
	switch {
	case err == nil && !reply.NotStarted:
		stored := claim.NewAnswer(reply.Status, reply.Header, answerHeaders, reply.Body, s.settings.Limits.MaxAnswerBytes)
		s.note(grant.Complete(record, stored))
		return s.sendReply(reply, to), false
	case err == nil || errors.Is(err, engine.ErrNotSent):
		refused = serviceFailure(ctx, reply, err)
		s.note(grant.Release(record, refused.Reason))
		return refused, true
	}
	refused = serviceFailure(ctx, reply, err)
	s.note(grant.Abandon(record, refused.Reason))
	return refused, false
}

// note logs that a record of a claim is late. It is written later as long as
// this process lives; until then a repeated key is answered from its memory.
func (s *Server) note(err error) {
	if err != nil {
		s.log.WithError(err).Warn("record of a claim is late")
	}
}

// tellOutcome answers a key that was claimed before.
func (s *Server) tellOutcome(decision claim.Decision, to *answer) *refusal {
	s.counters.add("KeysRepeated", 1)
	switch decision.Kind {
	case claim.Replay:
		if decision.Answer.Kept {
			return s.sendAnswer(decision.Answer, to)
		}
		return &refusal{
			Outcome: outcomeComplete, Status: http.StatusConflict, Reason: "answer-not-kept",
			Detail: "the request ran and was answered; its answer is too large to be kept",
		}
	case claim.NotRun:
		return notRun(http.StatusServiceUnavailable, "not-run", "an earlier attempt did not run: %s", decision.Reason).after(decision.RetryAfter)
	case claim.Conflict:
		return notRun(http.StatusUnprocessableEntity, "key-reused", "the key belongs to a request with another content")
	case claim.Pending:
		refused := unknown("running", "another attempt with this key still runs").after(max(decision.RetryAfter, time.Second))
		refused.Status = http.StatusConflict
		return refused
	}
	return unknown("may-have-run", "an earlier attempt may have run: %s", decision.Reason)
}

// claimFailure tells what is known of a key that could not be claimed.
func claimFailure(err error, first bool) *refusal {
	var future *claim.FutureKeyError
	if errors.As(err, &future) {
		return badRequest("header %s: %v", headerIdempotencyKey, err)
	}
	var away *claim.UnavailableError
	if !errors.As(err, &away) {
		return unknown("claim-failed", "the key could not be claimed: %v", err)
	}
	outcome := away.Outcome(first)
	if outcome.Kind == claim.NotRun {
		return notRun(http.StatusServiceUnavailable, "log-unavailable", "the request was not run, since its key could not be claimed: %v", err).after(away.RetryAfter)
	}
	refused := unknown("log-unavailable", "this attempt was not run; whether an earlier one ran can't be told now: %v", err).after(away.RetryAfter)
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

// claimQuestion is what one entry instance asks another about a claim.
type claimQuestion struct {
	Claimant claim.ClaimantID
	Key      claim.Key
	Claim    claim.ClaimID
}

// claimReply is the answer. OtherRun says that the claim belongs to an earlier
// run of the entry instance.
type claimReply struct {
	OtherRun bool `json:",omitempty"`
	Outcome  claim.Outcome
}

// askClaimant asks another entry instance what became of its claim.
func (s *Server) askClaimant(ctx context.Context, claimant claim.ClaimantID, key claim.Key, id claim.ClaimID) (claim.Outcome, error) {
	name, bootID, _ := strings.Cut(string(claimant), "/")
	if s.fleet.hasEnded(placement.Process{Name: name, BootID: bootID}) {
		return claim.Outcome{}, claim.ErrClaimantEnded
	}
	address, known := s.members.Address(name)
	if !known {
		return claim.Outcome{}, errors.Newf("address of entry instance %q is not known", name)
	}
	question, err := json.Marshal(claimQuestion{Claimant: claimant, Key: key, Claim: id})
	if err != nil {
		return claim.Outcome{}, err
	}
	data, err := s.peers.AskClaim(ctx, address, question)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return claim.Outcome{}, errors.Mark(err, claim.ErrClaimantEnded) // no process has the address
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

// answerClaim answers another entry instance's question.
func (s *Server) answerClaim(_ context.Context, _ string, data []byte) ([]byte, error) {
	var question claimQuestion
	if err := json.Unmarshal(data, &question); err != nil {
		return nil, err
	}
	if question.Claimant != s.claimant.ID {
		return json.Marshal(claimReply{OtherRun: true})
	}
	return json.Marshal(claimReply{Outcome: s.claimant.Outcome(question.Key, question.Claim)})
}
