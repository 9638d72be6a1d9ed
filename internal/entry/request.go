package entry

import (
	"net/http"
	"time"
)

// Names of the HTTP headers of the callers' protocol.
const (
	headerRequestID      = "X-Request-Id"
	headerOutcome        = "Outcome"
	headerReason         = "Outcome-Reason"
	headerPriority       = "X-Priority"
	headerIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
)

// request is one caller's request, wherever it entered the system.
type request struct {
	ID       string
	Account  string
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	Priority int
	Attempt  int      // 0 when the caller did not say
	Via      []string // entry instances that handled it before
}

// visited reports whether the named entry instance handled the request before.
func (r *request) visited(name string) bool {
	for _, via := range r.Via {
		if via == name {
			return true
		}
	}
	return false
}

// answer receives the parts of one answer in order. Head comes first and once.
// Only End marks the answer as whole.
type answer struct {
	Head  func(status int, header http.Header) error
	Chunk func(data []byte) error
	End   func() error

	started bool // Head was called
	ended   bool // the answer is whole
	refused bool // it is a refusal
}

func (a *answer) head(status int, header http.Header) error {
	a.started = true
	return a.Head(status, header)
}

// whole sends a complete answer in one step.
func (a *answer) whole(status int, header http.Header, body []byte) error {
	if err := a.head(status, header); err != nil {
		return err
	}
	if err := a.Chunk(body); err != nil {
		return err
	}
	return a.end()
}

// end marks the answer as whole.
func (a *answer) end() error {
	a.ended = true
	return a.End()
}
