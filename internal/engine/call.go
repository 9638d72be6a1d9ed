package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/engine/wire"
)

// roundTrip sends the request at most once. The answer must begin, and go on,
// within the idle timeout. Each error is a *CallError.
func roundTrip(ctx context.Context, transport *http.Transport, check func(*wire.Conn) error, idle time.Duration, build func(context.Context) (*http.Request, error)) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	gate := &wire.Gate{Check: check}
	req, err := build(gate.Context(ctx))
	if err != nil {
		cancel(err)
		return nil, &CallError{Err: err}
	}
	timer := time.AfterFunc(idle, func() { cancel(ErrIdle) })
	resp, err := transport.RoundTrip(req)
	timer.Stop()
	if err != nil {
		sent := gate.Seal()
		err = cause(ctx, gate, err)
		cancel(err)
		return nil, &CallError{Sent: sent, Err: err}
	}
	resp.Body = &idleBody{body: resp.Body, ctx: ctx, cancel: cancel, timer: timer, idle: idle}
	return resp, nil
}

// cause picks the error that says most.
func cause(ctx context.Context, gate *wire.Gate, err error) error {
	if refusal := gate.Refusal(); refusal != nil {
		return refusal
	}
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// idleBody is a body whose reads each end within the idle timeout.
type idleBody struct {
	body   io.ReadCloser
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	idle   time.Duration
}

func (b *idleBody) Read(p []byte) (int, error) {
	b.timer.Reset(b.idle)
	n, err := b.body.Read(p)
	b.timer.Stop()
	if err != nil && err != io.EOF {
		if c := context.Cause(b.ctx); c != nil {
			err = c
		}
	}
	return n, err
}

func (b *idleBody) Close() error {
	b.timer.Stop()
	b.cancel(context.Canceled)
	return b.body.Close()
}

// readWhole reads a body up to the limit.
func readWhole(body io.Reader, maxBytes int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, int64(maxBytes)+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "above %d bytes", maxBytes)
	}
	return data, nil
}

// refused reads the body of an answer whose status is not 200 and closes it.
func refused(resp *http.Response) error {
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	return refusal(resp, body)
}

func refusal(resp *http.Response, body []byte) *RefusedError {
	return &RefusedError{
		Status:     resp.StatusCode,
		Message:    strings.TrimSpace(string(body)),
		RetryAfter: retryAfter(resp.Header.Get("Retry-After")),
		NotStarted: resp.Header.Get(HeaderNotStarted) == "true",
	}
}

func retryAfter(value string) time.Duration {
	seconds, err := strconv.Atoi(value)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
