package engine

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that errors.Is finds in the errors of this package.
var (
	// ErrNotSent means that no byte of the request was written or will be written.
	ErrNotSent = errors.New("request was not sent")
	// ErrMaybeSent means that the backend server may have received the request.
	ErrMaybeSent = errors.New("request may have been sent")
	// ErrBootChanged means that another process answers at the address. The error is
	// always ErrNotSent too.
	ErrBootChanged = errors.New("backend server has another boot ID")
	// ErrIdleTimeout means that no byte arrived within the idle timeout.
	ErrIdleTimeout = errors.New("backend server sent nothing within the idle timeout")
	// ErrTruncated means that the answer ended before its end mark.
	ErrTruncated = errors.New("answer ended before its end mark")
	// ErrMissingChunk means that a chunk number was skipped. The stream can be resumed
	// at Stream.NextNumber.
	ErrMissingChunk = errors.New("chunk is missing from the stream")
	// ErrWrongRequest means that the answer belongs to another request.
	ErrWrongRequest = errors.New("answer belongs to another request")
	// ErrTooLarge means that the answer exceeds a limit of the client.
	ErrTooLarge = errors.New("answer is too large")
)

// CallError is a call that failed without a usable answer from the backend server.
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

// Unwrap returns the cause of the failure.
func (e *CallError) Unwrap() error { return e.Err }

// Is reports whether target is ErrMaybeSent or ErrNotSent, whichever applies.
func (e *CallError) Is(target error) bool {
	return e.Sent && target == ErrMaybeSent || !e.Sent && target == ErrNotSent
}

// RefusedError is an answer with a status other than 200.
type RefusedError struct {
	Status     int
	Message    string
	RetryAfter time.Duration // 0 if the answer has none
	NotStarted bool          // the engine says that the request did not start
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("backend server answered status %d: %q", e.Status, e.Message)
}
