package measure

import (
	"fmt"
	"time"
)

// RoutingDataCentre compares the service before, during and after the absence of one
// of three data centres, which operators drain or which fails without notice.
func RoutingDataCentre(seed uint64) Table {
	t := Table{
		Name:    "a data centre leaves and returns",
		Seed:    seed,
		Columns: []string{"size", "event", "policy", "phase", "offered", "whole", "refused", "lost", "p95 first token", "late starts"},
	}
	for _, size := range []modelSize{sixteenGroups, eightGroups} {
		full := capacity(seed, size)
		for _, event := range []string{"planned", "unplanned"} {
			for _, policy := range []modelPolicy{plainPolicy, productPolicy} {
				t.Rows = append(t.Rows, dataCentreRows(seed, size, event, full, policy)...)
			}
		}
		t.Note += fmt.Sprintf("%s: 1.0x is %.1f requests a second. ", size.name, full)
	}
	t.Note += "The load is 0.55x. A late start is a request that a server of the drained data centre got more than 3 s after the command."
	return t
}

func dataCentreRows(seed uint64, size modelSize, event string, full float64, policy modelPolicy) [][]string {
	const (
		away  = 60 * time.Second
		back  = 110 * time.Second
		end   = 170 * time.Second
		stage = 30 * time.Second
	)
	f := newModelFleet(seed, size, policy)
	dc := f.dcs[1]
	f.generateLoad(0.55*full, end)
	lateStarts := 0
	f.clock.after(away, func() {
		if event == "planned" {
			f.drain(dc)
			return
		}
		f.crashDataCentre(dc)
	})
	f.clock.after(away+3*time.Second, func() {
		for _, s := range dc.servers {
			s.onSubmit = func() { lateStarts++ }
		}
	})
	f.clock.after(back, func() {
		for _, s := range dc.servers {
			s.onSubmit = nil
		}
		if event == "planned" {
			f.undrain(dc)
			return
		}
		f.restoreDataCentre(dc)
	})
	f.clock.runUntil(end + 30*time.Second)
	var rows [][]string
	row := func(phase string, from, to time.Duration, late string) {
		s := f.service(from, to, nil)
		rows = append(rows, []string{
			size.name, event, policy.name, phase, fmt.Sprint(s.offered), percent(s.whole, s.offered),
			percent(s.refused, s.offered), percent(s.lost, s.offered), millis(s.first.p95()), late,
		})
	}
	row("before", stage, away, "")
	row("leaving", away-5*time.Second, away+15*time.Second, "")
	row("away", away+15*time.Second, back, fmt.Sprint(lateStarts))
	row("returning", back, back+stage, "")
	row("after", back+stage, end, "")
	return rows
}
