package measure

import (
	"fmt"
	"time"
)

// LimitsColdStart compares the load on cold backend servers under several policies.
// Every ten seconds a random server restarts or turns cold with the same boot ID.
func LimitsColdStart(seed uint64) Table {
	t := Table{
		Name:    "cold start",
		Seed:    seed,
		Columns: []string{"cause", "load", "policy", "times", "overloads", "falls", "whole", "refused", "lost", "p95 first token"},
	}
	full := capacity(seed, sixteenGroups)
	policies := []modelPolicy{plainPolicy, {name: "chicorystall without the ramp", noRamp: true}, productPolicy}
	for _, load := range []float64{0.5, 0.8} {
		for _, policy := range policies {
			t.Rows = append(t.Rows, coldRow(seed, "restart", load, full, policy))
		}
	}
	silent := []modelPolicy{
		plainPolicy,
		{name: "chicorystall by boot ID only", bootIDOnly: true},
		{name: "chicorystall by boot ID and report", reportOnly: true},
		{name: "chicorystall, slow counts as cold", latencyAlone: true},
		productPolicy,
	}
	for _, policy := range silent {
		t.Rows = append(t.Rows, coldRow(seed, "no new boot ID", 0.8, full, policy))
	}
	t.Note = fmt.Sprintf("an overload is a request that came above what a backend server bore; a fall ends all that it held; 1.0x is %.1f requests a second", full)
	return t
}

func coldRow(seed uint64, cause string, load, full float64, policy modelPolicy) []string {
	const end = routingWarmUp + routingRun
	f := newModelFleet(seed, sixteenGroups, policy)
	times := 0
	random := newRand(seed + 2)
	f.clock.every(10*time.Second, func() bool {
		s := f.servers[random.IntN(len(f.servers))]
		if s.up && f.clock.now > routingWarmUp {
			times++
			if cause == "restart" {
				s.stop()
				f.clock.after(serverRestart, s.start)
			} else {
				s.turnCold()
			}
		}
		return f.clock.now < end
	})
	f.generateLoad(load*full, end)
	f.clock.runUntil(end + 30*time.Second)
	overloads, falls := 0, 0
	for _, s := range f.servers {
		overloads += s.overloads
		falls += s.crashes
	}
	s := f.service(routingWarmUp, end, nil)
	return []string{
		cause, fmt.Sprintf("%.2fx", load), policy.name, fmt.Sprint(times), fmt.Sprint(overloads), fmt.Sprint(falls),
		percent(s.whole, s.offered), percent(s.refused, s.offered), percent(s.lost, s.offered), millis(s.first.p95()),
	}
}
