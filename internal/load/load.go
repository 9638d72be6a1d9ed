package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorystall/chicorystall/internal/answer"
)

// Options configure a load.
type Options struct {
	Targets    func() []string // addresses of the entry instances in rotation, at which callers connect
	Accounts   []string        // bearer keys of the client accounts
	Model      string
	Service    string        // plain service that takes the orders; empty sends no orders
	Callers    int           // number of concurrent callers
	OrderShare float64       // share of orders among the requests, from 0 to 1
	Tokens     int           // requested for each draft
	Pause      time.Duration // between two requests of a caller
	Deadline   time.Duration // timeout of each attempt
	Attempts   int           // maximum for each order or draft
	Seed       uint64
	Prompts    int // number of different prompts; drafts with the same prompt share its prefix
	// Progress is called every progressInterval while the load runs, unless it is nil.
	Progress func(*Report)
}

// Run sends requests until ctx ends, waits for those in flight and returns the report.
func Run(ctx context.Context, options Options) *Report {
	r := &runner{
		options: options,
		client: &http.Client{Transport: &answer.Transport{
			Transport: http.Transport{DialContext: answer.Dial(nil), MaxIdleConnsPerHost: options.Callers},
		}},
		report: newReport(),
	}
	var callers sync.WaitGroup
	for n := range options.Callers {
		callers.Go(func() { r.runCaller(ctx, n) })
	}
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	r.reportProgress(done)
	r.client.CloseIdleConnections()
	return r.report
}

const progressInterval = 250 * time.Millisecond

func (r *runner) reportProgress(done <-chan struct{}) {
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
	options      Options
	client       *http.Client
	report       *Report
	requestCount atomic.Uint64
}

// runCaller sends the requests of caller n, one after the other, until ctx ends.
func (r *runner) runCaller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(n)))
	account := r.options.Accounts[n%len(r.options.Accounts)]
	for i := 0; ctx.Err() == nil; i++ {
		if r.options.Service != "" && random.Float64() < r.options.OrderShare {
			r.runOrder(account, fmt.Sprintf("%d-%d", n, i))
		} else {
			r.runDraft(account, random.IntN(max(1, r.options.Prompts)))
		}
		select {
		case <-ctx.Done():
		case <-time.After(r.options.Pause):
		}
	}
}

// target returns the address of the entry instance for the next request, chosen
// round-robin, or an empty string if there is none.
func (r *runner) target() string {
	targets := r.options.Targets()
	if len(targets) == 0 {
		return ""
	}
	return targets[r.requestCount.Add(1)%uint64(len(targets))]
}

// retryPause is the delay before a caller retries.
const retryPause = 200 * time.Millisecond
