package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

const (
	// defaultDeadline is for clients that state none, on routes without a timeout.
	defaultDeadline = 30 * time.Second
	// staleRetryAfter is when a client may come back to an instance that can't
	// prove that its configuration is the newest.
	staleRetryAfter = time.Second
	// defaultObjective stands in for routes without one.
	defaultObjective = time.Second
)

var (
	// errTimeout ends a request at its route's timeout or its client's deadline.
	errTimeout = errors.New("time is up")
	// errClientLeft ends a request whose client has closed its connection.
	errClientLeft = errors.New("client has left")
)

// request is one request on its way through the gateway.
type request struct {
	gateway *Gateway
	writer  http.ResponseWriter
	control *http.ResponseController
	in      *http.Request
	arrived time.Time

	story    telemetry.Story
	call     Call
	view     View
	route    *catalog.Route
	service  *catalog.Service
	account  string
	priority int
	deadline time.Time
	body     []byte
	header   http.Header // as it goes to a backend server, without what an attempt sets

	kind     string // of the route, for metrics
	mayHave  bool   // a backend server may have run it
	sends    int    // attempts that may have run
	contacts int    // attempts that reached a backend server
	tried    []string
	last     dispatch.Decision
}

// refusal is an answer of this instance's own.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

func (q *request) serve() {
	q.story = telemetry.Story{Log: q.gateway.Log}
	q.kind = "none"
	if no := q.admit(); no != nil {
		q.refuse(*no)
		return
	}
	ctx, cancel := q.context()
	defer cancel()
	q.run(ctx)
}

// admit reads the request and checks it against the configuration in force. The
// check comes after the body was read, so that what was in force when the
// client had sent all of it counts.
func (q *request) admit() *refusal {
	g := q.gateway
	call, err := g.Dialect.ParseCall(q.in)
	if err != nil {
		q.story.Add("request is malformed", telemetry.Fields{"error": err.Error()})
		return &refusal{status: http.StatusBadRequest, reason: "malformed"}
	}
	q.call, q.story.Request = call, call.ID
	q.view = g.View()
	if q.view.Catalog == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration", retryAfter: staleRetryAfter}
	}
	wait := call.Deadline
	if wait <= 0 {
		wait = defaultDeadline
	}
	q.deadline = q.arrived.Add(wait)
	if no := q.readBody(); no != nil {
		return no
	}
	q.view = g.View()
	return q.check()
}

func (q *request) readBody() *refusal {
	if q.in.ContentLength == 0 {
		return nil
	}
	limit := q.view.Catalog.Limits().BodyBytes
	if limit > 0 && q.in.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	reader := q.in.Body
	if limit > 0 {
		reader = http.MaxBytesReader(q.writer, reader, limit)
	}
	q.setReadDeadline(q.deadline)
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	case errors.Is(err, errNoRoom):
		q.writer.Header().Set("Connection", "close")
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonBodies, retryAfter: staleRetryAfter}
	case err != nil:
		q.story.Add("body was not read", telemetry.Fields{"error": err.Error()})
		q.writer.Header().Set("Connection", "close")
		return &refusal{status: http.StatusRequestTimeout, reason: "body incomplete"}
	}
	q.setReadDeadline(time.Time{})
	q.body = body
	return nil
}

func (q *request) setReadDeadline(t time.Time) {
	if err := q.control.SetReadDeadline(t); err != nil {
		q.story.Add("read deadline was not set", telemetry.Fields{"error": err.Error()})
	}
}

// check finds the request's route and client account.
func (q *request) check() *refusal {
	g, c := q.gateway, q.view.Catalog
	age := q.view.Age()
	stale := &refusal{status: http.StatusServiceUnavailable, reason: "configuration is not proven", retryAfter: staleRetryAfter}
	route, ok := c.Match(q.in.Host, q.in.URL.EscapedPath())
	if !ok {
		if age > g.StaleAfter {
			return stale
		}
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	q.route, q.kind = route, route.Kind.String()
	q.priority = route.Priority
	g.served.Store(true)
	if c.NeedsKey(route) {
		if age > g.MaxAge {
			return stale
		}
		account, ok := c.Account(q.call.Key)
		if !ok {
			if age > g.StaleAfter {
				return stale
			}
			return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
		}
		q.account = account.Name
		if account.HasPriority {
			q.priority = account.Priority
		}
	}
	name := route.Target(draw())
	if q.service, ok = c.Service(name); !ok {
		return &refusal{status: http.StatusServiceUnavailable, reason: "unknown service", retryAfter: staleRetryAfter}
	}
	if route.Timeout > 0 {
		if end := q.arrived.Add(route.Timeout); end.Before(q.deadline) {
			q.deadline = end
		}
	}
	q.header = passOn(q.in.Header)
	q.story.Add("admitted", telemetry.Fields{
		"route": route.Name, "service": name, "account": q.account, "priority": q.priority,
		"config": c.Version(), "config_age_ms": age.Milliseconds(), "deadline_ms": time.Until(q.deadline).Milliseconds(),
	})
	g.Retries.of(name).RecordFirst(q.arrived)
	return nil
}

// context ends when the client leaves or the request's time is up.
func (q *request) context() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(q.in.Context())
	timer := time.AfterFunc(time.Until(q.deadline), func() { cancel(errTimeout) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// run sends the request until it has its answer or may not be sent again.
func (q *request) run(ctx context.Context) {
	var s streamState
	s.lastEvent = q.call.LastEvent
	for {
		end := q.attempt(ctx, &s)
		switch end.next {
		case finished:
			q.finish(end)
			return
		case again:
			if no := q.mayRepeat(ctx, end); no != nil {
				q.giveUp(ctx, &s, *no)
				return
			}
		case stop:
			q.giveUp(ctx, &s, end.refusal)
			return
		}
	}
}

// mayRepeat decides whether a request that failed at one place is sent to another.
func (q *request) mayRepeat(ctx context.Context, end ending) *refusal {
	failed := refusal{status: http.StatusBadGateway, reason: end.reason}
	if !q.mayHave {
		failed = refusal{
			status: http.StatusServiceUnavailable, reason: end.reason,
			retryAfter: q.gateway.Places.RetryAfter(q.service.Name, q.call.Model),
		}
	}
	switch {
	case ctx.Err() != nil:
		return &failed
	case q.mayHave && !q.route.Repeatable():
		return &failed
	case q.sends >= q.route.MaxAttempts, q.contacts >= q.route.MaxAttempts+maxDeclined:
		return &failed
	case end.sent && !q.gateway.Retries.of(q.service.Name).Take(time.Now()):
		q.story.Add("retry budget is spent", nil)
		return &failed
	}
	return nil
}

// maxDeclined is how many backend servers may decline a request beyond its attempts.
const maxDeclined = 2

// giveUp ends a request that has no answer.
func (q *request) giveUp(ctx context.Context, s *streamState, no refusal) {
	cause := context.Cause(ctx)
	switch {
	case q.in.Context().Err() != nil:
		q.end("client left", errClientLeft)
		panic(http.ErrAbortHandler)
	case s.begun:
		// The client must see that its answer is not whole.
		q.end("cut", errors.Newf("stream broke off: %s", no.reason))
		panic(http.ErrAbortHandler)
	case errors.Is(cause, errTimeout) && q.mayHave:
		no.status, no.retryAfter = http.StatusGatewayTimeout, 0
	}
	q.refuse(no)
}

// refuse gives an answer of this instance's own.
func (q *request) refuse(no refusal) {
	h := q.writer.Header()
	q.gateway.Dialect.Refusal(h, q.call.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if no.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(no.retryAfter.Seconds(), 'f', 2, 64))
	}
	text := no.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	q.story.Add("refused", telemetry.Fields{
		"status": no.status, "reason": no.reason, "retry_after_ms": no.retryAfter.Milliseconds(), "may_have_run": q.mayHave,
		"waiting": q.last.Waiting, "free": q.last.FreeSlots, "places": q.last.Places,
	})
	q.gateway.Metrics.Refusals.WithLabelValues(no.reason).Inc()
	q.writer.WriteHeader(no.status)
	_, err := io.WriteString(q.writer, text)
	q.end("refused", err)
}

func (q *request) finish(end ending) {
	if end.err != nil {
		q.end("cut", end.err)
		panic(http.ErrAbortHandler)
	}
	q.end(end.reason, nil)
}

// end closes the request's story.
func (q *request) end(outcome string, err error) {
	fields := telemetry.Fields{"outcome": outcome, "ms": time.Since(q.arrived).Milliseconds(), "sends": q.sends, "contacts": q.contacts}
	if err != nil {
		fields["error"] = err.Error()
	}
	q.story.Add("ended", fields)
	q.story.End(outcome != outcomeServed)
	q.gateway.Metrics.Requests.WithLabelValues(q.kind, outcome).Inc()
	q.gateway.Metrics.Duration.WithLabelValues(q.kind).Observe(time.Since(q.arrived).Seconds())
}

// outcomeServed is the outcome of a request that got a backend server's answer.
const outcomeServed = "served"
