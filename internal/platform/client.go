package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/answer"
	"github.com/chicorystall/chicorystall/internal/engine/wire"
	"github.com/chicorystall/chicorystall/internal/readlimit"
	"github.com/chicorystall/chicorystall/pkg/journal"
)

const (
	// defaultTimeout bounds a call of a client without a Timeout, and the opening of
	// any connection.
	defaultTimeout = 5 * time.Second
	// maxAnswerBytes is the maximum size of an answer's body.
	maxAnswerBytes = 32 << 20
)

// ErrAnswerTooLarge means that the body of an answer exceeds maxAnswerBytes.
var ErrAnswerTooLarge = errors.New("answer of the platform is too large")

// Client calls the platform at one address.
type Client struct {
	Address string        // IP:port
	Timeout time.Duration // for one call, in addition to the wait of a read; 0 means 5 s

	transport *answer.Transport
}

// New returns a client of the platform at the address.
func New(address string) *Client {
	dialer := &net.Dialer{Timeout: defaultTimeout}
	return &Client{
		Address: address,
		transport: &answer.Transport{Transport: http.Transport{
			DialContext:            wire.Dial(dialer.DialContext),
			MaxIdleConnsPerHost:    4,
			IdleConnTimeout:        30 * time.Second,
			MaxResponseHeaderBytes: 64 << 10,
			DisableCompression:     true,
		}},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// call makes one call and reads the complete response. The returned bool reports whether
// the request may have been sent: it is false only if no byte of the request was
// written, or will be.
func (c *Client) call(ctx context.Context, method, path string, body []byte, timeout time.Duration) (*response, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	gate := &wire.Gate{}
	req, err := wire.NewRequest(gate.Context(ctx), method, "http://"+c.Address+path, body)
	if err != nil {
		return nil, false, err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		sent := gate.Seal()
		c.closeIdleAfterFailure(err)
		return nil, sent, err
	}
	defer resp.Body.Close()
	data, err := readlimit.All(resp.Body, maxAnswerBytes)
	if errors.Is(err, readlimit.ErrTooLong) {
		return nil, true, errors.Wrapf(ErrAnswerTooLarge, "%s %s", method, path)
	}
	if err != nil {
		c.closeIdleAfterFailure(err)
		return nil, true, errors.Wrapf(err, "%s %s", method, path)
	}
	return &response{status: resp.StatusCode, header: resp.Header, body: data}, true, nil
}

// closeIdleAfterFailure closes the idle connections after a failed call, unless the
// caller cancelled it, so that the next call opens a new one: the cause of the failure
// may have broken them too.
func (c *Client) closeIdleAfterFailure(err error) {
	if !errors.Is(err, context.Canceled) {
		c.transport.CloseIdleConnections()
	}
}

// callJSON makes a call that is safe to repeat, with in as its JSON body and out for the
// answer; both may be nil. If the call fails or its status is not 200, the error is
// journal.ErrUnavailable.
func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	resp, _, err := c.call(ctx, method, path, body, c.timeout())
	if err != nil {
		return unavailable(err)
	}
	if resp.status != http.StatusOK {
		return unavailable(resp.statusError(method, path))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.body, out); err != nil {
		return unavailable(errors.Wrapf(err, "decode answer of %s %s", method, path))
	}
	return nil
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

// statusError returns an error with the status and the beginning of the body.
func (r *response) statusError(method, path string) error {
	const maxShown = 200
	text := bytes.TrimSpace(r.body)
	if len(text) > maxShown {
		text = text[:maxShown]
	}
	return fmt.Errorf("%s %s: status %d: %q", method, path, r.status, text)
}

// callError is an error that matches both its cause and one of the sentinel errors of
// package journal.
type callError struct {
	sentinel error
	cause    error
}

func (e *callError) Error() string        { return e.sentinel.Error() + ": " + e.cause.Error() }
func (e *callError) Unwrap() error        { return e.cause }
func (e *callError) Is(target error) bool { return target == e.sentinel }

func unavailable(err error) error {
	return &callError{sentinel: journal.ErrUnavailable, cause: err}
}

func outcomeUnknown(err error) error {
	return &callError{sentinel: journal.ErrOutcomeUnknown, cause: err}
}
