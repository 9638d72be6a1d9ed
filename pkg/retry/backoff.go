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

// Backoff computes delays with exponential backoff and full jitter. The zero value is
// ready to use.
type Backoff struct {
	Base    time.Duration  // upper bound of the first delay; 0 means DefaultBase
	Max     time.Duration  // upper bound of all delays; 0 means DefaultMax
	Float64 func() float64 // random numbers in [0, 1); nil means rand.Float64 of math/rand/v2
}

// Delay returns the delay before the attempt that follows attempt number n. It is
// random from 0 to Base doubled n-1 times, at most Max.
func (b Backoff) Delay(n int) time.Duration {
	return time.Duration(b.randomFraction() * float64(b.upperBound(n)))
}

// RetryAfter returns the Retry-After for a caller that was refused on attempt
// number n. It is minWait plus Delay(n), so that callers don't retry at the
// same time.
func (b Backoff) RetryAfter(n int, minWait time.Duration) time.Duration {
	return minWait + b.Delay(n)
}

func (b Backoff) upperBound(n int) time.Duration {
	limit := orDefault(b.Max, DefaultMax)
	upper := orDefault(b.Base, DefaultBase)
	for ; n > 1 && upper < limit; n-- {
		upper *= 2
	}
	return min(upper, limit)
}

func (b Backoff) randomFraction() float64 {
	if b.Float64 == nil {
		return rand.Float64()
	}
	return b.Float64()
}

// FormatRetryAfter returns the value of a Retry-After header: the duration in whole
// seconds, rounded up, at least 1.
func FormatRetryAfter(d time.Duration) string {
	seconds := (d + time.Second - 1) / time.Second
	return strconv.FormatInt(max(int64(seconds), 1), 10)
}

// maxRetryAfter bounds the Retry-After of a backend server.
const maxRetryAfter = 24 * time.Hour

// ParseRetryAfter parses the value of a Retry-After header, either seconds or an HTTP
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
