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

// servicesPrefix begins the paths of plain services.
const servicesPrefix = "/services/"

// reasonNoWorker is the reason of a refusal when no worker here is open.
const reasonNoWorker = "no-open-worker"

// serviceBoot stands for the boot ID of a plain service's worker, which tells none.
const serviceBoot = "service"

// serviceCall is a request to a plain service.
type serviceCall struct {
	service fleet.Service
	path    string // as the service sees it, with the query
	once    bool   // the call may not be repeated
}

// serveService runs a request to a plain service.
func (s *Server) serveService(ctx context.Context, req *request, to *answer) {
	call, refused := s.parseServiceCall(req)
	if refused != nil {
		s.refuseRequest(req, to, refused)
		return
	}
	if call.service.RequestTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, call.service.RequestTimeout)
		defer cancel()
		req.Deadline, _ = ctx.Deadline()
	}
	if elsewhere, ok := s.serviceDataCentre(req, call.service.Name); ok {
		s.forwardService(ctx, req, elsewhere, to)
		return
	}
	if call.once {
		refused = s.runOnce(ctx, req, call, to)
	} else {
		refused = s.runRepeatable(ctx, req, call, to)
	}
	if refused != nil && refused.Reason == reasonNoWorker {
		if elsewhere, ok := s.serviceDataCentre(req, call.service.Name); ok {
			s.forwardService(ctx, req, elsewhere, to)
			return
		}
	}
	if refused != nil {
		s.refuseRequest(req, to, refused)
	}
}

func (s *Server) parseServiceCall(req *request) (serviceCall, *refusal) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(req.Path, servicesPrefix), "/")
	service, known := s.config.State().Config().Service(name)
	if !known {
		return serviceCall{}, notRun(http.StatusNotFound, "no-such-service", "service %q does not exist", name)
	}
	call := serviceCall{service: service, path: "/" + rest}
	call.once = mayNotRepeat(service, req.Method, pathOnly(call.path))
	if call.once && req.Header.Get(headerIdempotencyKey) == "" {
		return serviceCall{}, badRequest("%s %s may not be repeated and needs the header %s with a UUID of version 7", req.Method, call.path, headerIdempotencyKey)
	}
	return call, nil
}

// serviceDataCentre returns the data centre to forward to when this one has no
// open worker of the service.
func (s *Server) serviceDataCentre(req *request, service string) (string, bool) {
	config := s.config.State().Config()
	open := make(map[string]bool)
	for _, server := range config.BackendServers {
		if server.Service == service && !s.fleet.isLeaving(server.Name) {
			open[server.DataCentre] = true
		}
	}
	for _, dc := range config.DataCentres {
		if s.drained(dc) {
			delete(open, dc.Name)
		}
	}
	if open[s.settings.DataCentre] || len(req.Via) > 0 {
		return "", false
	}
	for name := range open {
		if _, _, ok := s.peerIn(name, req); ok {
			return name, true
		}
	}
	return "", false
}

func (s *Server) forwardService(ctx context.Context, req *request, dataCentre string, to *answer) {
	refused := s.forward(ctx, req, dataCentre, to)
	if refused != nil {
		s.refuseRequest(req, to, refused)
	}
}

// runRepeatable runs a call that may be repeated until it has an answer, the
// budget is spent or the deadline passes.
func (s *Server) runRepeatable(ctx context.Context, req *request, call serviceCall, to *answer) *refusal {
	attempt := retry.Attempt{Number: max(1, req.Attempt), Deadline: req.Deadline}
	avoid := ""
	for {
		permit, refused := s.placeService(ctx, req, call, avoid)
		if refused != nil {
			return refused
		}
		reply, err := s.callService(ctx, req, call, permit, "")
		s.book.Release(ctx, permit, err == nil)
		if err == nil && !reply.NotStarted {
			return s.sendReply(reply, to)
		}
		refused = serviceFailure(ctx, reply, err)
		avoid = permit.Backend
		next := s.retries.Next(time.Now(), attempt, retry.Failure{
			Server:     avoid,
			Repeatable: refused.Outcome == outcomeNotRun || isSafe(req.Method),
			RetryAfter: refused.RetryAfter,
		})
		if next.Reason != retry.Allowed {
			return refused.after(next.RetryAfter)
		}
		s.logRetry(req, attempt, refused, next)
		if !sleep(ctx, next.Delay) {
			return refused
		}
		attempt = attempt.WithNext()
	}
}

// serviceFailure tells what is known of a call without an answer.
func serviceFailure(ctx context.Context, reply *engine.Reply, err error) *refusal {
	switch {
	case err == nil:
		return notRun(http.StatusServiceUnavailable, "worker-refused", "the service's worker did not start the call").after(reply.RetryAfter)
	case errors.Is(err, engine.ErrNotSent):
		return notRun(http.StatusServiceUnavailable, "worker-unreachable", "the service's worker could not be reached: %v", err).after(time.Second)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refused := unknown("deadline", "the deadline passed before the service answered")
		refused.Status = http.StatusGatewayTimeout
		return refused
	case ctx.Err() != nil:
		return unknown("cancelled", "the call was cancelled before the service answered")
	}
	return unknown("worker-lost", "the service's worker did not answer: %v", err)
}

// placeService waits for a worker of the service.
func (s *Server) placeService(ctx context.Context, req *request, call serviceCall, avoid string) (limit.Permit, *refusal) {
	var permit limit.Permit
	closed := false
	entry := queue.Entry{
		Account:  req.Account,
		Weight:   s.weightOf(req.Account),
		Priority: req.Priority,
		Cost:     1,
		Bytes:    len(req.Body),
		Deadline: req.Deadline,
	}
	gate := s.waiting.gate(servicesPrefix + call.service.Name)
	err := gate.WaitFor(ctx, entry, func() bool {
		workers := s.serviceWorkers(call.service.Name, avoid)
		closed = len(workers) == 0
		for _, worker := range workers {
			taken, ok := s.book.TryAcquire(worker.Name, 0)
			if ok {
				permit = taken
				return true
			}
		}
		if !closed {
			s.book.AskFor(ctx, workers[0].Name, 0)
		}
		return closed
	})
	switch {
	case err != nil:
		return permit, placeRefusal(err, nil)
	case closed:
		return permit, notRun(http.StatusServiceUnavailable, reasonNoWorker, "service %q has no open worker", call.service.Name).after(time.Second)
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

// serviceWorkers returns the open workers of a service here, the one with the
// least work of this instance first.
func (s *Server) serviceWorkers(service, avoid string) []fleet.BackendServer {
	config := s.config.State().Config()
	if dc, ok := config.DataCentre(s.settings.DataCentre); ok && s.drained(dc) {
		return nil
	}
	var workers []fleet.BackendServer
	for _, server := range config.BackendServers {
		mine := server.Service == service && server.DataCentre == s.settings.DataCentre
		if mine && !s.fleet.isLeaving(server.Name) {
			workers = append(workers, server)
		}
	}
	s.sortByWork(workers, avoid)
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

// passedHeader returns the fields of a caller's header that a service sees.
func passedHeader(header http.Header) http.Header {
	passed := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", "User-Agent"} {
		if value := header.Get(name); value != "" {
			passed.Set(name, value)
		}
	}
	return passed
}

// sendReply passes a service's whole answer on.
func (s *Server) sendReply(reply *engine.Reply, to *answer) *refusal {
	return s.sendAnswer(claim.NewAnswer(reply.Status, reply.Header, answerHeaders, reply.Body, len(reply.Body)), to)
}

// answerHeaders are the fields of a service's answer that its caller sees.
var answerHeaders = []string{"Content-Type", "Location", "Etag", "Last-Modified", "Cache-Control"}

func (s *Server) sendAnswer(stored claim.Answer, to *answer) *refusal {
	header := stored.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(headerOutcome, outcomeComplete.String())
	if err := to.whole(stored.Status, header, stored.Body); err != nil {
		return unknown("caller-lost", "the answer could not be delivered: %v", err)
	}
	return nil
}
