package gateway

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/exchange"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

// bufferedAnswer is how many bytes of an answer, or of one event of a stream, are
// held. A shorter answer is read whole before the client gets any of it, so that
// a broken one can be repeated. At 260 requests in hand, ten full backend servers
// of 26 slots, that is 65 MiB of the 284 MB that an instance has.
const bufferedAnswer = 256 << 10

// broken ends an attempt without a whole answer.
func (a *attempt) broken(ctx context.Context, err error) (ending, dispatch.Result) {
	a.mayHave = true
	a.gateway.Pool.Drop(a.server)
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errStalled), errors.Is(cause, errSilent):
		return ending{next: again, sent: true, reason: cause.Error()}, dispatch.Failed
	case ctx.Err() != nil:
		return ending{next: stop, refusal: a.outOfTime(cause)}, blame(ctx)
	}
	return ending{next: again, sent: true, reason: reasonOf(a.brokenWord(), err), detail: err}, dispatch.Failed
}

// brokenWord says what of the request's kind broke off.
func (a *attempt) brokenWord() string {
	if a.route.Kind == catalog.Stream {
		return streamBroke
	}
	return answerBroke
}

// blame tells whether an answer that was not read to its end is its server's failure.
func blame(ctx context.Context) dispatch.Result {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimeout) {
		return dispatch.Canceled
	}
	return dispatch.Failed
}

// whole passes on an answer that is not a stream.
func (a *attempt) whole(ctx context.Context, answer *exchange.Answer, mark AnswerMeta) (ending, dispatch.Result) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, bufferedAnswer))
	if err != nil {
		return a.broken(ctx, err)
	}
	switch {
	case answer.Status < 300 && (!mark.Signed || mark.Encoded):
		return ending{next: again, sent: true, reason: "answer is not the server's"}, dispatch.Failed
	case answer.Status >= 500 && a.route.Repeatable() && a.sends < a.route.MaxAttempts && !a.state.begun &&
		a.gateway.Retries.of(a.service.Name).Wait(time.Now(), time.Second) == 0:
		return ending{next: again, sent: true, reason: "status " + strconv.Itoa(answer.Status)}, dispatch.Served
	case a.state.begun:
		return ending{next: again, sent: true, reason: "stream was not resumed: status " + strconv.Itoa(answer.Status)}, dispatch.Failed
	}
	a.gateway.Progress.event(a.server.ID, time.Now())
	a.setDeadline()
	h := a.writer.Header()
	for name, values := range passOn(answer.Header) {
		h[name] = values
	}
	if len(body) < bufferedAnswer {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	} else if answer.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	a.writer.WriteHeader(answer.Status)
	end, result := ending{next: finished, reason: outcomeServed}, dispatch.Served
	bytes := int64(len(body))
	if _, end.err = a.writer.Write(body); end.err == nil && len(body) == bufferedAnswer {
		var more int64
		more, result, end.err = a.relay(ctx, answer)
		bytes += more
	}
	a.story.Add("answered", telemetry.Fields{"place": a.server.ID, "status": answer.Status, "bytes": bytes})
	return end, result
}

// relay passes on the rest of an answer as its client reads, in small pieces. It
// lasts until the request's deadline at most.
func (a *attempt) relay(ctx context.Context, answer *exchange.Answer) (int64, dispatch.Result, error) {
	source := &watched{Reader: answer.Body}
	n, err := io.Copy(a.writer, source)
	if source.err == nil || source.err == io.EOF {
		return n, dispatch.Served, err
	}
	result := blame(ctx)
	if result != dispatch.Failed {
		return n, result, err
	}
	reason := reasonOf(answerBroke, source.err)
	if ctx.Err() != nil {
		reason = "answer not whole in time"
	}
	a.gateway.Pool.Drop(a.server)
	a.fail(a.server.ID, ending{reason: reason, detail: source.err}, a.state, time.Since(a.arrived))
	return n, result, err
}

// watched keeps the error that ended its reading, to tell a server that failed
// from a client that left.
type watched struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (w *watched) Read(p []byte) (int, error) {
	n, err := w.Reader.Read(p)
	if err != nil {
		w.err = err
	}
	return n, err
}

func (a *attempt) setDeadline() {
	if err := a.control.SetWriteDeadline(a.deadline); err != nil {
		a.story.Add("write deadline was not set", telemetry.Fields{"error": err.Error()})
	}
}
