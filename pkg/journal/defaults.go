package journal

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"
)

const (
	pageEntries       = 256 // entries of one read
	snapshotEntries   = 4096
	defaultRetryMin   = 100 * time.Millisecond
	defaultRetryMax   = 2 * time.Second
	defaultWait       = 5 * time.Second
	snapshotFractions = 4 // a snapshot is due after Retention / snapshotFractions
)

func (f *Follower) now() time.Time {
	if f.Now != nil {
		return f.Now()
	}
	return time.Now()
}

func (f *Follower) retry() backoff {
	return backoff{
		min:    cmp.Or(f.RetryMin, defaultRetryMin),
		max:    cmp.Or(f.RetryMax, defaultRetryMax),
		jitter: f.Jitter,
	}
}

func (f *Follower) wait() time.Duration {
	return cmp.Or(f.Wait, defaultWait)
}

// backoff makes pauses that double up to a maximum, with jitter.
type backoff struct {
	min, max time.Duration
	jitter   func() float64 // nil stands for math/rand
	last     time.Duration
}

// next returns the next pause: half of it fixed, half random.
func (b *backoff) next() time.Duration {
	b.last = min(max(2*b.last, b.min), b.max)
	return b.last/2 + time.Duration(random(b.jitter)*float64(b.last/2))
}

// random returns a number in [0,1).
func random(jitter func() float64) float64 {
	if jitter == nil {
		return rand.Float64()
	}
	return jitter()
}

// sleep waits for the span. It returns early with the context's error.
func sleep(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
