package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/exchange"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

const (
	// declinedDoubt keeps work from a place that has just declined some.
	declinedDoubt = 150 * time.Millisecond
	// silentFactor is how many objectives a repeatable request is left with a
	// silent backend server before it is sent to another.
	silentFactor = 3
	minSilent    = 250 * time.Millisecond
)

// errSilent ends an attempt at a backend server that does not answer.
var errSilent = errors.New("backend server does not answer")

type next int

const (
	finished next = iota // the client has its answer
	again                // another place may serve it
	stop                 // nothing more is tried
)

// ending is how an attempt ended.
type ending struct {
	next    next
	reason  string // a word of this process: what a server sent is never part of it
	detail  error  // nil or what is behind the reason
	sent    bool   // a backend server may have received it
	refusal refusal
	err     error // the answer broke off after the client got part of it
}

// attempt finds a place for the request and sends it there.
func (q *request) attempt(ctx context.Context, s *streamState) ending {
	g := q.gateway
	t := q.ticket(s)
	began := time.Now()
	d, err := g.Places.Acquire(ctx, t)
	q.last = d
	g.Metrics.Waits.Observe(time.Since(began).Seconds())
	if err != nil {
		return ending{next: stop, refusal: q.outOfTime(err)}
	}
	if d.Verdict != dispatch.Run {
		return ending{next: stop, refusal: q.noPlace(d)}
	}
	sent := time.Now()
	result := dispatch.Canceled
	defer func() { g.Places.Done(t, result, time.Since(sent)) }()
	remaining := time.Until(q.deadline)
	if remaining <= 0 {
		return ending{next: stop, refusal: q.outOfTime(errTimeout)}
	}
	q.story.Add("placed", telemetry.Fields{
		"place": d.Place.ID, "data_centre": d.Place.DataCentre, "model": q.call.Model, "waited_ms": sent.Sub(began).Milliseconds(),
		"running": d.Running, "free": d.FreeSlots, "waiting": d.Waiting, "prompt": q.call.PromptTokens, "remaining_ms": remaining.Milliseconds(), "last_event": s.lastEvent,
	})
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{request: q, server: exchange.Server{ID: d.Place.ID, Address: d.Place.Address}, ticket: t, cancel: cancel, state: s}
	end, r := a.run(ctx, remaining)
	result = r
	if end.next == again {
		q.tried = append(q.tried, d.Place.ID)
		q.fail(d.Place.ID, end, s, time.Since(sent))
	}
	return end
}

// fail logs and counts an attempt that failed.
func (q *request) fail(place string, end ending, s *streamState, took time.Duration) {
	fields := telemetry.Fields{
		"place": place, "reason": end.reason, "may_have_run": q.mayHave, "ms": took.Milliseconds(), "last_event": s.lastEvent,
	}
	if end.detail != nil {
		fields["error"] = end.detail.Error()
	}
	q.story.Add("attempt failed", fields)
	q.gateway.Metrics.Failures.WithLabelValues(end.reason).Inc()
}

func (q *request) outOfTime(err error) refusal {
	no := refusal{status: http.StatusServiceUnavailable, reason: "timeout", retryAfter: q.gateway.Places.RetryAfter(q.service.Name, q.call.Model)}
	if q.mayHave {
		no.status, no.retryAfter = http.StatusGatewayTimeout, 0
	}
	if err != nil && !errors.Is(err, errTimeout) {
		no.reason = err.Error()
	}
	return no
}

func (q *request) noPlace(d dispatch.Decision) refusal {
	no := refusal{status: http.StatusServiceUnavailable, reason: d.Reason, retryAfter: d.RetryAfter}
	if q.mayHave {
		no.status, no.retryAfter = http.StatusBadGateway, 0
	}
	return no
}

// attempt is one sending of a request.
type attempt struct {
	*request
	server exchange.Server
	ticket *dispatch.Ticket
	cancel context.CancelCauseFunc
	state  *streamState
}

// run sends the request and passes the answer on.
func (a *attempt) run(ctx context.Context, remaining time.Duration) (ending, dispatch.Result) {
	q, g := a.request, a.gateway
	h := make(http.Header, len(q.header)+4)
	for name, values := range q.header {
		h[name] = values
	}
	g.Dialect.Prepare(h, Attempt{
		ServerID: a.server.ID, Remaining: remaining, Account: q.account,
		LastEvent: a.state.lastEvent, Resumed: a.state.begun, HasPrompt: q.service.Engine != nil,
	})
	f := &flow{}
	if q.route.Repeatable() && q.service.Engine != nil {
		f.cancel = a.cancel
	}
	g.Progress.begin(a.server.ID, f)
	defer g.Progress.end(a.server.ID, f)
	g.Metrics.Attempts.WithLabelValues(a.why()).Inc()
	answer, err := g.Pool.Do(a.patience(ctx), a.server, &exchange.Request{
		Method: q.in.Method, Target: q.in.RequestURI, Host: q.in.Host, Header: h, Body: q.body,
		Fresh: !q.route.Repeatable(),
		Owns:  func(status int, h http.Header, reused bool) bool { return q.owns(status, h, reused) },
	})
	if exchange.NotSent(err) {
		if ctx.Err() == nil {
			g.Pool.Drop(a.server)
			return ending{next: again, reason: reasonOf(connectFailed, err), detail: err}, dispatch.Failed
		}
		return ending{next: stop, refusal: q.outOfTime(context.Cause(ctx))}, dispatch.Canceled
	}
	q.contacts++
	if err != nil {
		q.sends++
		return a.broken(ctx, err)
	}
	defer answer.Body.Close()
	mark := g.Dialect.ParseAnswer(answer.Status, answer.Header)
	if mark.NotRun {
		g.Places.Avoid(a.server.ID, declinedDoubt)
		a.drain(answer)
		return ending{next: again, sent: true, reason: "declined with status " + strconv.Itoa(answer.Status)}, dispatch.Declined
	}
	q.sends++
	q.mayHave = true
	if q.route.Kind == catalog.Stream && answer.Status == http.StatusOK {
		return a.stream(ctx, answer, mark)
	}
	return a.whole(ctx, answer, mark)
}

// drain reads a short answer to its end, so that its connection can be used again.
func (a *attempt) drain(answer *exchange.Answer) {
	if _, err := io.CopyN(io.Discard, answer.Body, bufferedAnswer); err != nil && err != io.EOF {
		a.story.Add("answer was not read", telemetry.Fields{"place": a.server.ID, "error": err.Error()})
	}
}

func (a *attempt) why() string {
	switch {
	case a.state.begun:
		return "resumed"
	case a.contacts > 0:
		return "repeated"
	}
	return "first"
}

// patience bounds the wait for an answer that another backend server could give.
func (a *attempt) patience(ctx context.Context) context.Context {
	if a.route.Kind != catalog.Safe || a.sends+1 >= a.route.MaxAttempts {
		return ctx
	}
	wait := max(silentFactor*a.route.Objective, minSilent)
	timer := time.AfterFunc(wait, func() { a.cancel(errSilent) })
	context.AfterFunc(ctx, func() { timer.Stop() })
	return ctx
}

// owns reports whether an answer is this request's.
func (q *request) owns(status int, h http.Header, reused bool) bool {
	mark := q.gateway.Dialect.ParseAnswer(status, h)
	if mark.RequestID != "" {
		return mark.RequestID == q.call.ID
	}
	// Without an ID it could be a late answer to an earlier request.
	return !reused || mark.NotRun
}
