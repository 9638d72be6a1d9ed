package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/answer"
	"github.com/chicorystall/chicorystall/internal/engine/wire"
	"github.com/chicorystall/chicorystall/internal/readlimit"
)

// sender sends requests at most once over the connections of a transport.
type sender struct {
	transport   *answer.Transport
	idleTimeout time.Duration // longest time without a byte of the answer
}

// buildFunc builds a request. It is called again for an attempt on another connection.
type buildFunc func(context.Context) (*http.Request, error)

// send sends the request at most once to the process with the boot ID, or to any
// process if bootID is empty. Each error is a *CallError.
func (s sender) send(ctx context.Context, bootID string, build buildFunc) (*http.Response, error) {
	resp, err := s.sendOnce(ctx, bootID, build)
	if err != nil && errors.Is(err, ErrBootChanged) {
		// The pooled connection may lead to a previous process at this address.
		// Only a new connection shows which process runs there now.
		resp, err = s.sendOnce(ctx, bootID, build)
	}
	return resp, err
}

func (s sender) sendOnce(ctx context.Context, bootID string, build buildFunc) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	gate := &wire.Gate{Check: bootCheck(bootID)}
	req, err := build(gate.Context(ctx))
	if err != nil {
		cancel(err)
		return nil, &CallError{Err: err}
	}
	timer := time.AfterFunc(s.idleTimeout, func() { cancel(ErrIdleTimeout) })
	resp, err := s.transport.RoundTrip(req)
	timer.Stop()
	if err != nil {
		sent := gate.Seal()
		err = mostSpecificError(ctx, gate, err)
		cancel(err)
		s.closeIdleConnections(err)
		return nil, &CallError{Sent: sent, Err: err}
	}
	resp.Body = &idleTimeoutBody{sender: s, body: resp.Body, ctx: ctx, cancel: cancel, timer: timer}
	return resp, nil
}

// closeIdleConnections closes the idle connections after a failure, so that the next
// request opens a new one: the fault that broke one connection may have broken all of
// them. It does nothing if the caller cancelled the request.
func (s sender) closeIdleConnections(err error) {
	if !errors.Is(err, context.Canceled) {
		s.transport.CloseIdleConnections()
	}
}

// mostSpecificError returns the gate's refusal, else the cause of the context's
// cancellation, else err.
func mostSpecificError(ctx context.Context, gate *wire.Gate, err error) error {
	if refusal := gate.Refusal(); refusal != nil {
		return refusal
	}
	if ctxErr := context.Cause(ctx); ctxErr != nil {
		return ctxErr
	}
	return err
}

// idleTimeoutBody is a response body each read of which ends within the sender's idle
// timeout.
type idleTimeoutBody struct {
	sender sender
	body   io.ReadCloser
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer

	draining bool // the answer is complete; a read error no longer matters
}

func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	b.timer.Reset(b.sender.idleTimeout)
	n, err := b.body.Read(p)
	b.timer.Stop()
	if err != nil && err != io.EOF {
		if ctxErr := context.Cause(b.ctx); ctxErr != nil {
			err = ctxErr
		}
		if !b.draining {
			b.sender.closeIdleConnections(err)
		}
	}
	return n, err
}

func (b *idleTimeoutBody) Close() error {
	b.timer.Stop()
	b.cancel(context.Canceled)
	return b.body.Close()
}

// drain reads what follows an answer's end mark, so that the connection can be
// reused. It stops after a short timeout.
func (b *idleTimeoutBody) drain() {
	const (
		maxBytes = 512
		timeout  = 50 * time.Millisecond
	)
	b.sender.idleTimeout, b.draining = timeout, true
	io.CopyN(io.Discard, b, maxBytes)
}

// readBody reads a whole body. It returns ErrTooLarge if the body is longer than
// maxBytes.
func readBody(body io.Reader, maxBytes int) ([]byte, error) {
	data, err := readlimit.All(body, int64(maxBytes))
	if errors.Is(err, readlimit.ErrTooLong) {
		return nil, errors.Wrapf(ErrTooLarge, "limit of %d bytes", maxBytes)
	}
	if err != nil {
		return nil, err
	}
	return data, nil
}

// readRefusal returns a *RefusedError for an answer whose status is not 200. It reads
// and closes the answer's body.
func readRefusal(resp *http.Response) error {
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	return newRefusedError(resp, body)
}

func newRefusedError(resp *http.Response, body []byte) *RefusedError {
	return &RefusedError{
		Status:     resp.StatusCode,
		Message:    strings.TrimSpace(string(body)),
		RetryAfter: parseRetryAfter(resp.Header.Get("Retry-After")),
		NotStarted: resp.Header.Get(HeaderNotStarted) == "true",
	}
}

func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.Atoi(value)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
