package retry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers that carry an Attempt. The timeout is relative, in milliseconds, so
// that the clocks of the two ends need not agree.
const (
	HeaderAttempt   = "Chicorystall-Attempt"
	HeaderTimeout   = "Chicorystall-Timeout"
	HeaderForwarded = "Chicorystall-Forwarded"
)

const (
	maxAttemptNumber = 1000
	maxTimeout       = 24 * time.Hour
)

// Attempt is one try of a request. It is immutable.
type Attempt struct {
	Number    int       // from 1; 0 means that the sender did not say
	Deadline  time.Time // zero means none
	Forwarded bool      // another instance sent it and does the retries
}

// First reports whether the sender said that this is the first try.
func (a Attempt) First() bool { return a.Number == 1 }

// Left returns the time until the deadline, and whether there is one.
func (a Attempt) Left(now time.Time) (time.Duration, bool) {
	if a.Deadline.IsZero() {
		return 0, false
	}
	return a.Deadline.Sub(now), true
}

// WithNext returns the attempt that follows.
func (a Attempt) WithNext() Attempt {
	a.Number = max(a.Number, 1) + 1
	return a
}

// WithForwarded returns the attempt as it is sent to another instance.
func (a Attempt) WithForwarded() Attempt {
	a.Forwarded = true
	return a
}

// WithDeadline returns the attempt with the earlier of its deadline and d.
func (a Attempt) WithDeadline(d time.Time) Attempt {
	if a.Deadline.IsZero() || d.Before(a.Deadline) {
		a.Deadline = d
	}
	return a
}

// Set writes the attempt to the headers of a request that is sent now.
func (a Attempt) Set(h http.Header, now time.Time) {
	h.Del(HeaderAttempt)
	h.Del(HeaderTimeout)
	h.Del(HeaderForwarded)
	if a.Number > 0 {
		h.Set(HeaderAttempt, strconv.Itoa(a.Number))
	}
	if left, ok := a.Left(now); ok {
		h.Set(HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 0), 10))
	}
	if a.Forwarded {
		h.Set(HeaderForwarded, "1")
	}
}

// ParseAttempt reads the attempt from the headers of a request that arrived now.
// Absent headers leave their fields zero. The error joins all findings.
func ParseAttempt(h http.Header, now time.Time) (Attempt, error) {
	var a Attempt
	number, err1 := parseNumber(h, HeaderAttempt, 1, maxAttemptNumber)
	a.Number = number
	millis, err2 := parseNumber(h, HeaderTimeout, 0, int(maxTimeout.Milliseconds()))
	if err2 == nil && h.Get(HeaderTimeout) != "" {
		a.Deadline = now.Add(time.Duration(millis) * time.Millisecond)
	}
	forwarded, err3 := parseNumber(h, HeaderForwarded, 1, 1)
	a.Forwarded = forwarded == 1
	return a, errors.Join(err1, err2, err3)
}

// parseNumber returns 0 if the header is absent.
func parseNumber(h http.Header, name string, least, most int) (int, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil || int(n) < least || int(n) > most {
		return 0, fmt.Errorf("header %s is %q, want a number from %d to %d", name, text, least, most)
	}
	return int(n), nil
}
