package deployment

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/fake/worker"
	"github.com/chicorystall/chicorystall/internal/load"
)

const patience = 30 * time.Second

// startPlan starts a deployment whose groups all serve.
func startPlan(t *testing.T, plan Plan) *Deployment {
	t.Helper()
	g := NewWithT(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	d, err := Start(t.Context(), plan, logger)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(d.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	g.Expect(d.AwaitGroups(ctx)).To(Succeed())
	return d
}

// targets returns the entry instances that the balancer would use.
func (d *Deployment) targets() []string {
	var targets []string
	for _, e := range d.Entries() {
		if e.Server.Ready() {
			targets = append(targets, e.Settings.CallersAddress)
		}
	}
	return targets
}

// loadFor sends drafts and orders for a time.
func (d *Deployment) loadFor(ctx context.Context, duration time.Duration, callers int) *load.Report {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	return load.Run(ctx, load.Options{
		Targets:    d.targets,
		Accounts:   []string{AccountKey(AccountName(0))},
		Model:      Model,
		Service:    Service,
		OrderShare: 0.2,
		Callers:    callers,
		Tokens:     16,
		Prompts:    30,
		Pause:      5 * time.Millisecond,
		Deadline:   patience,
		Attempts:   1,
		Seed:       1,
	})
}

// runs returns how often the order desks ran each key.
func (d *Deployment) runs() map[string]int {
	runs := make(map[string]int)
	for _, service := range d.Desks {
		for key, count := range service.Counts().Runs {
			runs[key] += count
		}
	}
	return runs
}

// expectWithinLimits checks that no model worker was given more than it bears.
func expectWithinLimits(g Gomega, d *Deployment) {
	for name, w := range d.Workers {
		counts := w.Counts()
		g.Expect(counts.ColdOverloads).To(BeZero(), name)
		g.Expect(counts.MemoryOverflows).To(BeZero(), name)
		g.Expect(counts.MaxInFlight).To(BeNumerically("<=", d.Plan.MaxInFlight), name)
	}
}

// expectPromises checks every outcome that callers were told.
func expectPromises(g Gomega, d *Deployment, report *load.Report) {
	g.Expect(report.Violations(d.runs())).To(BeEmpty())
	g.Expect(report.Drafts(load.Complete)).To(BeNumerically(">", 0))
	g.Expect(report.Orders(load.Complete)).To(BeNumerically(">", 0))
}

func TestBurstOnColdGroups(t *testing.T) {
	tests := []struct {
		name         string
		entries      int
		limit, cold  int
		ignoresFence bool
	}{
		{name: "three senders", entries: 3, limit: 16, cold: 2},
		{name: "a limit below the number of senders", entries: 4, limit: 2, cold: 1},
		{name: "engines that ignore fencing numbers", entries: 2, limit: 8, cold: 1, ignoresFence: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			d := startPlan(t, Plan{
				EntriesPerDataCentre: tt.entries,
				GroupsPerDataCentre:  2,
				MaxInFlight:          tt.limit,
				ColdInFlight:         tt.cold,
				IgnoresFence:         tt.ignoresFence,
				Worker:               worker.Config{TokenTime: time.Millisecond},
			})
			report := d.loadFor(t.Context(), 2*time.Second, 16)
			expectPromises(g, d, report)
			expectWithinLimits(g, d)
			g.Expect(report.Reasons()).To(BeEmpty(), "no request of a burst is refused or lost")
		})
	}
}

func TestEveryEntryInstanceReplaced(t *testing.T) {
	g := NewWithT(t)
	d := startPlan(t, Plan{EntriesPerDataCentre: 3, GroupsPerDataCentre: 2, MaxInFlight: 6, Worker: worker.Config{TokenTime: time.Millisecond}})
	done := make(chan *load.Report)
	ctx, stop := context.WithCancel(t.Context())
	go func() { done <- d.loadFor(ctx, patience, 12) }()
	for _, e := range d.Entries() {
		g.Expect(d.StopEntry(e)).To(Succeed())
		replacement := d.StartEntry(e.Settings)
		g.Eventually(replacement.Server.Ready, patience).Should(BeTrue())
	}
	stop()
	report := <-done
	expectPromises(g, d, report)
	expectWithinLimits(g, d)
	g.Expect(report.Drafts(load.Unknown)).To(BeZero())
	g.Expect(report.Orders(load.Unknown)).To(BeZero())
}
