package retry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Defaults of Backoff.
const (
	DefaultBase = 50 * time.Millisecond
	DefaultMax  = 5 * time.Second
)

// Backoff computes waits with full jitter. The zero value is ready.
type Backoff struct {
	Base    time.Duration  // upper end of the first wait; 0 means DefaultBase
	Max     time.Duration  // upper end of all waits; 0 means DefaultMax
	Float64 func() float64 // random in [0, 1); nil means math/rand/v2
}

// Delay returns the wait before the try that follows try number n: anything
// from 0 to Base doubled n-1 times, and to Max at most.
func (b Backoff) Delay(n int) time.Duration {
	return time.Duration(b.random() * float64(b.upper(n)))
}

// RetryAfter returns what to tell a caller who was refused on try number n: from
// least to least plus the upper end of Delay, so that callers don't come back
// together.
func (b Backoff) RetryAfter(n int, least time.Duration) time.Duration {
	return least + b.Delay(n)
}

func (b Backoff) upper(n int) time.Duration {
	limit := orDefault(b.Max, DefaultMax)
	upper := orDefault(b.Base, DefaultBase)
	for ; n > 1 && upper < limit; n-- {
		upper *= 2
	}
	return min(upper, limit)
}

func (b Backoff) random() float64 {
	if b.Float64 == nil {
		return rand.Float64()
	}
	return b.Float64()
}

// FormatRetryAfter returns the value of a Retry-After header: whole seconds,
// rounded up, at least 1.
func FormatRetryAfter(d time.Duration) string {
	seconds := (d + time.Second - 1) / time.Second
	return strconv.FormatInt(max(int64(seconds), 1), 10)
}

// maxRetryAfter bounds what a backend server may ask for.
const maxRetryAfter = 24 * time.Hour

// ParseRetryAfter parses the value of a Retry-After header: seconds or an HTTP
// date. The result is from 0 to one day.
func ParseRetryAfter(text string, now time.Time) (time.Duration, error) {
	if seconds, err := strconv.ParseUint(text, 10, 63); err == nil {
		return time.Duration(min(seconds, uint64(maxRetryAfter/time.Second))) * time.Second, nil
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0, fmt.Errorf("Retry-After %q is neither seconds nor an HTTP date", text)
	}
	return min(max(at.Sub(now), 0), maxRetryAfter), nil
}
