package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/clientconn"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

const (
	// defaultDeadline is the deadline of clients that state none.
	defaultDeadline = 30 * time.Second
	// staleRetryAfter is the Retry-After of an instance that has no configuration, or
	// can't confirm that it is the newest, or has no memory for a body.
	staleRetryAfter = time.Second
	// defaultObjective is the latency objective of routes without one.
	defaultObjective = time.Second
)

var (
	// errTimeout is the cause that cancels a request at the route's timeout or the
	// client's deadline.
	errTimeout = errors.New("request timed out")
	// errClientLeft ends a request whose client closed its connection.
	errClientLeft = errors.New("client closed the connection")
)

// request is a client's request while the gateway handles it.
type request struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	control  *http.ResponseController
	incoming *http.Request
	arrived  time.Time

	trace    telemetry.RequestTrace
	call     Call
	view     View
	route    *catalog.Route
	service  *catalog.Service
	account  string
	priority int
	deadline time.Time
	body     []byte
	header   http.Header // as sent to a backend server, without the headers that Dialect.Prepare sets

	routeKind    string // metric label
	mayHaveRun   bool   // a backend server may have run the request
	sends        int    // attempts that may have run
	contacts     int    // attempts that reached a backend server
	tried        []string
	next         *reservation // the place of the next attempt; nil if none was reserved
	lastDecision dispatch.Decision
}

// refusal is an answer that this instance generates itself.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

func (q *request) serve() {
	q.trace = telemetry.RequestTrace{Log: q.gateway.Log}
	q.routeKind = "none"
	if refused := q.admit(); refused != nil {
		q.refuse(*refused)
		return
	}
	ctx, cancel := q.context()
	defer cancel()
	q.run(ctx)
}

// admit reads the request and resolves its route. The configuration that counts is
// the one in force when the client has sent the whole request, so the route is
// resolved after the body was read.
func (q *request) admit() *refusal {
	g := q.gateway
	call, err := g.Dialect.ParseCall(q.incoming)
	if err != nil {
		q.trace.Add("request is malformed", telemetry.Fields{"error": err.Error()})
		return &refusal{status: http.StatusBadRequest, reason: "malformed"}
	}
	q.call, q.trace.Request = call, call.ID
	clientconn.Of(q.incoming).Begin(call.ID)
	q.view = g.View()
	if q.view.Catalog == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration", retryAfter: staleRetryAfter}
	}
	timeout := call.Deadline
	if timeout <= 0 {
		timeout = defaultDeadline
	}
	q.deadline = q.arrived.Add(timeout)
	if refused := q.readBody(); refused != nil {
		return refused
	}
	q.view = g.View()
	if refused := q.resolveRoute(); refused != nil {
		return refused
	}
	return q.stoppingRefusal()
}

func (q *request) readBody() *refusal {
	if q.incoming.ContentLength == 0 {
		return nil
	}
	limit := q.view.Catalog.Limits().BodyBytes
	if limit > 0 && q.incoming.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	reader := q.incoming.Body
	if limit > 0 {
		reader = http.MaxBytesReader(q.writer, reader, limit)
	}
	q.setReadDeadline(q.deadline)
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	case errors.Is(err, errNoBodyMemory):
		q.writer.Header().Set("Connection", "close")
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonNoBodyMemory, retryAfter: staleRetryAfter}
	case err != nil:
		q.trace.Add("body was not read", telemetry.Fields{"error": err.Error()})
		q.writer.Header().Set("Connection", "close")
		return &refusal{status: http.StatusRequestTimeout, reason: "body incomplete"}
	}
	q.setReadDeadline(time.Time{})
	q.body = body
	return nil
}

func (q *request) setReadDeadline(deadline time.Time) {
	if err := q.control.SetReadDeadline(deadline); err != nil {
		q.trace.Add("read deadline was not set", telemetry.Fields{"error": err.Error()})
	}
}

// resolveRoute finds the route, client account and service of the request.
func (q *request) resolveRoute() *refusal {
	g, c := q.gateway, q.view.Catalog
	age := q.view.Age()
	stale := q.staleRefusal()
	route, ok := c.Match(q.incoming.Host, q.incoming.URL.EscapedPath())
	if !ok {
		if age > g.StaleAfter {
			return stale
		}
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	q.route, q.routeKind = route, route.Kind.String()
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
	name := route.Target(randomFraction())
	if q.service, ok = c.Service(name); !ok {
		return &refusal{status: http.StatusServiceUnavailable, reason: "unknown service", retryAfter: staleRetryAfter}
	}
	if route.Timeout > 0 {
		if routeDeadline := q.arrived.Add(route.Timeout); routeDeadline.Before(q.deadline) {
			q.deadline = routeDeadline
		}
	}
	q.header = endToEndHeader(q.incoming.Header)
	q.trace.Add("admitted", telemetry.Fields{
		"route": route.Name, "service": name, "account": q.account, "priority": q.priority,
		"config": c.Version(), "config_age_ms": age.Milliseconds(), "deadline_ms": time.Until(q.deadline).Milliseconds(),
	})
	g.Retries.forService(name).RecordFirst(q.arrived)
	return nil
}

// staleRefusal returns the refusal of an instance that can't prove its configuration.
func (q *request) staleRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "configuration is not proven", retryAfter: staleRetryAfter}
}

// context returns a context that ends when the client disconnects, the deadline of the
// request passes, or a graceful stop of the process ends.
func (q *request) context() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(q.incoming.Context())
	timer := time.AfterFunc(time.Until(q.deadline), func() { cancel(errTimeout) })
	lifetime, _ := q.gateway.stop.context()
	detach := context.AfterFunc(lifetime, func() { cancel(errStopping) })
	return ctx, func() {
		timer.Stop()
		detach()
		cancel(nil)
	}
}

// run sends the request until it is answered or must not be sent again.
func (q *request) run(ctx context.Context) {
	var s streamState
	s.lastEvent = q.call.LastEvent
	defer func() { q.next.release(q.gateway) }()
	for {
		res := q.tryOnce(ctx, &s)
		switch res.next {
		case stepFinish:
			q.finish(res)
			return
		case stepRetry:
			if refused := q.checkRetry(ctx, res); refused != nil {
				q.giveUp(ctx, &s, *refused)
				return
			}
		case stepGiveUp:
			q.giveUp(ctx, &s, res.refusal)
			return
		}
	}
}

// checkRetry returns nil if a failed request may be sent to another place, and the
// refusal for the client if not.
func (q *request) checkRetry(ctx context.Context, res attemptResult) *refusal {
	failed := refusal{status: http.StatusBadGateway, reason: res.reason}
	if !q.mayHaveRun {
		failed = refusal{
			status: http.StatusServiceUnavailable, reason: res.reason,
			retryAfter: q.gateway.Places.RetryAfter(q.service.Name, q.call.Model),
		}
	}
	switch {
	case ctx.Err() != nil:
		return &failed
	case q.mayHaveRun && !q.route.Repeatable():
		return &failed
	case q.sends >= q.route.MaxAttempts, q.contacts >= q.route.MaxAttempts+maxDeclined:
		return &failed
	case res.mayBeReceived && q.next == nil && !q.gateway.Retries.forService(q.service.Name).Take(time.Now()):
		q.trace.Add("retry budget is spent", nil)
		return &failed
	}
	return nil
}

// maxDeclined is how many backend servers may decline a request in addition to the
// attempts that its route allows.
const maxDeclined = 2

// giveUp ends a request that got no complete answer from a backend server.
func (q *request) giveUp(ctx context.Context, s *streamState, refused refusal) {
	cause := context.Cause(ctx)
	switch {
	case q.incoming.Context().Err() != nil:
		q.cut("client left", errClientLeft)
	case s.headSent:
		// Aborting the connection shows the client that the answer is incomplete.
		q.cut("cut", errors.Newf("stream broke off: %s", refused.reason))
	case (errors.Is(cause, errTimeout) || errors.Is(cause, errStopping)) && q.mayHaveRun:
		refused.status, refused.retryAfter = http.StatusGatewayTimeout, 0
	}
	q.refuse(refused)
}

// refuse sends the client an answer that this instance generates itself.
func (q *request) refuse(refused refusal) {
	h := q.writer.Header()
	q.gateway.Dialect.Refusal(h, q.call.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if refused.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', 2, 64))
	}
	text := refused.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	q.trace.Add("refused", telemetry.Fields{
		"status": refused.status, "reason": refused.reason, "retry_after_ms": refused.retryAfter.Milliseconds(), "may_have_run": q.mayHaveRun,
		"waiting": q.lastDecision.Waiting, "free": q.lastDecision.FreeSlots, "places": q.lastDecision.Places,
	})
	q.gateway.Metrics.Refusals.WithLabelValues(refused.reason).Inc()
	q.prepareAnswer(sendTime + bodyDrainTime) // net/http may delay it for the rest of a body
	q.writer.WriteHeader(refused.status)
	_, err := io.WriteString(q.writer, text)
	q.recordEnd("refused", err)
}

func (q *request) finish(res attemptResult) {
	if res.err != nil {
		q.cut("cut", res.err)
	}
	q.recordEnd(res.reason, nil)
}

// cut ends the request by closing the client's connection. It doesn't return.
func (q *request) cut(outcome string, err error) {
	q.recordEnd(outcome, err)
	clientconn.Of(q.incoming).Cut()
	panic(http.ErrAbortHandler)
}

// recordEnd logs and counts the outcome of the request.
func (q *request) recordEnd(outcome string, err error) {
	fields := telemetry.Fields{"outcome": outcome, "ms": time.Since(q.arrived).Milliseconds(), "sends": q.sends, "contacts": q.contacts}
	if err != nil {
		fields["error"] = err.Error()
	}
	q.trace.Add("ended", fields)
	q.trace.End(outcome != outcomeServed)
	q.gateway.Metrics.Requests.WithLabelValues(q.routeKind, outcome).Inc()
	q.gateway.Metrics.RequestTime.WithLabelValues(q.routeKind).Observe(time.Since(q.arrived).Seconds())
}

// outcomeServed is the outcome of a request that a backend server answered.
const outcomeServed = "served"
