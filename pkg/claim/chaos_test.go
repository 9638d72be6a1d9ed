package claim

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// chaos runs real claimants on a log with faults, under virtual time, and checks the
// outcomes that callers get.
type chaos struct {
	log *fakeLog

	mu         sync.Mutex
	rand       *rand.Rand
	claimants  []*Claimant
	cancels    []context.CancelFunc
	bootCount  int
	ranAt      map[Key]time.Time
	bodies     map[Key][]byte
	begun      map[Key]bool
	outcomes   map[Kind]int
	violations []string
}

func (c *chaos) boot(ctx context.Context, n int) {
	ctx, cancel := context.WithCancel(ctx)
	c.bootCount++
	claimant := &Claimant{ID: ClaimantID(fmt.Sprint(c.bootCount)), Log: c.log.Log(), AskClaimant: c.askClaimant, PendingWait: time.Second}
	c.claimants[n], c.cancels[n] = claimant, cancel
	go claimant.Run(ctx)
}

func (c *chaos) askClaimant(_ context.Context, id ClaimantID, key Key, claim ClaimID) (Outcome, error) {
	c.mu.Lock()
	claimants := append([]*Claimant(nil), c.claimants...)
	c.mu.Unlock()
	for _, claimant := range claimants {
		if claimant.ID == id {
			return claimant.Outcome(key, claim), nil
		}
	}
	return Outcome{}, ErrClaimantEnded
}

// injectFault changes the behaviour of the log or restarts a claimant.
func (c *chaos) injectFault(ctx context.Context) {
	c.mu.Lock()
	kind, n, latency := c.rand.IntN(6), c.rand.IntN(len(c.claimants)), time.Duration(c.rand.IntN(1500))*time.Millisecond
	c.mu.Unlock()
	if kind == 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cancels[n]()
		c.boot(ctx, n)
		return
	}
	c.log.update(func() { c.log.Unavailable, c.log.LoseReplies, c.log.Latency = kind == 1, kind == 2, 5*time.Millisecond })
	if kind == 3 {
		c.log.update(func() { c.log.Latency = latency })
	}
}

// request runs one attempt of a caller at claimant n.
func (c *chaos) request(ctx context.Context, n int, key Key, digest Digest) {
	c.mu.Lock()
	claimant := c.claimants[n]
	first := !c.begun[key]
	c.begun[key] = true
	pause := time.Duration(c.rand.IntN(3000)) * time.Millisecond
	c.mu.Unlock()
	began := time.Now()
	d, err := claimant.Begin(ctx, key, digest)
	if unavailable, ok := err.(*UnavailableError); ok {
		d.Outcome = unavailable.Outcome(first)
	}
	if d.Kind != Run {
		c.checkOutcome(key, began, d.Outcome)
		return
	}
	time.Sleep(pause) // if the claimant ends meanwhile, its request is sent all the same
	if d.Grant.Use() != nil {
		return
	}
	c.mu.Lock()
	if !c.ranAt[key].IsZero() {
		c.violations = append(c.violations, fmt.Sprintf("key %v ran twice", key))
	}
	c.ranAt[key] = time.Now()
	c.bodies[key] = fmt.Append(nil, pause)
	answer := NewAnswer(200, nil, nil, c.bodies[key], 100)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Minute) // the claimant may have ended
	defer cancel()
	_ = d.Grant.Complete(ctx, answer)
}

func (c *chaos) checkOutcome(key Key, began time.Time, out Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[out.Kind]++
	ran := c.ranAt[key]
	switch {
	case out.Kind == NotRun && !ran.IsZero() && ran.Before(began):
		c.violations = append(c.violations, fmt.Sprintf("key %v was reported as not run, but ran before", key))
	case out.Kind == Replay && !bytes.Equal(out.Answer.Body, c.bodies[key]):
		c.violations = append(c.violations, fmt.Sprintf("key %v got answer %q, want %q", key, out.Answer.Body, c.bodies[key]))
	}
}

func TestClaimantsUnderFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runChaos(t, seed) })
		})
	}
}

func runChaos(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	c := &chaos{
		log: newFakeLog(), rand: rand.New(rand.NewPCG(seed, 6)),
		claimants: make([]*Claimant, 3), cancels: make([]context.CancelFunc, 3),
		ranAt: map[Key]time.Time{}, bodies: map[Key][]byte{}, begun: map[Key]bool{}, outcomes: map[Kind]int{},
	}
	for n := range c.claimants {
		c.boot(ctx, n)
	}
	var callers sync.WaitGroup
	var key Key
	for step := range 400 {
		if step%5 == 0 {
			key = testKey()
		}
		if step%7 == 0 {
			c.injectFault(ctx)
		}
		c.mu.Lock()
		n, wait := c.rand.IntN(3), time.Duration(c.rand.IntN(600))*time.Millisecond
		c.mu.Unlock()
		currentKey := key
		callers.Go(func() { c.request(ctx, n, currentKey, DigestOf()) })
		time.Sleep(wait)
	}
	c.log.update(func() { c.log.Unavailable, c.log.LoseReplies, c.log.Latency = false, false, 0 })
	callers.Wait()
	t.Logf("%d keys, %d ran, outcomes: %v", len(c.begun), len(c.ranAt), c.outcomes)
	NewWithT(t).Expect(c.violations).To(BeEmpty())
	ctx, cancelFlush := context.WithTimeout(ctx, time.Minute)
	defer cancelFlush()
	for _, claimant := range c.claimants {
		NewWithT(t).Expect(claimant.Flush(ctx)).To(Succeed())
	}
}
