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

// runner does the I/O of one claim stream: one goroutine appends, one reads.
type runner struct {
	c      *Claimant
	stream string
	wake   chan struct{}

	mu        sync.Mutex
	part      participant
	changed   chan struct{} // closed and replaced when the fold moves
	readErr   error         // why the fold does not move
	appendErr error
	awayUntil time.Time // no append is tried before
}

func newRunner(c *Claimant, stream string, shards int) *runner {
	r := &runner{
		c:       c,
		stream:  stream,
		wake:    make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
	answerBytes := orDefault(c.MaxAnswerBytes, DefaultMaxAnswerBytes) / shards
	r.part.shard = Shard{
		Window:         c.Window,
		SkewMargin:     c.SkewMargin,
		Retention:      c.Retention,
		MaxAnswerBytes: max(answerBytes, 1),
	}
	return r
}

func (r *runner) lookup(key Key) Holding {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.part.shard.Lookup(key)
}

func (r *runner) phase(a *attempt) phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	return a.phase
}

// claim appends a claim and waits for its verdict. An error means that the
// attempt was given up.
func (r *runner) claim(ctx context.Context, key Key, digest Digest) (*attempt, error) {
	r.mu.Lock()
	if wait := r.awayUntil.Sub(r.c.now()); wait > 0 {
		err := r.unavailable(r.appendErr)
		r.mu.Unlock()
		return nil, err
	}
	a := r.part.begin(key, digest, r.c.newClaimID())
	r.mu.Unlock()
	r.kick()

	ctx, cancel := context.WithTimeout(ctx, orDefault(r.c.ClaimTimeout, DefaultClaimTimeout))
	defer cancel()
	select {
	case <-a.settled:
		return a, nil
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.part.giveUp(a, "claim was given up") {
		return a, nil // the verdict came at the same moment
	}
	r.c.stats.givenUp.Add(1)
	r.kick() // a claim that was sent needs its release
	return nil, r.unavailable(errors.CombineErrors(r.lastErr(), ctx.Err()))
}

func (r *runner) lastErr() error {
	if r.appendErr != nil {
		return r.appendErr
	}
	return r.readErr
}

func (r *runner) unavailable(err error) *UnavailableError {
	after := max(r.awayUntil.Sub(r.c.now()), minLogBackoff)
	return &UnavailableError{Stream: r.stream, RetryAfter: after, Err: err}
}

// kick wakes the goroutine that appends.
func (r *runner) kick() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// write appends what the attempts want in the log, one batch at a time.
func (r *runner) write(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if failures == 0 {
			r.awaitWork(ctx)
		}
		again, err := r.appendBatch(ctx)
		if err != nil {
			failures++
			sleep(ctx, r.backOff(failures, err))
			continue
		}
		failures = 0
		if again {
			r.kick()
		}
	}
	return ctx.Err()
}

// awaitWork waits for a kick and then for company in the batch.
func (r *runner) awaitWork(ctx context.Context) {
	select {
	case <-r.wake:
		sleep(ctx, r.maxDelay())
		r.c.awaitAppend(ctx)
	case <-ctx.Done():
	}
}

func (r *runner) maxDelay() time.Duration {
	return max(orDefault(r.c.MaxDelay, DefaultMaxDelay), 0)
}

// appendBatch appends one batch and reports whether more is waiting.
func (r *runner) appendBatch(ctx context.Context) (again bool, err error) {
	r.mu.Lock()
	records, flights := r.part.batch(orDefault(r.c.MaxBatchBytes, DefaultMaxBatchBytes))
	r.mu.Unlock()
	if len(records) == 0 {
		return false, ctx.Err()
	}
	data, err := Batch{Claimant: r.c.ID, Records: records}.Encode()
	if err != nil {
		return false, err
	}
	actx, cancel := context.WithTimeout(ctx, orDefault(r.c.AppendTimeout, DefaultAppendTimeout))
	defer cancel()
	at, err := r.c.Log.Append(actx, r.stream, data)
	r.c.stats.appends.Add(1)
	if err != nil {
		return false, err
	}
	r.c.stats.records.Add(int64(len(records)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendErr = nil
	r.awayUntil = time.Time{}
	r.part.appended(flights, at)
	return r.part.hasWork(), nil
}

// backOff notes a failed append. Until the time that it returns has passed, new
// attempts are refused at once.
func (r *runner) backOff(failures int, err error) time.Duration {
	d := min(minLogBackoff<<min(failures-1, 10), maxLogBackoff)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendErr = err
	if errors.Is(err, journal.ErrUnavailable) {
		r.awayUntil = r.c.now().Add(d)
	}
	return d
}

// read folds the stream from the first entry that it keeps.
func (r *runner) read(ctx context.Context) error {
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
	from := r.part.shard.Next()
	r.mu.Unlock()
	rctx, cancel := context.WithTimeout(ctx, 2*readWait)
	defer cancel()
	page, err := r.c.Log.Read(rctx, r.stream, from, maxReadEntries, readWait)
	gone := errors.Is(err, journal.ErrExpired)
	if err != nil && !gone {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if page.First > from {
		r.part.skip(page.First, r.c.now())
		gone = false
	}
	for _, e := range page.Entries {
		if err := r.part.apply(e); err != nil {
			return err
		}
	}
	r.readErr = nil
	close(r.changed)
	r.changed = make(chan struct{})
	if gone {
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
