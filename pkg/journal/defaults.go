package journal

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"
)

const (
	maxPageEntries         = 256 // maximum number of entries in one read
	defaultSnapshotEntries = 4096
	defaultRetryMin        = 100 * time.Millisecond
	defaultRetryMax        = 2 * time.Second
	defaultWait            = 5 * time.Second
	snapshotAgeDivisor     = 4 // a snapshot is due at an age of Retention / snapshotAgeDivisor or up to twice that
)

func (f *Follower) now() time.Time {
	if f.Now != nil {
		return f.Now()
	}
	return time.Now()
}

func (f *Follower) newBackoff() backoff {
	return backoff{
		min:    cmp.Or(f.RetryMin, defaultRetryMin),
		max:    cmp.Or(f.RetryMax, defaultRetryMax),
		jitter: f.Jitter,
	}
}

func (f *Follower) maxWait() time.Duration {
	return cmp.Or(f.Wait, defaultWait)
}

// backoff computes retry delays that double up to a maximum, with jitter.
type backoff struct {
	min, max time.Duration
	jitter   func() float64 // random number in [0,1); nil means math/rand
	current  time.Duration
}

// next returns the next delay: between half and all of the current value.
func (b *backoff) next() time.Duration {
	b.current = min(max(2*b.current, b.min), b.max)
	return b.current/2 + time.Duration(random(b.jitter)*float64(b.current/2))
}

// random returns a number in [0,1).
func random(jitter func() float64) float64 {
	if jitter == nil {
		return rand.Float64()
	}
	return jitter()
}

// sleep waits for the duration. If the context ends first, it returns the
// context's error.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
