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

// Budget allows retries as a share of first attempts. The zero value is ready.
// It may be used by several goroutines at once.
//
// Processes that divide one allowance each have a Budget with the whole of it
// and a Share. Ratio is not divided, since each counts its own first attempts.
type Budget struct {
	Ratio          float64 // retries for each first attempt; 0 means DefaultRatio
	MinPerSecond   float64 // retries a second without traffic; 0 means DefaultMinPerSecond, below 0 none
	Burst          float64 // retries that may be saved up; 0 means DefaultBurst
	InitialRetries float64 // retries that are saved up before the first request
	// Share returns the part of MinPerSecond, Burst and Start that belongs to this
	// budget now, from 0 to 1, and is asked at each call. While it is 0, retries
	// come from first attempts only. When it first grows, so does the part of Start
	// that is given. What is saved up beyond the present part of Burst is lost, but
	// for one retry. Nil means all.
	Share func() float64

	mu      sync.Mutex
	tokens  float64
	last    time.Time
	share   float64 // as last asked
	started float64 // the share of Start that was given
}

// RecordFirst notes a first attempt.
func (b *Budget) RecordFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.add(orDefault(b.Ratio, DefaultRatio))
}

// Take spends one retry and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// giveBack returns a retry that was taken and not made.
func (b *Budget) giveBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(1)
}

// Wait returns how long it takes until a retry is allowed without any traffic;
// it is 0 if one is allowed now, and maxWait if there is no minimum rate.
func (b *Budget) Wait(now time.Time, maxWait time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	missing := 1 - b.tokens
	if missing <= 0 {
		return 0
	}
	rate := b.rate()
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
	if b.last.IsZero() {
		b.last = now
	}
	b.add(max(b.share-b.started, 0) * b.InitialRetries)
	b.started = max(b.started, b.share)
	elapsed := max(now.Sub(b.last), 0)
	b.last = b.last.Add(elapsed)
	b.add(b.rate() * elapsed.Seconds())
}

// rate returns the retries a second without traffic.
func (b *Budget) rate() float64 {
	return b.share * max(orDefault(b.MinPerSecond, DefaultMinPerSecond), 0)
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.most())
}

// most returns how many retries may be saved up. A share that leaves less than
// one would forbid all retries.
func (b *Budget) most() float64 {
	burst := orDefault(b.Burst, DefaultBurst)
	return max(b.share*burst, min(burst, 1))
}

// Budgets holds the budget of this instance and one for each backend server. A
// retry needs both.
type Budgets struct {
	Instance Budget
	Server   func(server string) *Budget // makes the budget of a backend server; nil means a zero Budget

	mu      sync.Mutex
	servers map[string]*Budget
}

// RecordFirst notes a first attempt at a backend server.
func (b *Budgets) RecordFirst(now time.Time, server string) {
	b.Instance.RecordFirst(now)
	b.server(server).RecordFirst(now)
}

// Take spends a retry at a backend server from both budgets, or from none.
func (b *Budgets) Take(now time.Time, server string) bool {
	if !b.Instance.Take(now) {
		return false
	}
	if !b.server(server).Take(now) {
		b.Instance.giveBack()
		return false
	}
	return true
}

// Wait returns how long it takes at most until both budgets allow a retry.
func (b *Budgets) Wait(now time.Time, server string, maxWait time.Duration) time.Duration {
	return max(b.Instance.Wait(now, maxWait), b.server(server).Wait(now, maxWait))
}

// Forget drops the budget of a backend server that is gone.
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
