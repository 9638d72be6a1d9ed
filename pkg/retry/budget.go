package retry

import (
	"sync"
	"time"
)

// Defaults of Budget.
const (
	DefaultRatio        = 0.1
	DefaultMinPerSecond = 0.1
	DefaultBurst        = 10
)

// Budget is a token bucket that limits retries to a fraction of the first attempts.
// The zero value is ready to use. It is safe for concurrent use.
//
// With a Window, first attempts add nothing to the bucket. Instead, in any window up to
// Ratio times the first attempts in it are allowed, besides what is in the bucket. So
// the retries that steady traffic has earned are there at once when a backend server
// fails many requests together, which a small share of Burst would not allow.
//
// Processes that share one allowance each have a Budget with the whole allowance
// and a Share. Ratio isn't divided, since each process counts its own first attempts.
type Budget struct {
	Ratio          float64 // retries added by each first attempt; 0 means DefaultRatio
	MinPerSecond   float64 // retries added each second; 0 means DefaultMinPerSecond, a negative value none
	Burst          float64 // capacity of the bucket in retries; 0 means DefaultBurst
	InitialRetries float64 // retries in the bucket before the first request
	// Window is the time over which the retries that first attempts allow are counted. 0
	// means that first attempts fill the bucket.
	Window time.Duration
	// StartRatio replaces Ratio for one Window after the first use. A process that restarts
	// doesn't know what its predecessor spent, and both count in one window. 0 means Ratio.
	StartRatio float64
	// Share returns the fraction, from 0 to 1, of MinPerSecond, Burst and the initial
	// retries that belongs to this budget now. It is called at each use. While it is
	// 0, only first attempts add retries. A share above all earlier ones adds the
	// corresponding part of the initial retries. Retries above the current fraction
	// of Burst are discarded, but never the last one. Nil means a fraction of 1.
	Share func() float64

	mu           sync.Mutex
	tokens       float64
	firstUse     time.Time
	lastRefill   time.Time
	share        float64 // result of the last call of Share
	initialShare float64 // fraction of the initial retries that was added
	firsts       slidingCount
	earned       slidingCount // retries that first attempts allowed, not the bucket
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.Window > 0 {
		b.firsts.add(now, b.Window)
		return
	}
	b.addTokens(orDefault(b.Ratio, DefaultRatio))
}

// Take removes one retry and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	switch {
	case b.hasEarned(now):
		b.earned.add(now, b.Window)
	case b.tokens >= 1:
		b.tokens--
	default:
		return false
	}
	return true
}

// hasEarned reports whether the first attempts of the last window allow a retry.
func (b *Budget) hasEarned(now time.Time) bool {
	if b.Window <= 0 {
		return false
	}
	ratio := orDefault(b.Ratio, DefaultRatio)
	if now.Sub(b.firstUse) <= b.Window {
		ratio = orDefault(b.StartRatio, ratio)
	}
	allowed := ratio * float64(b.firsts.atLeast(now, b.Window))
	return float64(b.earned.atMost(now, b.Window)+1) <= allowed
}

// Refund puts back a retry that was taken but not made.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addTokens(1)
}

// Wait returns the time until a retry is allowed if no first attempt occurs. It is 0
// if a retry is allowed now, and maxWait if nothing is added without traffic.
func (b *Budget) Wait(now time.Time, maxWait time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	missing := 1 - b.tokens
	if missing <= 0 || b.hasEarned(now) {
		return 0
	}
	rate := b.refillRate()
	if rate <= 0 {
		return maxWait
	}
	wait := missing / rate * float64(time.Second)
	return time.Duration(min(wait, float64(maxWait)))
}

func (b *Budget) refill(now time.Time) {
	b.share = 1
	if b.Share != nil {
		b.share = b.Share()
	}
	if b.lastRefill.IsZero() {
		b.firstUse, b.lastRefill = now, now
	}
	b.addTokens(max(b.share-b.initialShare, 0) * b.InitialRetries)
	b.initialShare = max(b.initialShare, b.share)
	elapsed := max(now.Sub(b.lastRefill), 0)
	b.lastRefill = b.lastRefill.Add(elapsed)
	b.addTokens(b.refillRate() * elapsed.Seconds())
}

// refillRate returns the retries that are added each second.
func (b *Budget) refillRate() float64 {
	return b.share * max(orDefault(b.MinPerSecond, DefaultMinPerSecond), 0)
}

func (b *Budget) addTokens(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.maxTokens())
}

// maxTokens returns the capacity of the bucket. It is at least 1 if Burst is, since a
// smaller bucket would allow no retries.
func (b *Budget) maxTokens() float64 {
	burst := orDefault(b.Burst, DefaultBurst)
	return max(b.share*burst, min(burst, 1))
}

// Budgets holds the budget of this instance and one for each backend server. A
// retry takes from both.
type Budgets struct {
	Instance Budget
	Server   func(server string) *Budget // creates the budget of a backend server; nil means a zero Budget

	mu      sync.Mutex
	servers map[string]*Budget
}

// RecordFirst records a first attempt at a backend server.
func (b *Budgets) RecordFirst(now time.Time, server string) {
	b.Instance.RecordFirst(now)
	b.server(server).RecordFirst(now)
}

// Take removes a retry at a backend server from both budgets, or from neither, and
// reports whether it did.
func (b *Budgets) Take(now time.Time, server string) bool {
	if !b.Instance.Take(now) {
		return false
	}
	if !b.server(server).Take(now) {
		b.Instance.Refund()
		return false
	}
	return true
}

// Wait returns the time until both budgets allow a retry if no first attempt occurs.
func (b *Budgets) Wait(now time.Time, server string, maxWait time.Duration) time.Duration {
	return max(b.Instance.Wait(now, maxWait), b.server(server).Wait(now, maxWait))
}

// Forget deletes the budget of a backend server that no longer exists.
func (b *Budgets) Forget(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.servers, server)
}

func (b *Budgets) server(name string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[name]; s != nil {
		return s
	}
	if b.servers == nil {
		b.servers = map[string]*Budget{}
	}
	s := &Budget{}
	if b.Server != nil {
		s = b.Server(name)
	}
	b.servers[name] = s
	return s
}

func orDefault[T int | float64 | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}
