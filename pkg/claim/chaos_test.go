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

// chaos runs real claimants on a log with faults, under virtual time, and checks
// what callers are told.
type chaos struct {
	log *fakeLog

	mu     sync.Mutex
	rand   *rand.Rand
	live   []*Claimant
	cancel []context.CancelFunc
	boots  int
	ran    map[Key]time.Time
	body   map[Key][]byte
	begun  map[Key]bool
	told   map[Kind]int
	found  []string
}

func (c *chaos) boot(ctx context.Context, n int) {
	ctx, cancel := context.WithCancel(ctx)
	c.boots++
	claimant := &Claimant{ID: ClaimantID(fmt.Sprint(c.boots)), Log: c.log.Log(), AskClaimant: c.ask, PendingWait: time.Second}
	c.live[n], c.cancel[n] = claimant, cancel
	go claimant.Run(ctx)
}

func (c *chaos) ask(_ context.Context, id ClaimantID, key Key, claim ClaimID) (Outcome, error) {
	c.mu.Lock()
	live := append([]*Claimant(nil), c.live...)
	c.mu.Unlock()
	for _, claimant := range live {
		if claimant.ID == id {
			return claimant.Outcome(key, claim), nil
		}
	}
	return Outcome{}, ErrClaimantEnded
}

// fault changes how the log behaves, or replaces a claimant.
func (c *chaos) fault(ctx context.Context) {
	c.mu.Lock()
	kind, n, latency := c.rand.IntN(6), c.rand.IntN(len(c.live)), time.Duration(c.rand.IntN(1500))*time.Millisecond
	c.mu.Unlock()
	if kind == 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cancel[n]()
		c.boot(ctx, n)
		return
	}
	c.log.set(func() { c.log.Away, c.log.LoseAnswer, c.log.Latency = kind == 1, kind == 2, 5*time.Millisecond })
	if kind == 3 {
		c.log.set(func() { c.log.Latency = latency })
	}
}

// request is one attempt of a caller at one claimant.
func (c *chaos) request(ctx context.Context, n int, key Key, digest Digest) {
	c.mu.Lock()
	claimant := c.live[n]
	first := !c.begun[key]
	c.begun[key] = true
	pause := time.Duration(c.rand.IntN(3000)) * time.Millisecond
	c.mu.Unlock()
	began := time.Now()
	d, err := claimant.Begin(ctx, key, digest)
	if away, ok := err.(*UnavailableError); ok {
		d.Outcome = away.Outcome(first)
	}
	if d.Kind != Run {
		c.tell(key, began, d.Outcome)
		return
	}
	time.Sleep(pause) // the claimant may be gone now, and its request still goes out
	if d.Grant.Use() != nil {
		return
	}
	c.mu.Lock()
	if !c.ran[key].IsZero() {
		c.found = append(c.found, fmt.Sprintf("key %v ran twice", key))
	}
	c.ran[key] = time.Now()
	c.body[key] = fmt.Append(nil, pause)
	answer := NewAnswer(200, nil, nil, c.body[key], 100)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Minute) // its claimant may be gone
	defer cancel()
	_ = d.Grant.Complete(ctx, answer)
}

func (c *chaos) tell(key Key, began time.Time, out Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told[out.Kind]++
	ran := c.ran[key]
	switch {
	case out.Kind == NotRun && !ran.IsZero() && ran.Before(began):
		c.found = append(c.found, fmt.Sprintf("key %v is told not run, and ran before", key))
	case out.Kind == Replay && !bytes.Equal(out.Answer.Body, c.body[key]):
		c.found = append(c.found, fmt.Sprintf("key %v is told %q, truth is %q", key, out.Answer.Body, c.body[key]))
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
		live: make([]*Claimant, 3), cancel: make([]context.CancelFunc, 3),
		ran: map[Key]time.Time{}, body: map[Key][]byte{}, begun: map[Key]bool{}, told: map[Kind]int{},
	}
	for n := range c.live {
		c.boot(ctx, n)
	}
	var callers sync.WaitGroup
	var key Key
	for step := range 400 {
		if step%5 == 0 {
			key = testKey()
		}
		if step%7 == 0 {
			c.fault(ctx)
		}
		c.mu.Lock()
		n, wait := c.rand.IntN(3), time.Duration(c.rand.IntN(600))*time.Millisecond
		c.mu.Unlock()
		asked := key
		callers.Go(func() { c.request(ctx, n, asked, DigestOf()) })
		time.Sleep(wait)
	}
	c.log.set(func() { c.log.Away, c.log.LoseAnswer, c.log.Latency = false, false, 0 })
	callers.Wait()
	t.Logf("%d keys, %d ran, told %v", len(c.begun), len(c.ran), c.told)
	NewWithT(t).Expect(c.found).To(BeEmpty())
	ctx, cancelFlush := context.WithTimeout(ctx, time.Minute)
	defer cancelFlush()
	for _, claimant := range c.live {
		NewWithT(t).Expect(claimant.Flush(ctx)).To(Succeed())
	}
}
