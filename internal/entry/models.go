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

// maxUnsentTries limits how often a request may be placed again because it could not
// be sent to the backend server that was chosen.
const maxUnsentTries = 5

// maxChoicesPerTry limits how many backend servers one call of tryPlace considers.
const maxChoicesPerTry = 3

// modelPlace is the place where a model request runs: a backend server of this data
// centre, with a permit for it, or another data centre.
type modelPlace struct {
	Decision route.Decision
	Permit   limit.Permit
	Ticket   group.Ticket
}

// serveModel runs a model request. An attempt that delivered nothing to the caller
// may be repeated elsewhere, because model requests have no side effects.
func (s *Server) serveModel(ctx context.Context, req *request, answer *answerWriter) {
	model, refused := parseModelRequest(req.Path, req.Body, s.settings.Limits)
	if refused != nil {
		s.refuseRequest(req, answer, refused)
		return
	}
	attempt := retry.Attempt{Number: max(1, req.Attempt), Deadline: req.Deadline, Forwarded: len(req.Via) > 0}
	avoid := ""
	unsentTries := 0
	for {
		place, refused := s.place(ctx, req, model, avoid)
		if refused == nil {
			refused = s.runModel(ctx, req, model, place, attempt, answer)
		}
		if refused == nil {
			return
		}
		if answer.started || !refused.retryElsewhere {
			s.refuseRequest(req, answer, refused)
			return
		}
		avoid = place.Decision.Backend
		if refused.notSent && unsentTries < maxUnsentTries {
			unsentTries++ // does not count as a retry, since nothing was sent to a backend server
			continue
		}
		next := s.retries.Next(time.Now(), attempt, retry.Failure{
			Server: avoid, Repeatable: true, RetryAfter: refused.RetryAfter,
		})
		if next.Reason != retry.Allowed {
			s.refuseRequest(req, answer, refused.withRetryAfter(next.RetryAfter))
			return
		}
		s.logRetry(req, attempt, refused, next)
		if !sleep(ctx, next.Delay) {
			s.refuseRequest(req, answer, refused)
			return
		}
		attempt = attempt.WithNext()
	}
}

// place waits in the queue of the model until there is a place for the request.
func (s *Server) place(ctx context.Context, req *request, model *modelRequest, avoid string) (modelPlace, *refusal) {
	routeReq := &route.Request{
		Account:      req.Account,
		Model:        model.Model,
		Priority:     req.Priority,
		Blocks:       model.Blocks,
		PromptTokens: model.PromptTokens,
		OutputTokens: model.OutputTokens,
		Random:       rand.Uint64(),
		AvoidBackend: avoid,
		Forwarded:    len(req.Via) > 0,
	}
	priority, allowed := s.routingState().view.Priority(req.Account, model.Model)
	if !allowed {
		return modelPlace{}, s.noGroupRefusal(ctx, routeReq)
	}
	var place modelPlace
	var routeRefused *route.Refusal
	entry := queue.Entry{
		Account:  req.Account,
		Weight:   s.accountWeight(req.Account),
		Priority: max(priority, req.Priority),
		Cost:     routeReq.Tokens(),
		Bytes:    len(req.Body),
		Deadline: req.Deadline,
	}
	err := s.queues.queue(model.Model).WaitFor(ctx, entry, func() bool {
		var taken bool
		place, routeRefused, taken = s.tryPlace(ctx, routeReq)
		return taken || routeRefused != nil
	})
	if err == nil && routeRefused == nil && ctx.Err() != nil {
		s.releasePlace(place, false)
		err = ctx.Err()
	}
	if refused := placeRefusal(err, routeRefused); refused != nil {
		return modelPlace{}, refused
	}
	s.logDecision(req, place)
	return place, nil
}

// tryPlace looks for a place without waiting. It returns a refusal if the request
// should not wait in the queue.
func (s *Server) tryPlace(ctx context.Context, routeReq *route.Request) (modelPlace, *route.Refusal, bool) {
	query := *routeReq
	var fullBackends []string
	for range maxChoicesPerTry {
		routing := s.routingState()
		decision, refused := routing.view.Choose(&query)
		if refused != nil && refused.Reason != route.ReasonFull {
			return modelPlace{}, refused, false
		}
		if refused != nil {
			break
		}
		if decision.DataCentre != s.settings.DataCentre {
			return modelPlace{Decision: decision}, nil, true
		}
		permit, ok := s.book.TryAcquire(decision.Backend, routeReq.Tokens())
		if ok {
			return s.recordPlaced(routeReq, decision, permit, routing.tickets[decision.Group]), nil, true
		}
		fullBackends = append(fullBackends, decision.Backend)
		query.AvoidBackend = decision.Backend
		query.Random = rand.Uint64()
	}
	for _, backend := range fullBackends {
		s.book.RequestLoan(ctx, backend, routeReq.Tokens())
	}
	return modelPlace{}, nil, false
}

// recordPlaced counts a request as sent to a backend server and returns its place.
func (s *Server) recordPlaced(routeReq *route.Request, decision route.Decision, permit limit.Permit, ticket group.Ticket) modelPlace {
	s.sent.update(decision.Backend, func(sent *route.Sent) {
		sent.Requests++
		sent.PendingTokens += routeReq.PromptTokens - decision.CachedTokens
	})
	s.open.add(decision.Group, 1)
	return modelPlace{Decision: decision, Permit: permit, Ticket: ticket}
}

// releasePlace ends the use of a place and releases its permit. Completed says that
// the backend server answered completely.
func (s *Server) releasePlace(place modelPlace, completed bool) {
	if place.Permit.Backend == "" {
		return
	}
	s.sent.update(place.Permit.Backend, func(sent *route.Sent) { sent.Ended++ })
	s.open.add(place.Decision.Group, -1)
	s.book.Release(context.Background(), place.Permit, completed)
}

// noGroupRefusal returns the refusal that states why no group serves the account's
// requests for the model.
func (s *Server) noGroupRefusal(ctx context.Context, routeReq *route.Request) *refusal {
	_, routeRefused, _ := s.tryPlace(ctx, routeReq)
	return placeRefusal(nil, routeRefused)
}

// placeRefusal returns the refusal of a request that got no place. It returns nil if
// both the error and the routing refusal are nil.
func placeRefusal(err error, routeRefused *route.Refusal) *refusal {
	var queueRefused *queue.Refusal
	switch {
	case routeRefused != nil && routeRefused.Reason == route.ReasonNotAllowed:
		return notRunRefusal(http.StatusNotFound, "no-route", "the preset in force lets this client account use no group with model %q", routeRefused.Model)
	case routeRefused != nil && routeRefused.Reason == route.ReasonTooLarge:
		return notRunRefusal(http.StatusBadRequest, "too-large", "the request is larger than the capacity of any group")
	case routeRefused != nil:
		return notRunRefusal(http.StatusServiceUnavailable, "no-open-group", "no group with model %q is complete and accepts requests", routeRefused.Model).withRetryAfter(routeRefused.RetryAfter)
	case errors.As(err, &queueRefused) && queueRefused.Reason == queue.ReasonDeadline:
		return notRunRefusal(http.StatusServiceUnavailable, "deadline", "the request would not be served before its deadline").withRetryAfter(queueRefused.RetryAfter)
	case errors.As(err, &queueRefused):
		return notRunRefusal(http.StatusServiceUnavailable, "queue-full", "the queue of the model or service is full").withRetryAfter(queueRefused.RetryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		return notRunRefusal(http.StatusServiceUnavailable, "deadline", "the deadline of the request passed while it waited in the queue").withRetryAfter(time.Second)
	case err != nil:
		return notRunRefusal(http.StatusServiceUnavailable, "cancelled", "the request was cancelled while it waited in the queue")
	}
	return nil
}

// runModel sends the request to its place and passes the answer on. If the engine
// may still hold the request afterwards, it is cancelled there in the background.
func (s *Server) runModel(ctx context.Context, req *request, model *modelRequest, place modelPlace, attempt retry.Attempt, answer *answerWriter) *refusal {
	if place.Decision.DataCentre != s.settings.DataCentre {
		s.fleet.countSpill(place.Decision.DataCentre)
		return s.forward(ctx, req, place.Decision.DataCentre, answer)
	}
	if attempt.Number <= 1 {
		s.retries.Budgets.RecordFirst(time.Now(), place.Decision.Backend)
	}
	run := &modelRun{server: s, req: req, model: model, place: place, answer: answer, attempt: attempt.Number}
	refused := run.run(ctx)
	if run.engineMayHold {
		done := s.trackWork()
		go func() {
			defer done()
			run.cancelUntilConfirmed(s.workCtx)
			s.releasePlace(place, false)
		}()
	} else {
		s.releasePlace(place, refused == nil)
	}
	s.queues.queue(model.Model).RecordServed(model.PromptTokens + model.OutputTokens)
	s.logFailedRequest(req, place, refused)
	return refused
}

func (s *Server) logDecision(req *request, place modelPlace) {
	s.log.WithFields(logrus.Fields{
		"request":       req.ID,
		"account":       req.Account,
		"group":         place.Decision.Group,
		"epoch":         place.Decision.Epoch,
		"instance":      place.Decision.Backend,
		"data_centre":   place.Decision.DataCentre,
		"reason":        place.Decision.Reason.String(),
		"cached_tokens": place.Decision.CachedTokens,
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

// sleep waits for the duration. It returns false if ctx ended first.
func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}
