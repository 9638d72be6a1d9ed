package claim

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/cockroachdb/errors"
)

const (
	minLogBackoff  = 50 * time.Millisecond
	maxLogBackoff  = 2 * time.Second
	maxReadEntries = 256
	readWait       = 10 * time.Second
)

// runner does the I/O for one claim stream: one goroutine appends, another reads.
type runner struct {
	claimant *Claimant
	stream   string
	wake     chan struct{}

	mu               sync.Mutex
	participant      participant
	changed          chan struct{} // closed and replaced after each read of the stream
	readErr          error         // of the last read, nil if it succeeded
	appendErr        error
	unavailableUntil time.Time // new attempts fail at once until then
}

func newRunner(c *Claimant, stream string, shards int) *runner {
	r := &runner{
		claimant: c,
		stream:   stream,
		wake:     make(chan struct{}, 1),
		changed:  make(chan struct{}),
	}
	answerBytes := orDefault(c.MaxAnswerBytes, DefaultMaxAnswerBytes) / shards
	r.participant.shard = Shard{
		Window:         c.Window,
		SkewMargin:     c.SkewMargin,
		Retention:      c.Retention,
		MaxAnswerBytes: max(answerBytes, 1),
	}
	return r
}

func (r *runner) lookup(key Key) KeyStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.participant.shard.Lookup(key)
}

func (r *runner) phase(a *attempt) phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	return a.phase
}

// claim appends a claim and waits until the log has decided it. An error means that the
// attempt never runs.
func (r *runner) claim(ctx context.Context, key Key, digest Digest) (*attempt, error) {
	r.mu.Lock()
	if wait := r.unavailableUntil.Sub(r.claimant.now()); wait > 0 {
		err := r.unavailableError(r.appendErr)
		r.mu.Unlock()
		return nil, err
	}
	a := r.participant.begin(key, digest, r.claimant.newClaimID())
	r.mu.Unlock()
	r.wakeAppender()

	ctx, cancel := context.WithTimeout(ctx, orDefault(r.claimant.ClaimTimeout, DefaultClaimTimeout))
	defer cancel()
	select {
	case <-a.settled:
		return a, nil
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.participant.giveUp(a, "claim was given up") {
		return a, nil // the claim was decided at the same moment
	}
	r.claimant.stats.givenUp.Add(1)
	r.wakeAppender() // a claim that was sent must be released
	return nil, r.unavailableError(errors.CombineErrors(r.lastErr(), ctx.Err()))
}

func (r *runner) lastErr() error {
	if r.appendErr != nil {
		return r.appendErr
	}
	return r.readErr
}

func (r *runner) unavailableError(err error) *UnavailableError {
	after := max(r.unavailableUntil.Sub(r.claimant.now()), minLogBackoff)
	return &UnavailableError{Stream: r.stream, RetryAfter: after, Err: err}
}

// wakeAppender wakes appendLoop.
func (r *runner) wakeAppender() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// appendLoop appends the records of the attempts, one batch at a time.
func (r *runner) appendLoop(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if failures == 0 {
			r.awaitRecords(ctx)
		}
		more, err := r.appendBatch(ctx)
		if err != nil {
			failures++
			sleep(ctx, r.recordAppendFailure(failures, err))
			continue
		}
		failures = 0
		if more {
			r.wakeAppender()
		}
	}
	return ctx.Err()
}

// awaitRecords waits for wakeAppender, then up to the maximum delay for more records to
// share the append, and then for the append limit.
func (r *runner) awaitRecords(ctx context.Context) {
	select {
	case <-r.wake:
		sleep(ctx, r.maxDelay())
		r.claimant.awaitAppendLimit(ctx)
	case <-ctx.Done():
	}
}

func (r *runner) maxDelay() time.Duration {
	return max(orDefault(r.claimant.MaxDelay, DefaultMaxDelay), 0)
}

// appendBatch appends one batch and reports whether more records are waiting.
func (r *runner) appendBatch(ctx context.Context) (more bool, err error) {
	r.mu.Lock()
	records, sent := r.participant.nextBatch(orDefault(r.claimant.MaxBatchBytes, DefaultMaxBatchBytes))
	r.mu.Unlock()
	if len(records) == 0 {
		return false, ctx.Err()
	}
	data, err := Batch{Claimant: r.claimant.ID, Records: records}.Encode()
	if err != nil {
		return false, err
	}
	actx, cancel := context.WithTimeout(ctx, orDefault(r.claimant.AppendTimeout, DefaultAppendTimeout))
	defer cancel()
	at, err := r.claimant.Log.Append(actx, r.stream, data)
	r.claimant.stats.appends.Add(1)
	if err != nil {
		return false, err
	}
	r.claimant.stats.records.Add(int64(len(records)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendErr = nil
	r.unavailableUntil = time.Time{}
	r.participant.recordAppended(sent, at)
	return r.participant.hasUnappended(), nil
}

// recordAppendFailure stores the error of a failed append and returns the delay before
// the next one. If the log is unavailable, new attempts fail at once during that delay.
func (r *runner) recordAppendFailure(failures int, err error) time.Duration {
	d := min(minLogBackoff<<min(failures-1, 10), maxLogBackoff)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendErr = err
	if errors.Is(err, journal.ErrUnavailable) {
		r.unavailableUntil = r.claimant.now().Add(d)
	}
	return d
}

// readLoop reads the stream and applies its entries, from the oldest that the log keeps.
func (r *runner) readLoop(ctx context.Context) error {
	backoff := minLogBackoff
	for ctx.Err() == nil {
		err := r.readPage(ctx)
		if err == nil {
			backoff = minLogBackoff
			continue
		}
		r.mu.Lock()
		r.readErr = err
		r.mu.Unlock()
		sleep(ctx, backoff)
		backoff = min(backoff*2, maxLogBackoff)
	}
	return ctx.Err()
}

func (r *runner) readPage(ctx context.Context) error {
	r.mu.Lock()
	from := r.participant.shard.Next()
	r.mu.Unlock()
	rctx, cancel := context.WithTimeout(ctx, 2*readWait)
	defer cancel()
	page, err := r.claimant.Log.Read(rctx, r.stream, from, maxReadEntries, readWait)
	expired := errors.Is(err, journal.ErrExpired)
	if err != nil && !expired {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if page.First > from {
		r.participant.skip(page.First, r.claimant.now())
		expired = false
	}
	for _, e := range page.Entries {
		if err := r.participant.apply(e); err != nil {
			return err
		}
	}
	r.readErr = nil
	close(r.changed)
	r.changed = make(chan struct{})
	if expired {
		return err
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
