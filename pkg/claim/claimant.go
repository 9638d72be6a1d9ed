package claim

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

// Defaults of Claimant.
const (
	DefaultMaxDelay            = 5 * time.Millisecond
	DefaultClaimTimeout        = 2 * time.Second
	DefaultAppendTimeout       = time.Second
	DefaultPendingWait         = 5 * time.Second
	DefaultAskInterval         = 200 * time.Millisecond
	DefaultMaxBatchBytes       = 256 << 10
	DefaultMaxAppendsPerSecond = 30
)

// ErrClaimantEnded reports that the process of a claimant has ended, so that it can't be
// asked any more.
var ErrClaimantEnded = errors.New("claimant has ended")

// Claimant claims keys for one process. ID and Log must be set; the other fields are
// optional. No field may be changed after the first call. Begin succeeds only while Run
// is running.
type Claimant struct {
	ID     ClaimantID // unique to each run of the process
	Log    journal.Log
	Shards int // number of claim streams, the same in all processes; 0 means DefaultShards

	// AskClaimant asks another claimant for the outcome of its claim, by calling
	// Outcome in its process. It returns an error if the claimant is unreachable,
	// marked with ErrClaimantEnded if it has ended. If AskClaimant is nil, all other
	// claimants are taken as unreachable.
	AskClaimant func(ctx context.Context, claimant ClaimantID, key Key, id ClaimID) (Outcome, error)

	Now        func() time.Time // nil means time.Now
	NewClaimID func() ClaimID   // nil means random IDs

	MaxDelay            time.Duration // how long a record waits for others to share its append; negative means not at all
	ClaimTimeout        time.Duration // how long Begin waits until the log has decided its claim
	AppendTimeout       time.Duration // after this the outcome of an append is taken as unknown
	PendingWait         time.Duration // how long Begin waits for another claimant's request to end
	AskInterval         time.Duration // time between two calls of AskClaimant for a key
	MaxBatchBytes       int           // estimated size of one append
	MaxAppendsPerSecond float64       // sustained appends per second over all shards; negative means no limit

	Window         time.Duration // as in Shard
	SkewMargin     time.Duration // as in Shard
	Retention      time.Duration // as in Shard
	MaxAnswerBytes int           // total size of the answer bodies in memory, over all shards

	mu      sync.Mutex
	limiter *rate.Limiter // of appends; nil if there is no limit
	runners map[int]*runner
	spawn   func(*runner) // starts the runner's goroutines; set while Run is running
	stats   counters
}

// Run appends records and reads the claim streams until ctx ends. Reading of a stream
// starts with the first call that needs it. The returned error is never nil.
func (c *Claimant) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	c.mu.Lock()
	c.limiter = newLimiter(orDefault(c.MaxAppendsPerSecond, DefaultMaxAppendsPerSecond))
	c.spawn = func(r *runner) {
		g.Go(func() error { return r.appendLoop(ctx) })
		g.Go(func() error { return r.readLoop(ctx) })
	}
	for _, r := range c.runners {
		c.spawn(r)
	}
	// The group must hold a goroutine before Begin may add others, which would race with Wait.
	g.Go(func() error {
		<-ctx.Done()
		c.mu.Lock()
		c.spawn = nil
		c.mu.Unlock()
		return ctx.Err()
	})
	c.mu.Unlock()
	return g.Wait()
}

// limiterBurstDivisor is the ratio of MaxAppendsPerSecond to the number of appends that may be
// sent in one burst.
const limiterBurstDivisor = 6

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond < 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond)/limiterBurstDivisor, 1))
}

// awaitAppendLimit waits until MaxAppendsPerSecond allows one more append.
func (c *Claimant) awaitAppendLimit(ctx context.Context) {
	if c.limiter != nil {
		_ = c.limiter.Wait(ctx) // fails only when ctx ends, and then the append fails too
	}
}

// Follow starts to read the key's stream, so that a later Begin need not wait for it.
func (c *Claimant) Follow(key Key) { c.runnerFor(key) }

func (c *Claimant) runnerFor(key Key) *runner {
	shards := orDefault(c.Shards, DefaultShards)
	n := key.Shard(shards)
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.runners[n]; r != nil {
		return r
	}
	if c.runners == nil {
		c.runners = map[int]*runner{}
	}
	r := newRunner(c, Stream(n), shards)
	c.runners[n] = r
	if c.spawn != nil {
		c.spawn(r)
	}
	return r
}

// Begin claims the right to run the request with this key and digest. An error means
// that this attempt never runs: see UnavailableError and FutureKeyError. If ctx ends
// before the log has decided the claim, the attempt is given up and can never run.
func (c *Claimant) Begin(ctx context.Context, key Key, digest Digest) (Decision, error) {
	margin := 2 * orDefault(c.SkewMargin, DefaultSkewMargin) // for the skew of this clock and of the clock that made the key
	if ahead := key.Time().Sub(c.now()); ahead > margin {
		return Decision{}, &FutureKeyError{Key: key, Ahead: ahead, Margin: margin}
	}
	r := c.runnerFor(key)
	if d, ok := r.decideWithoutClaim(ctx, key, digest); ok {
		return d, nil
	}
	a, err := r.claim(ctx, key, digest)
	if err != nil {
		return Decision{}, err
	}
	switch r.phase(a) {
	case phaseExpired:
		return expiredDecision(), nil
	case phaseLost:
		return r.resolveHeldKey(ctx, key, digest, r.lookup(key)), nil
	default:
		return Decision{Outcome: Outcome{Kind: Run}, Grant: &Grant{runner: r, attempt: a}}, nil
	}
}

// Outcome returns the outcome of one of this process's claims, for another process that
// found the claim in the log.
func (c *Claimant) Outcome(key Key, id ClaimID) Outcome {
	r := c.runnerFor(key)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.participant.outcome(key, id)
}

// Flush waits until all records of this process are in the log, or until ctx ends. It is
// meant for a graceful shutdown, after the last call of Begin.
func (c *Claimant) Flush(ctx context.Context) error {
	c.mu.Lock()
	var unfinished []*attempt
	for _, r := range c.runners {
		r.mu.Lock()
		unfinished = append(unfinished, r.participant.attempts...)
		r.mu.Unlock()
	}
	c.mu.Unlock()
	for _, a := range unfinished {
		select {
		case <-a.recorded:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (c *Claimant) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

func (c *Claimant) newClaimID() ClaimID {
	if c.NewClaimID == nil {
		return uuid.New()
	}
	return c.NewClaimID()
}

func expiredDecision() Decision {
	return Decision{Outcome: Outcome{Kind: Unknown, Reason: "key is older than what is known of past claims"}}
}
