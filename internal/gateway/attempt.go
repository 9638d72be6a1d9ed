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
	// declinedCooldown is how long a place gets no new requests after it declined one.
	declinedCooldown = 150 * time.Millisecond
	// answerTimeoutFactor times the latency objective of the route is how long an
	// attempt of a safe request may take before the request is handed over to another
	// backend server. minAnswerTimeout is the lower bound of that time.
	answerTimeoutFactor = 3
	minAnswerTimeout    = 250 * time.Millisecond
	// maxLoggedParts limits the shared parts of a prompt in a log line, which are the last.
	maxLoggedParts = 64
)

// errAnswerTimeout is the cause that cancels an attempt whose backend server does
// not answer in time, once another one has taken its request.
var errAnswerTimeout = errors.New("backend server does not answer")

// nextStep is what happens to a request after an attempt.
type nextStep int

const (
	stepFinish nextStep = iota // the answer was passed on to the client
	stepRetry                  // another place may serve the request
	stepGiveUp                 // the request is refused or cut off
)

// attemptResult describes how an attempt ended. It concerns the request, whereas
// dispatch.Result concerns the place.
type attemptResult struct {
	next          nextStep
	reason        string // a metric label; never contains text from a backend server
	detail        error  // underlying error for the log, or nil
	mayBeReceived bool   // a backend server may have received the request
	refusal       refusal
	err           error // the answer broke off after the client had received part of it
}

// tryOnce waits for a place, sends the request there and passes the answer on.
func (q *request) tryOnce(ctx context.Context, s *streamState) attemptResult {
	g := q.gateway
	if refused := q.blockedRefusal(); refused != nil {
		return attemptResult{next: stepGiveUp, refusal: *refused}
	}
	waitStart := time.Now()
	ticket, d, err := q.acquirePlace(ctx, s)
	q.lastDecision = d
	g.Metrics.WaitTime.Observe(time.Since(waitStart).Seconds())
	if err != nil {
		return attemptResult{next: stepGiveUp, refusal: q.timeoutRefusal(err)}
	}
	if d.Verdict != dispatch.Run {
		return attemptResult{next: stepGiveUp, refusal: q.placeRefusal(d)}
	}
	sent := time.Now()
	result := dispatch.Canceled
	writer := newClientWriter(q.writer)
	defer func() { g.Places.Done(ticket, writer.excuse(result), time.Since(sent)-writer.waited) }()
	remaining := time.Until(q.deadline)
	if remaining <= 0 {
		return attemptResult{next: stepGiveUp, refusal: q.timeoutRefusal(errTimeout)}
	}
	if q.permissionExpired() {
		return attemptResult{next: stepGiveUp, refusal: *q.staleRefusal()}
	}
	if refused := q.blockedRefusal(); refused != nil { // a part may have been blocked while the request waited
		return attemptResult{next: stepGiveUp, refusal: *refused}
	}
	fields := telemetry.Fields{
		"place": d.Place.ID, "data_centre": d.Place.DataCentre, "model": q.call.Model, "waited_ms": sent.Sub(waitStart).Milliseconds(),
		"running": d.Running, "free": d.FreeSlots, "waiting": d.Waiting, "prompt": q.call.PromptTokens, "remaining_ms": remaining.Milliseconds(), "last_event": s.lastEvent,
	}
	if l := d.Limit; l != nil {
		fields["limit_per_second"], fields["limit_age_ms"], fields["limit_part_per_second"] = l.PerSecond, l.Age.Milliseconds(), l.Part
	}
	q.trace.Add("placed", fields)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{
		request: q, writer: writer, control: http.NewResponseController(writer), server: exchange.Server{ID: d.Place.ID, Address: d.Place.Address}, run: d.Place.Run, ticket: ticket, cancel: cancel, state: s,
		handover: q.newHandover(d.Place.ID),
	}
	res, dispatchResult := a.send(ctx, remaining)
	result = dispatchResult
	q.next = a.handover.end()
	if res.next == stepRetry {
		q.tried = append(q.tried, d.Place.ID)
		q.recordFailure(d.Place.ID, res, s, time.Since(sent))
	}
	return res
}

// permissionExpired reports whether the key of a request that has not run yet may have
// been revoked since it was checked: the process was paused, or the request has waited,
// until the proof of its configuration was too old.
func (q *request) permissionExpired() bool {
	return q.account != "" && !q.mayHaveRun && q.gateway.View().Age() > q.gateway.MaxAge
}

// recordFailure logs and counts a failed attempt.
func (q *request) recordFailure(place string, res attemptResult, s *streamState, took time.Duration) {
	fields := telemetry.Fields{
		"place": place, "reason": res.reason, "may_have_run": q.mayHaveRun, "ms": took.Milliseconds(), "last_event": s.lastEvent,
	}
	if res.detail != nil {
		fields["error"] = res.detail.Error()
	}
	if parts := q.call.SharedParts; len(parts) > 0 {
		fields["shared_parts"] = parts[max(len(parts)-maxLoggedParts, 0):]
	}
	q.trace.Add("attempt failed", fields)
	q.gateway.Metrics.Failures.WithLabelValues(res.reason).Inc()
}

func (q *request) timeoutRefusal(err error) refusal {
	refused := refusal{status: http.StatusServiceUnavailable, reason: "timeout", retryAfter: q.gateway.Places.RetryAfter(q.service.Name, q.call.Model)}
	if q.mayHaveRun {
		refused.status, refused.retryAfter = http.StatusGatewayTimeout, 0
	}
	if err != nil && !errors.Is(err, errTimeout) {
		refused.reason = err.Error()
	}
	return refused
}

func (q *request) placeRefusal(d dispatch.Decision) refusal {
	refused := refusal{status: http.StatusServiceUnavailable, reason: d.Reason, retryAfter: d.RetryAfter}
	if q.mayHaveRun {
		refused.status, refused.retryAfter = http.StatusBadGateway, 0
	}
	return refused
}

// attempt is one try of a request at a backend server. Attempt is the part of it
// that a Dialect writes into headers.
type attempt struct {
	*request
	writer   *clientWriter
	control  *http.ResponseController // of writer
	server   exchange.Server
	run      int64 // of the server
	ticket   *dispatch.Ticket
	cancel   context.CancelCauseFunc
	state    *streamState
	events   int // that it has sent
	progress headAttempt
	*handover
}

// send sends the request to the backend server of the attempt and passes the answer
// on to the client.
func (a *attempt) send(ctx context.Context, remaining time.Duration) (attemptResult, dispatch.Result) {
	q, g := a.request, a.gateway
	h := make(http.Header, len(q.header)+4)
	for name, values := range q.header {
		h[name] = values
	}
	g.Dialect.Prepare(h, Attempt{
		ServerID: a.server.ID, Remaining: remaining, Account: q.account,
		LastEvent: a.state.lastEvent, Resumed: a.state.headSent, HasPrompt: q.service.Engine != nil,
	})
	if q.service.Engine != nil && a.handover.allowed {
		a.progress.handOver = func() { a.handOver(errStalled) }
	}
	g.Progress.begin(a.server.ID, &a.progress)
	defer g.Progress.end(a.server.ID, &a.progress)
	g.Metrics.Attempts.WithLabelValues(a.attemptKind()).Inc()
	a.startAnswerTimeout(ctx)
	answer, err := g.Pool.Do(ctx, a.server, &exchange.Request{
		Method: q.incoming.Method, Target: q.incoming.RequestURI, Host: q.incoming.Host, Header: h, Body: q.body,
		NeedsFreshConn: !q.route.Repeatable(),
		OwnsAnswer:     a.ownsAnswer,
	})
	if exchange.NotSent(err) {
		if ctx.Err() == nil {
			g.Pool.CloseIdle(a.server)
			return attemptResult{next: stepRetry, reason: failureReason(reasonConnectFailed, err), detail: err}, dispatch.Failed
		}
		return attemptResult{next: stepGiveUp, refusal: q.timeoutRefusal(context.Cause(ctx))}, dispatch.Canceled
	}
	q.contacts++
	if err != nil {
		q.sends++
		return a.failIncomplete(ctx, err)
	}
	defer answer.Body.Close()
	meta := g.Dialect.ParseAnswer(answer.Status, answer.Header)
	if meta.NotRun {
		g.Places.Avoid(a.server.ID, declinedCooldown)
		a.drain(answer)
		return attemptResult{next: stepRetry, mayBeReceived: true, reason: "declined with status " + strconv.Itoa(answer.Status)}, dispatch.Declined
	}
	q.sends++
	q.mayHaveRun = true
	if q.route.Kind == catalog.Stream && answer.Status == http.StatusOK {
		return a.relayStream(ctx, answer, meta)
	}
	return a.relayAnswer(ctx, answer, meta)
}

// drain reads a short answer to its end so that its connection can be reused.
func (a *attempt) drain(answer *exchange.Answer) {
	if answer.EndsWithConn {
		return
	}
	if _, err := io.CopyN(io.Discard, answer.Body, maxBufferedBytes); err != nil && err != io.EOF {
		a.trace.Add("answer was not read", telemetry.Fields{"place": a.server.ID, "error": err.Error()})
	}
}

func (a *attempt) attemptKind() string {
	switch {
	case a.state.headSent:
		return "resumed"
	case a.contacts > 0:
		return "repeated"
	}
	return "first"
}

// startAnswerTimeout starts a timer that hands the request over if it is safe and may
// still be sent to another backend server.
func (a *attempt) startAnswerTimeout(ctx context.Context) {
	if a.route.Kind == catalog.Safe && a.handover.allowed {
		a.handOverAfter(ctx, max(answerTimeoutFactor*a.route.Objective, minAnswerTimeout), errAnswerTimeout)
	}
}

// ownsAnswer reports whether an answer belongs to this request. What an answer says of
// the server counts either way.
func (a *attempt) ownsAnswer(status int, h http.Header, reused bool) bool {
	meta := a.gateway.Dialect.ParseAnswer(status, h)
	a.noteWord(meta)
	// Without an ID, an answer on a reused connection may be a late answer to an
	// earlier request.
	owned := !reused
	if meta.RequestID != "" {
		owned = meta.RequestID == a.call.ID
	}
	if meta.Limit.Word == Named || owned {
		a.noteLimit(meta.Limit)
	}
	return owned
}

// noteLimit records and logs what an answer says about the limit of its server.
func (a *attempt) noteLimit(limit RateLimit) {
	if !a.gateway.Places.noteLimit(a.server.ID, a.run, limit) {
		return
	}
	a.gateway.Metrics.Limits.WithLabelValues(limit.Word.String()).Inc()
	a.gateway.Log.Info("server limit", telemetry.Fields{
		"worker": a.server.ID, "run": a.run, "word": limit.Word.String(), "per_second": limit.PerSecond, "request": a.call.ID,
	})
}

// noteWord records and logs what an answer says about requests to its server.
func (a *attempt) noteWord(meta AnswerMeta) {
	cause, isNew := a.gateway.Places.noteWord(a.server.ID, a.run, meta)
	if !isNew {
		return
	}
	a.gateway.Metrics.Bars.WithLabelValues(cause.String()).Inc()
	a.gateway.Log.Info("place barred", telemetry.Fields{
		"place": a.server.ID, "run": a.run, "cause": cause.String(), "rest_ms": meta.Rest.Milliseconds(), "request": a.call.ID,
	})
}
