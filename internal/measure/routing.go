package measure

import (
	"fmt"
	"math"
	"time"
)

const (
	routingWarmUp = 20 * time.Second
	routingRun    = 70 * time.Second
	// saturation is a load that no policy can serve, in requests a second for each server.
	saturation = 12
	slowTimes  = 3
)

// capacity returns how many requests a second the plain policy completes when
// it has more than it can serve. It is the 1.0x of the loads.
func capacity(seed uint64, size modelSize) float64 {
	f := newModelFleet(seed, size, plainPolicy)
	f.offer(float64(saturation*len(f.servers)), 60*time.Second)
	f.clock.runUntil(60 * time.Second)
	return float64(f.service(20*time.Second, 40*time.Second, nil).whole) / 20
}

// Routing compares choices of a backend server: the time to the first token and
// the share of prompt tokens that the prefix cache holds.
func Routing(seed uint64) Table {
	t := Table{
		Name:    "choice of a backend server",
		Seed:    seed,
		Columns: []string{"load", "policy", "p50 first token", "p95 first token", "cache hit share", "whole", "refused", "overloads", "falls"},
	}
	policies := []modelPolicy{
		plainPolicy,
		{name: "least of two", noAffinity: true},
		{name: "affinity, bound 1.25", bound: 1.25},
		{name: "affinity, bound 1.5", bound: 1.5},
		{name: "affinity, bound 2", bound: 2},
		{name: "affinity, no bound", bound: math.Inf(1)},
	}
	full := capacity(seed, librarySize)
	for _, load := range []float64{0.5, 0.8, 0.95} {
		for _, policy := range policies {
			t.Rows = append(t.Rows, routingRow(seed, load, full, policy, 1))
		}
	}
	for _, policy := range policies[:4] {
		t.Rows = append(t.Rows, routingRow(seed, 0.8, full, policy, slowTimes))
	}
	t.Note = fmt.Sprintf("%s; 1.0x is %.1f requests a second, what round robin completes when saturated", librarySize.name, full)
	return t
}

func routingRow(seed uint64, load, full float64, policy modelPolicy, slow int) []string {
	f := newModelFleet(seed, librarySize, policy)
	for _, dc := range f.dcs {
		dc.servers[0].slow = slow
	}
	f.offer(load*full, routingWarmUp+routingRun)
	f.clock.runUntil(routingWarmUp + routingRun + 30*time.Second)
	s := f.service(routingWarmUp, routingWarmUp+routingRun, nil)
	hit, all, overloads, falls := 0, 0, 0, 0
	for _, server := range f.servers {
		hit += server.hitTokens
		all += server.allTokens
		overloads += server.overloads
		falls += server.falls
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
