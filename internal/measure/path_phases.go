package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/internal/deployment"
	"github.com/chicorystall/chicorystall/internal/load"
)

// balancerInterval is the time between two health checks of a balancer.
const balancerInterval = 500 * time.Millisecond

// balancer holds the addresses that passed its last check.
type balancer struct {
	check func() []string

	mu      sync.Mutex
	targets []string
}

// run repeats the check until the context ends.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(balancerInterval)
	defer ticker.Stop()
	for {
		found := b.check()
		b.mu.Lock()
		b.targets = found
		b.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) list() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets
}

// readyEntries returns the addresses of the entry instances that are ready.
func readyEntries(d *deployment.Deployment) []string {
	var targets []string
	for _, e := range d.Entries() {
		if e.Server.Ready() {
			targets = append(targets, e.Settings.CallersAddress)
		}
	}
	return targets
}

// phase is a part of a measurement under load.
type phase struct {
	name string
	span time.Duration // time after do has returned
	do   func()        // may be nil
}

// phaseResult holds the callers' results from the start of a phase to the start of
// the next.
type phaseResult struct {
	name     string
	duration time.Duration
	report   *load.Report
}

// runPhases runs the phases under load. Each phase has separate callers, so that
// results are counted per phase.
func runPhases(options load.Options, phases []phase) []phaseResult {
	results := make([]phaseResult, len(phases))
	var loads sync.WaitGroup
	for n, p := range phases {
		ctx, cancel := context.WithCancel(context.Background())
		own := options
		own.Seed += uint64(n)
		results[n].name = p.name
		loads.Go(func() { results[n].report = load.Run(ctx, own) })
		begun := time.Now()
		if p.do != nil {
			p.do()
		}
		time.Sleep(p.span)
		results[n].duration = time.Since(begun)
		cancel()
	}
	loads.Wait()
	return results
}

// row formats the cells of phaseColumns after the path.
func (r phaseResult) row() []string {
	count := func(outcomes ...load.Outcome) int {
		sum := 0
		for _, o := range outcomes {
			sum += r.report.Drafts(o) + r.report.Orders(o)
		}
		return sum
	}
	whole := count(load.Complete)
	all := whole + count(load.NotRun, load.Unknown, load.NoAnswer, load.Wrong)
	return []string{
		r.name,
		fmt.Sprintf("%.1f", float64(whole)/r.duration.Seconds()),
		fmt.Sprintf("%.2f%%", 100*float64(whole)/float64(max(1, all))),
		fmt.Sprint(count(load.NotRun)),
		fmt.Sprint(count(load.Unknown, load.NoAnswer)),
		fmt.Sprint(count(load.Wrong)),
		milliseconds(r.report.FirstToken(50)),
		milliseconds(r.report.FirstToken(95)),
	}
}

var phaseColumns = []string{"path", "phase", "whole/s", "whole", "refused", "unknown or no answer", "wrong", "p50 first token", "p95 first token"}

// addPhases adds a row for each phase of a path.
func (t *Table) addPhases(path string, results []phaseResult) {
	for _, r := range results {
		t.Rows = append(t.Rows, append([]string{path}, r.row()...))
	}
}

// runConcurrently runs two paths at the same time, so that both have the same
// machine load.
func runConcurrently(baseline, product func() ([]phaseResult, error)) (b, p []phaseResult, err error) {
	var baselineErr error
	var paths sync.WaitGroup
	paths.Go(func() { b, baselineErr = baseline() })
	p, err = product()
	paths.Wait()
	if err == nil {
		err = baselineErr
	}
	return b, p, err
}
