package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/pkg/claim"
	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/limit"
	"github.com/chicorystall/chicorystall/pkg/queue"
	"github.com/chicorystall/chicorystall/pkg/retry"
)

// servicesPrefix is the path prefix of plain services.
const servicesPrefix = "/services/"

// reasonNoWorker is the reason of a refusal if no worker of the service in this data
// centre is available.
const reasonNoWorker = "no-open-worker"

// serviceBootID replaces the boot ID of workers of plain services, which report
// none.
const serviceBootID = "service"

// serviceCall is a request to a plain service.
type serviceCall struct {
	service       fleet.Service
	path          string // as sent to the service, with the query
	nonIdempotent bool   // the call must run at most once
}

// serveService runs a request to a plain service.
func (s *Server) serveService(ctx context.Context, req *request, answer *answerWriter) {
	call, refused := s.parseServiceCall(req)
	if refused != nil {
		s.refuseRequest(req, answer, refused)
		return
	}
	if call.service.RequestTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, call.service.RequestTimeout)
		defer cancel()
		req.Deadline, _ = ctx.Deadline()
	}
	if otherDataCentre, ok := s.serviceDataCentre(req, call.service.Name); ok {
		s.forwardService(ctx, req, otherDataCentre, answer)
		return
	}
	if call.nonIdempotent {
		refused = s.runOnce(ctx, req, call, answer)
	} else {
		refused = s.runWithRetries(ctx, req, call, answer)
	}
	if refused != nil && refused.Reason == reasonNoWorker {
		if otherDataCentre, ok := s.serviceDataCentre(req, call.service.Name); ok {
			s.forwardService(ctx, req, otherDataCentre, answer)
			return
		}
	}
	if refused != nil {
		s.refuseRequest(req, answer, refused)
	}
}

func (s *Server) parseServiceCall(req *request) (serviceCall, *refusal) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(req.Path, servicesPrefix), "/")
	service, known := s.config.State().Config().Service(name)
	if !known {
		return serviceCall{}, notRunRefusal(http.StatusNotFound, "no-such-service", "service %q does not exist", name)
	}
	call := serviceCall{service: service, path: "/" + rest}
	call.nonIdempotent = isNonIdempotent(service, req.Method, withoutQuery(call.path))
	if call.nonIdempotent && req.Header.Get(headerIdempotencyKey) == "" {
		return serviceCall{}, badRequest("%s %s may not be repeated and needs the header %s with a UUID of version 7", req.Method, call.path, headerIdempotencyKey)
	}
	return call, nil
}

// serviceDataCentre returns the data centre to forward a request to if this one has
// no available worker of the service.
func (s *Server) serviceDataCentre(req *request, service string) (string, bool) {
	config := s.config.State().Config()
	open := make(map[string]bool)
	for _, server := range config.BackendServers {
		if server.Service == service && !s.fleet.isLeaving(server.Name) {
			open[server.DataCentre] = true
		}
	}
	for _, dc := range config.DataCentres {
		if s.isDrained(dc) {
			delete(open, dc.Name)
		}
	}
	if open[s.settings.DataCentre] || len(req.Via) > 0 {
		return "", false
	}
	for name := range open {
		if _, _, ok := s.choosePeer(name, req); ok {
			return name, true
		}
	}
	return "", false
}

func (s *Server) forwardService(ctx context.Context, req *request, dataCentre string, answer *answerWriter) {
	refused := s.forward(ctx, req, dataCentre, answer)
	if refused != nil {
		s.refuseRequest(req, answer, refused)
	}
}

// runWithRetries runs a call until it is answered, a retry is not allowed or the
// deadline passes.
func (s *Server) runWithRetries(ctx context.Context, req *request, call serviceCall, answer *answerWriter) *refusal {
	attempt := retry.Attempt{Number: max(1, req.Attempt), Deadline: req.Deadline}
	avoid := ""
	for {
		permit, refused := s.acquireServiceWorker(ctx, req, call, avoid)
		if refused != nil {
			return refused
		}
		reply, err := s.callService(ctx, req, call, permit, "")
		s.book.Release(ctx, permit, err == nil)
		if err == nil && !reply.NotStarted {
			return s.sendReply(reply, answer)
		}
		refused = serviceRefusal(ctx, reply, err)
		avoid = permit.Backend
		next := s.retries.Next(time.Now(), attempt, retry.Failure{
			Server:     avoid,
			Repeatable: refused.Outcome == outcomeNotRun || isIdempotentMethod(req.Method),
			RetryAfter: refused.RetryAfter,
		})
		if next.Reason != retry.Allowed {
			return refused.withRetryAfter(next.RetryAfter)
		}
		s.logRetry(req, attempt, refused, next)
		if !sleep(ctx, next.Delay) {
			return refused
		}
		attempt = attempt.WithNext()
	}
}

// serviceRefusal returns the refusal of a call without an answer. It states whether
// the call may have run.
func serviceRefusal(ctx context.Context, reply *engine.Reply, err error) *refusal {
	switch {
	case err == nil:
		return notRunRefusal(http.StatusServiceUnavailable, "worker-refused", "the service's worker did not start the call").withRetryAfter(reply.RetryAfter)
	case errors.Is(err, engine.ErrNotSent):
		return notRunRefusal(http.StatusServiceUnavailable, "worker-unreachable", "the service's worker is unreachable: %v", err).withRetryAfter(time.Second)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refused := unknownRefusal("deadline", "the deadline passed before the service answered")
		refused.Status = http.StatusGatewayTimeout
		return refused
	case ctx.Err() != nil:
		return unknownRefusal("cancelled", "the call was cancelled before the service answered")
	}
	return unknownRefusal("worker-lost", "the service's worker did not answer: %v", err)
}

// acquireServiceWorker waits for an available worker of the service and returns a
// permit for it.
func (s *Server) acquireServiceWorker(ctx context.Context, req *request, call serviceCall, avoid string) (limit.Permit, *refusal) {
	var permit limit.Permit
	noWorker := false
	entry := queue.Entry{
		Account:  req.Account,
		Weight:   s.accountWeight(req.Account),
		Priority: req.Priority,
		Cost:     1,
		Bytes:    len(req.Body),
		Deadline: req.Deadline,
	}
	gate := s.queues.queue(servicesPrefix + call.service.Name)
	err := gate.WaitFor(ctx, entry, func() bool {
		workers := s.serviceWorkers(call.service.Name, avoid)
		noWorker = len(workers) == 0
		for _, worker := range workers {
			acquired, ok := s.book.TryAcquire(worker.Name, 0)
			if ok {
				permit = acquired
				return true
			}
		}
		if !noWorker {
			s.book.RequestLoan(ctx, workers[0].Name, 0)
		}
		return noWorker
	})
	switch {
	case err != nil:
		return permit, placeRefusal(err, nil)
	case noWorker:
		return permit, notRunRefusal(http.StatusServiceUnavailable, reasonNoWorker, "service %q has no available worker", call.service.Name).withRetryAfter(time.Second)
	case ctx.Err() != nil:
		s.book.Release(context.WithoutCancel(ctx), permit, false)
		return permit, placeRefusal(ctx.Err(), nil)
	}
	s.log.WithFields(logrus.Fields{
		"request":     req.ID,
		"account":     req.Account,
		"service":     call.service.Name,
		"instance":    permit.Backend,
		"data_centre": s.settings.DataCentre,
		"reason":      "LeastInFlight",
	}).Info("routing decision")
	return permit, nil
}

// serviceWorkers returns the available workers of a service in this data centre. The
// one with the fewest requests of this instance in flight comes first.
func (s *Server) serviceWorkers(service, avoid string) []fleet.BackendServer {
	config := s.config.State().Config()
	if dc, ok := config.DataCentre(s.settings.DataCentre); ok && s.isDrained(dc) {
		return nil
	}
	var workers []fleet.BackendServer
	for _, server := range config.BackendServers {
		local := server.Service == service && server.DataCentre == s.settings.DataCentre
		if local && !s.fleet.isLeaving(server.Name) {
			workers = append(workers, server)
		}
	}
	s.sortByInFlight(workers, avoid)
	return workers
}

func (s *Server) callService(ctx context.Context, req *request, call serviceCall, permit limit.Permit, key string) (*engine.Reply, error) {
	server, known := s.config.State().Config().BackendServer(permit.Backend)
	if !known {
		return nil, &engine.CallError{Err: errors.Newf("backend server %q is no longer configured", permit.Backend)}
	}
	return s.pool.Service(server.Address).Do(ctx, engine.Call{
		ID:             req.ID,
		Method:         req.Method,
		Path:           call.path,
		Header:         passedHeader(req.Header),
		Body:           req.Body,
		IdempotencyKey: key,
	})
}

// passedHeader returns the header fields of a caller that are passed on to a
// service.
func passedHeader(header http.Header) http.Header {
	passed := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", "User-Agent"} {
		if value := header.Get(name); value != "" {
			passed.Set(name, value)
		}
	}
	return passed
}

// sendReply sends the complete answer of a service to the caller.
func (s *Server) sendReply(reply *engine.Reply, answer *answerWriter) *refusal {
	return s.sendAnswer(claim.NewAnswer(reply.Status, reply.Header, serviceAnswerHeaders, reply.Body, len(reply.Body)), answer)
}

// serviceAnswerHeaders lists the header fields of a service's answer that are passed
// on to the caller.
var serviceAnswerHeaders = []string{"Content-Type", "Location", "Etag", "Last-Modified", "Cache-Control"}

func (s *Server) sendAnswer(stored claim.Answer, answer *answerWriter) *refusal {
	header := stored.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(headerOutcome, outcomeComplete.String())
	if err := answer.writeWhole(stored.Status, header, stored.Body); err != nil {
		return unknownRefusal("caller-lost", "the answer could not be delivered: %v", err)
	}
	return nil
}
