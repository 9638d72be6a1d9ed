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

// ErrClaimantEnded reports that a claimant has ended and will never tell more.
var ErrClaimantEnded = errors.New("claimant has ended")

// Claimant claims keys for one process. ID and Log have to be set before use,
// all other fields may stay zero; none may change after the first call. Run must
// be running for Begin to succeed.
type Claimant struct {
	ID     ClaimantID // differs after each start of the process
	Log    journal.Log
	Shards int // number of claim streams, the same in every process; 0 means DefaultShards

	// AskClaimant asks the claimant what became of its claim, by calling Outcome
	// there. It returns an error if the claimant can't be reached, marked with
	// ErrClaimantEnded if it has ended; nil means that other claimants can never be
	// reached.
	AskClaimant func(ctx context.Context, claimant ClaimantID, key Key, id ClaimID) (Outcome, error)

	Now        func() time.Time // nil means time.Now
	NewClaimID func() ClaimID   // nil means random IDs

	MaxDelay            time.Duration // longest wait for company in a batch; negative means none
	ClaimTimeout        time.Duration // longest wait for the verdict of the log
	AppendTimeout       time.Duration // after it the outcome of an append counts as unknown
	PendingWait         time.Duration // longest wait for another claimant's run to end
	AskInterval         time.Duration // between two questions to a claimant
	MaxBatchBytes       int           // bytes of one append, by estimate
	MaxAppendsPerSecond float64       // appends a second over all shards, in a long run; negative means any

	Window         time.Duration // as in Shard
	SkewMargin     time.Duration // as in Shard
	Retention      time.Duration // as in Shard
	MaxAnswerBytes int           // bodies kept in memory, for all shards

	mu      sync.Mutex
	limiter *rate.Limiter // of appends; nil for none
	runners map[int]*runner
	spawn   func(*runner) // set while Run runs
	stats   counters
}

// Run appends and reads until ctx ends. Streams are read from the first call
// that needs them on. It always returns an error.
func (c *Claimant) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	c.mu.Lock()
	c.limiter = newLimiter(orDefault(c.MaxAppendsPerSecond, DefaultMaxAppendsPerSecond))
	c.spawn = func(r *runner) {
		g.Go(func() error { return r.write(ctx) })
		g.Go(func() error { return r.read(ctx) })
	}
	for _, r := range c.runners {
		c.spawn(r)
	}
	c.mu.Unlock()
	g.Go(func() error {
		<-ctx.Done()
		c.mu.Lock()
		c.spawn = nil
		c.mu.Unlock()
		return ctx.Err()
	})
	return g.Wait()
}

// limiterBurstDivisor sets the part of a second's appends that may go at once.
const limiterBurstDivisor = 6

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond < 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond)/limiterBurstDivisor, 1))
}

// awaitAppend waits until the limit allows one more append.
func (c *Claimant) awaitAppend(ctx context.Context) {
	if c.limiter != nil {
		_ = c.limiter.Wait(ctx) // fails only when ctx ends, which ends the append too
	}
}

// Follow starts to read the key's stream, so that a later Begin finds it read.
func (c *Claimant) Follow(key Key) { c.runner(key) }

func (c *Claimant) runner(key Key) *runner {
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

// Begin asks for the right to run the request with this key and digest. An
// error means that this attempt never runs: see UnavailableError and
// FutureKeyError. When ctx ends before the log's verdict, the attempt is given
// up for good.
func (c *Claimant) Begin(ctx context.Context, key Key, digest Digest) (Decision, error) {
	margin := 2 * orDefault(c.SkewMargin, DefaultSkewMargin) // of this clock and of the key's
	if ahead := key.Time().Sub(c.now()); ahead > margin {
		return Decision{}, &FutureKeyError{Key: key, Ahead: ahead, Margin: margin}
	}
	r := c.runner(key)
	if d, ok := r.known(ctx, key, digest); ok {
		return d, nil
	}
	a, err := r.claim(ctx, key, digest)
	if err != nil {
		return Decision{}, err
	}
	switch r.phase(a) {
	case phaseExpired:
		return expired(), nil
	case phaseLost:
		return r.judge(ctx, key, digest, r.lookup(key)), nil
	default:
		return Decision{Outcome: Outcome{Kind: Run}, Grant: &Grant{runner: r, attempt: a}}, nil
	}
}

// Outcome answers another process that found a claim of this one in the log.
func (c *Claimant) Outcome(key Key, id ClaimID) Outcome {
	r := c.runner(key)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.part.outcome(key, id)
}

// Flush waits until the log holds all that this process has to record, or ctx
// ends. It is for a graceful shutdown, when no more Begin is called.
func (c *Claimant) Flush(ctx context.Context) error {
	c.mu.Lock()
	var open []*attempt
	for _, r := range c.runners {
		r.mu.Lock()
		open = append(open, r.part.attempts...)
		r.mu.Unlock()
	}
	c.mu.Unlock()
	for _, a := range open {
		select {
		case <-a.written:
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

func expired() Decision {
	return Decision{Outcome: Outcome{Kind: Unknown, Reason: "key is older than what is known of past claims"}}
}
