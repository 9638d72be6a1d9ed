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

// maxBufferedBytes is the most that is buffered of an answer, or of one event of a
// stream. A shorter answer is read completely before any of it is sent to the
// client, so that the request can be retried if the answer breaks off. answerMemory
// bounds what such answers take together.
const maxBufferedBytes = 256 << 10

// failIncomplete ends an attempt whose answer is incomplete or missing.
func (a *attempt) failIncomplete(ctx context.Context, err error) (attemptResult, dispatch.Result) {
	a.mayHaveRun = true
	a.gateway.Pool.CloseIdle(a.server)
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errStalled), errors.Is(cause, errAnswerTimeout):
		return attemptResult{next: stepRetry, mayBeReceived: true, reason: cause.Error()}, dispatch.Failed
	case ctx.Err() != nil:
		return attemptResult{next: stepGiveUp, refusal: a.timeoutRefusal(cause)}, incompleteResult(ctx)
	}
	// A server may crash as it begins to write, before the head of its answer has left it.
	if a.service.Engine != nil && a.events < soundEvents && isCrash(err) {
		a.gateway.Suspects.noteCrash(a.server.ID, a.prompt())
	}
	return attemptResult{next: stepRetry, mayBeReceived: true, reason: failureReason(a.incompleteReason(), err), detail: err}, dispatch.Failed
}

// incompleteReason returns the reason for an answer of the request's kind that
// broke off.
func (a *attempt) incompleteReason() string {
	if a.route.Kind == catalog.Stream {
		return reasonStreamBroken
	}
	return reasonAnswerBroken
}

// incompleteResult returns the result of an attempt whose answer was not read to its
// end: Canceled if the attempt was cancelled for another cause than its timeout, since
// that is no fault of the backend server, and Failed otherwise.
func incompleteResult(ctx context.Context) dispatch.Result {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimeout) {
		return dispatch.Canceled
	}
	return dispatch.Failed
}

// relayAnswer passes an answer that is not a stream on to the client.
func (a *attempt) relayAnswer(ctx context.Context, answer *exchange.Answer, meta AnswerMeta) (attemptResult, dispatch.Result) {
	limit, release := a.reserveAnswer(answer)
	defer release()
	body, err := io.ReadAll(io.LimitReader(answer.Body, int64(limit)))
	if err != nil {
		return a.failIncomplete(ctx, err)
	}
	switch {
	case answer.Status < 300 && (!meta.Signed || meta.Encoded):
		return attemptResult{next: stepRetry, mayBeReceived: true, reason: "answer is not the server's"}, dispatch.Failed
	case answer.Status >= 500 && a.route.Repeatable() && a.sends < a.route.MaxAttempts && !a.state.headSent &&
		a.gateway.Retries.forService(a.service.Name).Wait(time.Now(), time.Second) == 0:
		return attemptResult{next: stepRetry, mayBeReceived: true, reason: "status " + strconv.Itoa(answer.Status)}, a.errorResult()
	case a.state.headSent:
		return attemptResult{next: stepRetry, mayBeReceived: true, reason: "stream was not resumed: status " + strconv.Itoa(answer.Status)}, dispatch.Failed
	}
	if !a.handover.keep() && len(body) == limit { // the rest can't be read
		return a.failIncomplete(ctx, context.Cause(ctx))
	}
	a.gateway.Progress.noteEvent(a.server.ID, time.Now())
	a.prepareAnswer(sendTime)
	h := a.writer.Header()
	for name, values := range endToEndHeader(answer.Header) {
		h[name] = values
	}
	if len(body) < limit {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	} else if answer.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	a.writer.WriteHeader(answer.Status)
	res, result := attemptResult{next: stepFinish, reason: outcomeServed}, dispatch.Served
	if answer.Status >= http.StatusInternalServerError {
		result = a.errorResult()
	}
	sent := int64(len(body))
	if _, res.err = a.writer.Write(body); res.err == nil && len(body) == limit {
		var rest int64
		rest, result, res.err = a.relayRest(ctx, answer)
		sent += rest
	}
	a.trace.Add("answered", telemetry.Fields{"place": a.server.ID, "status": answer.Status, "bytes": sent})
	return res, result
}

// errorResult returns the result for a place that answered with an error of its own. The
// head of a group that does so is faulty; plain services have errors of their requests.
func (a *attempt) errorResult() dispatch.Result {
	if a.service.Engine != nil {
		return dispatch.Failed
	}
	return dispatch.Served
}

// relayRest passes the rest of a long answer on to the client in small pieces, as
// the client reads them, until the deadline of the request at the latest. It returns
// the number of bytes sent.
func (a *attempt) relayRest(ctx context.Context, answer *exchange.Answer) (int64, dispatch.Result, error) {
	source := &errorKeepingReader{Reader: answer.Body}
	n, err := io.Copy(a.writer, source)
	if source.err == nil || source.err == io.EOF {
		return n, dispatch.Served, err
	}
	result := incompleteResult(ctx)
	if result != dispatch.Failed {
		return n, result, err
	}
	reason := failureReason(reasonAnswerBroken, source.err)
	if ctx.Err() != nil {
		reason = "answer not whole in time"
	}
	a.gateway.Pool.CloseIdle(a.server)
	a.recordFailure(a.server.ID, attemptResult{reason: reason, detail: source.err}, a.state, time.Since(a.arrived))
	return n, result, err
}

// errorKeepingReader keeps the last read error, which distinguishes a failure of the
// backend server from a client that disconnected.
type errorKeepingReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *errorKeepingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		r.err = err
	}
	return n, err
}

// sendTime is how long it may take to send an answer that exists at the deadline of its
// request.
const sendTime = 200 * time.Millisecond

// prepareAnswer is called before the head of an answer is written, also of a refusal. It
// limits the time to send the answer: until the deadline of the request and the extra
// time, or from now if that is later. The deadline itself limits the time to get the
// answer, and what exists then is still sent.
func (q *request) prepareAnswer(extra time.Duration) {
	q.gateway.closeAfterAnswer(q.writer, q.incoming)
	deadline := q.deadline
	if now := time.Now(); deadline.Before(now) {
		deadline = now
	}
	if err := q.control.SetWriteDeadline(deadline.Add(extra)); err != nil {
		q.trace.Add("write deadline was not set", telemetry.Fields{"error": err.Error()})
	}
}
