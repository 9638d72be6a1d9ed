package engine

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Sentinels that errors.Is finds in the errors of this package.
var (
	// ErrNotSent: no byte of the request was written and none ever will be.
	ErrNotSent = errors.New("request was not sent")
	// ErrMaybeSent: the backend server may have received the request.
	ErrMaybeSent = errors.New("request may have been sent")
	// ErrBootChanged: another process answers at the address. Always beside ErrNotSent.
	ErrBootChanged = errors.New("backend server has another boot ID")
	// ErrIdle: no byte arrived for the idle timeout.
	ErrIdle = errors.New("connection is idle for too long")
	// ErrCut: the answer ended before its end mark.
	ErrCut = errors.New("answer ended before its end mark")
	// ErrGap: a chunk number was skipped; resume from the one that is missing.
	ErrGap = errors.New("a chunk is missing")
	// ErrCrossed: the answer belongs to another request.
	ErrCrossed = errors.New("answer belongs to another request")
	// ErrTooLarge: the answer is above the client's limit.
	ErrTooLarge = errors.New("answer is too large")
)

// CallError is a failure without an answer from the backend server.
type CallError struct {
	Sent bool // the backend server may have received the request
	Err  error
}

func (e *CallError) Error() string {
	if e.Sent {
		return fmt.Sprintf("%v: %v", ErrMaybeSent, e.Err)
	}
	return fmt.Sprintf("%v: %v", ErrNotSent, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Is reports whether the target is the sentinel for what was sent.
func (e *CallError) Is(target error) bool {
	return e.Sent && target == ErrMaybeSent || !e.Sent && target == ErrNotSent
}

// RefusedError is an answer with a status other than 200.
type RefusedError struct {
	Status     int
	Message    string
	RetryAfter time.Duration // 0 when the answer has none
	NotStarted bool          // the engine says that the request did not start
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("backend server answered status %d: %q", e.Status, e.Message)
}
