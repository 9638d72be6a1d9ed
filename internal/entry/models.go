package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/pkg/group"
	"github.com/chicorystall/chicorystall/pkg/limit"
	"github.com/chicorystall/chicorystall/pkg/queue"
	"github.com/chicorystall/chicorystall/pkg/retry"
	"github.com/chicorystall/chicorystall/pkg/route"
)

// maxMisses bounds how often a request is placed anew because nothing answered
// where it was placed.
const maxMisses = 5

// choicesPerTry bounds how many backend servers one try to place looks at.
const choicesPerTry = 3

// placed is where a model request runs: at a backend server of this data centre
// with a permit, or in another data centre.
type placed struct {
	Decision route.Decision
	Permit   limit.Permit
	Ticket   group.Ticket
}

// serveModel runs a model request. Engines answer the same request twice
// without harm, so a try that delivered nothing may be repeated elsewhere.
func (s *Server) serveModel(ctx context.Context, req *request, to *answer) {
	m, refused := parseModelRequest(req.Path, req.Body, s.settings.Limits)
	if refused != nil {
		s.refuseRequest(req, to, refused)
		return
	}
	attempt := retry.Attempt{Number: max(1, req.Attempt), Deadline: req.Deadline, Forwarded: len(req.Via) > 0}
	avoid := ""
	misses := 0
	for {
		where, refused := s.place(ctx, req, m, avoid)
		if refused == nil {
			refused = s.runModel(ctx, req, m, where, attempt, to)
		}
		if refused == nil {
			return
		}
		if to.started || !refused.retriable {
			s.refuseRequest(req, to, refused)
			return
		}
		avoid = where.Decision.Backend
		if refused.neverSent && misses < maxMisses {
			misses++ // nothing was written to a backend server, which is no retry
			continue
		}
		next := s.retries.Next(time.Now(), attempt, retry.Failure{
			Server: avoid, Repeatable: true, RetryAfter: refused.RetryAfter,
		})
		if next.Reason != retry.Allowed {
			s.refuseRequest(req, to, refused.after(next.RetryAfter))
			return
		}
		s.logRetry(req, attempt, refused, next)
		if !sleep(ctx, next.Delay) {
			s.refuseRequest(req, to, refused)
			return
		}
		attempt = attempt.WithNext()
	}
}

// place waits for a backend server that takes the request.
func (s *Server) place(ctx context.Context, req *request, m *modelRequest, avoid string) (placed, *refusal) {
	ask := &route.Request{
		Account:      req.Account,
		Model:        m.Model,
		Priority:     req.Priority,
		Blocks:       m.Blocks,
		PromptTokens: m.PromptTokens,
		OutputTokens: m.OutputTokens,
		Random:       rand.Uint64(),
		AvoidBackend: avoid,
		Forwarded:    len(req.Via) > 0,
	}
	priority, allowed := s.picture().view.Priority(req.Account, m.Model)
	if !allowed {
		return placed{}, s.noGroup(ctx, ask)
	}
	var where placed
	var closed *route.Refusal
	entry := queue.Entry{
		Account:  req.Account,
		Weight:   s.weightOf(req.Account),
		Priority: max(priority, req.Priority),
		Cost:     ask.Tokens(),
		Bytes:    len(req.Body),
		Deadline: req.Deadline,
	}
	err := s.waiting.gate(m.Model).WaitFor(ctx, entry, func() bool {
		var taken bool
		where, closed, taken = s.tryPlace(ctx, ask)
		return taken || closed != nil
	})
	if err == nil && closed == nil && ctx.Err() != nil {
		s.releasePermit(where, false)
		err = ctx.Err()
	}
	if refused := placeRefusal(err, closed); refused != nil {
		return placed{}, refused
	}
	s.logDecision(req, where)
	return where, nil
}

// tryPlace looks for a place without waiting. A refusal means that waiting in
// the queue is of no use.
func (s *Server) tryPlace(ctx context.Context, ask *route.Request) (placed, *route.Refusal, bool) {
	look := *ask
	var full []string
	for range choicesPerTry {
		now := s.picture()
		decision, refused := now.view.Choose(&look)
		if refused != nil && refused.Reason != route.ReasonFull {
			return placed{}, refused, false
		}
		if refused != nil {
			break
		}
		if decision.DataCentre != s.settings.DataCentre {
			return placed{Decision: decision}, nil, true
		}
		permit, ok := s.book.TryAcquire(decision.Backend, ask.Tokens())
		if ok {
			return s.taken(ask, decision, permit, now.tickets[decision.Group]), nil, true
		}
		full = append(full, decision.Backend)
		look.AvoidBackend = decision.Backend
		look.Random = rand.Uint64()
	}
	for _, backend := range full {
		s.book.AskFor(ctx, backend, ask.Tokens())
	}
	return placed{}, nil, false
}

// taken notes that a request has a place at a backend server.
func (s *Server) taken(ask *route.Request, decision route.Decision, permit limit.Permit, ticket group.Ticket) placed {
	s.sent.note(decision.Backend, func(sent *route.Sent) {
		sent.Requests++
		sent.PendingTokens += ask.PromptTokens - decision.CachedTokens
	})
	s.open.add(decision.Group, 1)
	return placed{Decision: decision, Permit: permit, Ticket: ticket}
}

// releasePermit gives a place back.
func (s *Server) releasePermit(where placed, completed bool) {
	if where.Permit.Backend == "" {
		return
	}
	s.sent.note(where.Permit.Backend, func(sent *route.Sent) { sent.Ended++ })
	s.open.add(where.Decision.Group, -1)
	s.book.Release(context.Background(), where.Permit, completed)
}

// noGroup tells why no group serves the account's requests for the model.
func (s *Server) noGroup(ctx context.Context, ask *route.Request) *refusal {
	_, closed, _ := s.tryPlace(ctx, ask)
	return placeRefusal(nil, closed)
}

// placeRefusal turns what ended the wait for a place into a refusal.
func placeRefusal(err error, closed *route.Refusal) *refusal {
	var waited *queue.Refusal
	switch {
	case closed != nil && closed.Reason == route.ReasonNotAllowed:
		return notRun(http.StatusNotFound, "no-route", "the preset in force lets this client account use no group with model %q", closed.Model)
	case closed != nil && closed.Reason == route.ReasonTooLarge:
		return notRun(http.StatusBadRequest, "too-large", "no group could ever hold a request of this size")
	case closed != nil:
		return notRun(http.StatusServiceUnavailable, "no-open-group", "no group with model %q is whole and open", closed.Model).after(closed.RetryAfter)
	case errors.As(err, &waited) && waited.Reason == queue.ReasonDeadline:
		return notRun(http.StatusServiceUnavailable, "deadline", "the request would not be served before its deadline").after(waited.RetryAfter)
	case errors.As(err, &waited):
		return notRun(http.StatusServiceUnavailable, "queue-full", "the queue is full").after(waited.RetryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		return notRun(http.StatusServiceUnavailable, "deadline", "the deadline passed while the request waited").after(time.Second)
	case err != nil:
		return notRun(http.StatusServiceUnavailable, "cancelled", "the request was cancelled while it waited")
	}
	return nil
}

// runModel sends the request to where it was placed and passes the answer on.
func (s *Server) runModel(ctx context.Context, req *request, m *modelRequest, where placed, attempt retry.Attempt, to *answer) *refusal {
	if where.Decision.DataCentre != s.settings.DataCentre {
		s.fleet.noteSpill(where.Decision.DataCentre)
		return s.forward(ctx, req, where.Decision.DataCentre, to)
	}
	if attempt.Number <= 1 {
		s.retries.Budgets.RecordFirst(time.Now(), where.Decision.Backend)
	}
	run := &modelRun{server: s, req: req, m: m, where: where, to: to, attempt: attempt.Number}
	refused := run.run(ctx)
	if run.held {
		done := s.hold()
		go func() {
			defer done()
			run.cancelUntilGone(s.work)
			s.releasePermit(where, false)
		}()
	} else {
		s.releasePermit(where, refused == nil)
	}
	s.waiting.gate(m.Model).RecordServed(m.PromptTokens + m.OutputTokens)
	s.finished(req, where, refused)
	return refused
}

func (s *Server) logDecision(req *request, where placed) {
	s.log.WithFields(logrus.Fields{
		"request":       req.ID,
		"account":       req.Account,
		"group":         where.Decision.Group,
		"epoch":         where.Decision.Epoch,
		"instance":      where.Decision.Backend,
		"data_centre":   where.Decision.DataCentre,
		"reason":        where.Decision.Reason.String(),
		"cached_tokens": where.Decision.CachedTokens,
	}).Info("routing decision")
}

func (s *Server) logRetry(req *request, attempt retry.Attempt, refused *refusal, next retry.Decision) {
	s.counters.add("Retries", 1)
	s.log.WithFields(logrus.Fields{
		"request": req.ID,
		"account": req.Account,
		"attempt": attempt.Number,
		"delay":   next.Delay.String(),
		"reason":  refused.Reason,
	}).Info("retry")
}

// sleep waits and reports whether ctx is still alive.
func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}
