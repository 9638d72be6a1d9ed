package measure

import (
	"fmt"
	"time"
)

// RoutingFairness compares the service of the smallest client account while the
// largest one floods the deployment.
func RoutingFairness(seed uint64) Table {
	t := Table{
		Name:    "smallest client account while the largest floods",
		Seed:    seed,
		Columns: []string{"policy", "phase", "account", "offered", "whole", "refused", "p95 first token"},
	}
	full := capacity(seed, sixteenGroups)
	fifo := productPolicy
	fifo.name, fifo.fifo = "chicorystall with one queue", true
	for _, policy := range []modelPolicy{plainPolicy, fifo, productPolicy} {
		t.Rows = append(t.Rows, fairnessRows(seed, full, policy)...)
	}
	t.Note = fmt.Sprintf("all accounts offer 0.6x, and from 60 s to 120 s the largest one 1.5x more; 1.0x is %.1f requests a second", full)
	return t
}

func fairnessRows(seed uint64, full float64, policy modelPolicy) [][]string {
	const start, end = 60 * time.Second, 120 * time.Second
	f := newModelFleet(seed, sixteenGroups, policy)
	f.generateLoad(0.6*full, end)
	f.clock.runUntil(start)
	var flood func()
	flood = func() {
		if f.clock.now < end {
			f.arrive(f.load.drawFor(0, f.clock.now))
			f.clock.after(exponential(f.load.rng, time.Duration(float64(time.Second)/(1.5*full))), flood)
		}
	}
	flood()
	f.clock.runUntil(end + 30*time.Second)
	var rows [][]string
	row := func(phase string, from, to time.Duration, account int) {
		s := f.service(from, to, func(j *modelJob) bool { return j.account == account })
		rows = append(rows, []string{
			policy.name, phase, accountName(account), fmt.Sprint(s.offered),
			percent(s.whole, s.offered), percent(s.refused, s.offered), millis(s.first.p95()),
		})
	}
	smallest := len(accountShares) - 1
	row("before", routingWarmUp, start, smallest)
	row("flood", start, end, smallest)
	row("flood", start, end, 0)
	return rows
}
