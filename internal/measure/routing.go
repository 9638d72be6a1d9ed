package measure

import (
	"fmt"
	"math"
	"time"
)

const (
	routingWarmUp = 20 * time.Second
	routingRun    = 70 * time.Second
	// saturation is a load above any policy's capacity, in requests per second and server.
	saturation = 12
	slowFactor = 3
)

// capacity returns the requests per second that the plain policy completes under
// overload. Loads are given as multiples of it.
func capacity(seed uint64, size modelSize) float64 {
	f := newModelFleet(seed, size, plainPolicy)
	f.generateLoad(float64(saturation*len(f.servers)), 60*time.Second)
	f.clock.runUntil(60 * time.Second)
	return float64(f.service(20*time.Second, 40*time.Second, nil).whole) / 20
}

// Routing compares policies for the choice of a backend server by the time to the
// first token and the prefix cache hit share of prompt tokens.
func Routing(seed uint64) Table {
	t := Table{
		Name:    "choice of a backend server",
		Seed:    seed,
		Columns: []string{"load", "policy", "p50 first token", "p95 first token", "cache hit share", "whole", "refused", "overloads", "falls"},
	}
	policies := []modelPolicy{
		plainPolicy,
		{name: "least of two", noAffinity: true},
		{name: "affinity, bound 1.25", loadBound: 1.25},
		{name: "affinity, bound 1.5", loadBound: 1.5},
		{name: "affinity, bound 2", loadBound: 2},
		{name: "affinity, no bound", loadBound: math.Inf(1)},
	}
	full := capacity(seed, sixteenGroups)
	for _, load := range []float64{0.5, 0.8, 0.95} {
		for _, policy := range policies {
			t.Rows = append(t.Rows, routingRow(seed, load, full, policy, 1))
		}
	}
	for _, policy := range policies[:4] {
		t.Rows = append(t.Rows, routingRow(seed, 0.8, full, policy, slowFactor))
	}
	t.Note = fmt.Sprintf("%s; 1.0x is %.1f requests a second, what round robin completes when saturated", sixteenGroups.name, full)
	return t
}

func routingRow(seed uint64, load, full float64, policy modelPolicy, slow int) []string {
	f := newModelFleet(seed, sixteenGroups, policy)
	for _, dc := range f.dcs {
		dc.servers[0].slowdown = slow
	}
	f.generateLoad(load*full, routingWarmUp+routingRun)
	f.clock.runUntil(routingWarmUp + routingRun + 30*time.Second)
	s := f.service(routingWarmUp, routingWarmUp+routingRun, nil)
	hit, all, overloads, falls := 0, 0, 0, 0
	for _, server := range f.servers {
		hit += server.hitTokens
		all += server.allTokens
		overloads += server.overloads
		falls += server.crashes
	}
	name := fmt.Sprintf("%.2fx", load)
	if slow > 1 {
		name += ", a slow server in each DC"
	}
	return []string{
		name, policy.name, millis(s.first.quantile(0.5)), millis(s.first.p95()),
		percent(hit, all), percent(s.whole, s.offered), percent(s.refused, s.offered), fmt.Sprint(overloads), fmt.Sprint(falls),
	}
}
