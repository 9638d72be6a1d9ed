package retry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers that carry an Attempt. The timeout is relative, in milliseconds, so
// that the clocks of sender and receiver need not agree.
const (
	HeaderAttempt   = "Chicorystall-Attempt"
	HeaderTimeout   = "Chicorystall-Timeout"
	HeaderForwarded = "Chicorystall-Forwarded"
)

const (
	maxAttemptNumber = 1000
	maxTimeout       = 24 * time.Hour
)

// Attempt describes one attempt to send a request. It is immutable.
type Attempt struct {
	Number    int       // counts from 1; 0 if the sender did not state it
	Deadline  time.Time // zero if there is none
	Forwarded bool      // the request came from another instance, which does the retries
}

// IsFirst reports whether the sender stated that this is the first attempt.
func (a Attempt) IsFirst() bool { return a.Number == 1 }

// TimeLeft returns the time until the deadline, and whether there is a deadline.
func (a Attempt) TimeLeft(now time.Time) (time.Duration, bool) {
	if a.Deadline.IsZero() {
		return 0, false
	}
	return a.Deadline.Sub(now), true
}

// WithNext returns the attempt that follows this one.
func (a Attempt) WithNext() Attempt {
	a.Number = max(a.Number, 1) + 1
	return a
}

// WithForwarded returns the attempt as forwarded to another instance.
func (a Attempt) WithForwarded() Attempt {
	a.Forwarded = true
	return a
}

// WithDeadline returns the attempt with the earlier of its own deadline and d.
func (a Attempt) WithDeadline(d time.Time) Attempt {
	if a.Deadline.IsZero() || d.Before(a.Deadline) {
		a.Deadline = d
	}
	return a
}

// Set writes the attempt to the headers of a request that is about to be sent.
func (a Attempt) Set(h http.Header, now time.Time) {
	h.Del(HeaderAttempt)
	h.Del(HeaderTimeout)
	h.Del(HeaderForwarded)
	if a.Number > 0 {
		h.Set(HeaderAttempt, strconv.Itoa(a.Number))
	}
	if left, ok := a.TimeLeft(now); ok {
		h.Set(HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 0), 10))
	}
	if a.Forwarded {
		h.Set(HeaderForwarded, "1")
	}
}

// ParseAttempt reads the attempt from the headers of a request that has just
// arrived. Absent headers leave their fields zero. The error joins the errors of all
// headers.
func ParseAttempt(h http.Header, now time.Time) (Attempt, error) {
	var a Attempt
	number, err1 := parseNumber(h, HeaderAttempt, 1, maxAttemptNumber)
	a.Number = number
	milliseconds, err2 := parseNumber(h, HeaderTimeout, 0, int(maxTimeout.Milliseconds()))
	if err2 == nil && h.Get(HeaderTimeout) != "" {
		a.Deadline = now.Add(time.Duration(milliseconds) * time.Millisecond)
	}
	forwarded, err3 := parseNumber(h, HeaderForwarded, 1, 1)
	a.Forwarded = forwarded == 1
	return a, errors.Join(err1, err2, err3)
}

// parseNumber parses a header as a number from low to high. It returns 0 if the
// header is absent.
func parseNumber(h http.Header, name string, low, high int) (int, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil || int(n) < low || int(n) > high {
		return 0, fmt.Errorf("header %s is %q, want a number from %d to %d", name, text, low, high)
	}
	return int(n), nil
}
