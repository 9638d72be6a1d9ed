package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Options describe a load.
type Options struct {
	Targets    func() []string // callers' addresses of entry instances that the balancer uses
	Accounts   []string        // bearer keys
	Model      string
	Service    string // plain service that takes orders; empty for none
	Callers    int    // that work side by side
	OrderShare float64
	Tokens     int           // of each draft
	Pause      time.Duration // of a caller between two requests
	Deadline   time.Duration // of each request
	Attempts   int           // of a caller on one order or draft that was refused
	Seed       uint64
	Prompts    int // different prompts; drafts that share one share its prefix
	// Progress is called about every quarter second.
	Progress func(*Report)
}

// Run sends requests until ctx ends, and waits for those in hand.
func Run(ctx context.Context, options Options) *Report {
	r := &runner{
		options: options,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: options.Callers}},
		report:  newReport(),
	}
	var callers sync.WaitGroup
	for n := range options.Callers {
		callers.Go(func() { r.caller(ctx, n) })
	}
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	r.watch(done)
	r.client.CloseIdleConnections()
	return r.report
}

const progressInterval = 250 * time.Millisecond

func (r *runner) watch(done <-chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			if r.options.Progress != nil {
				r.options.Progress(r.report)
			}
		}
	}
}

type runner struct {
	options Options
	client  *http.Client
	report  *Report
	turn    atomic.Uint64
}

// caller sends one request after the other.
func (r *runner) caller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(n)))
	account := r.options.Accounts[n%len(r.options.Accounts)]
	for i := 0; ctx.Err() == nil; i++ {
		if r.options.Service != "" && random.Float64() < r.options.OrderShare {
			r.order(account, fmt.Sprintf("%d-%d", n, i))
		} else {
			r.draft(account, random.IntN(max(1, r.options.Prompts)))
		}
		select {
		case <-ctx.Done():
		case <-time.After(r.options.Pause):
		}
	}
}

// target returns the entry instance that the balancer gives the next request.
func (r *runner) target() string {
	targets := r.options.Targets()
	if len(targets) == 0 {
		return ""
	}
	return targets[r.turn.Add(1)%uint64(len(targets))]
}

// retryPause is the wait of a caller before it tries again.
const retryPause = 200 * time.Millisecond
