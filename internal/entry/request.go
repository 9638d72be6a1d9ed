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

// request is a caller's request, received from the caller or from another entry
// instance.
type request struct {
	ID       string
	Account  string
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	Priority int
	Attempt  int      // 0 if the caller did not state it
	Via      []string // names of entry instances that handled it before
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

// answerWriter writes the parts of one answer in order. WriteHead is called once,
// before the other functions. Only WriteEnd marks the answer as complete.
type answerWriter struct {
	WriteHead  func(status int, header http.Header) error
	WriteChunk func(data []byte) error
	WriteEnd   func() error

	started   bool // WriteHead was called
	ended     bool // finish was called
	isRefusal bool // the answer is a refusal
}

func (a *answerWriter) writeHead(status int, header http.Header) error {
	a.started = true
	return a.WriteHead(status, header)
}

// writeWhole writes a complete answer.
func (a *answerWriter) writeWhole(status int, header http.Header, body []byte) error {
	if err := a.writeHead(status, header); err != nil {
		return err
	}
	if err := a.WriteChunk(body); err != nil {
		return err
	}
	return a.finish()
}

// finish marks the answer as complete.
func (a *answerWriter) finish() error {
	a.ended = true
	return a.WriteEnd()
}
