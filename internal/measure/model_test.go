package measure

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	printLoad = flag.String("load", "", "prints the named load table: limits, cold, routing, accounts or datacentre")
	printSeed = flag.Uint64("load.seed", 1, "seed of the printed load table")
)

func TestPrintLoadTable(t *testing.T) {
	tables := map[string]func(uint64) Table{
		"limits": LimitSchemes, "cold": LimitsColdStart, "routing": Routing,
		"accounts": RoutingFairness, "datacentre": RoutingDataCentre,
	}
	measure, ok := tables[*printLoad]
	if !ok {
		return
	}
	table := measure(*printSeed)
	fmt.Printf("%s, seed %d\n%s\n", table.Name, table.Seed, strings.Join(table.Columns, " | "))
	for _, row := range table.Rows {
		fmt.Println(strings.Join(row, " | "))
	}
	fmt.Println(table.Note)
}

func TestSchemesKeepTheLimit(t *testing.T) {
	c := limitCase{senders: 9, limit: 1, freeze: true}
	for name, scheme := range map[string]func(*limitRun) limitScheme{
		"exact shares": staticExact, "dispatcher": oneDispatcher, "loans": sharesWithLoans,
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(runLimits(1, c, scheme)[7]).To(Equal("0"))
		})
	}
	NewWithT(t).Expect(runLimits(1, c, staticAtLeastOne)[7]).NotTo(Equal("0"))
}

// smallSize is a single data centre, for short runs.
var smallSize = modelSize{name: "small", entries: []int{3}, groups: []int{3}}

func TestRampPreventsOverloads(t *testing.T) {
	g := NewWithT(t)
	overloads := func(policy modelPolicy) int {
		f := newModelFleet(1, smallSize, policy)
		f.servers[0].stop()
		f.clock.after(serverRestart, f.servers[0].start)
		f.generateLoad(6, 30*time.Second)
		f.clock.runUntil(40 * time.Second)
		return f.servers[0].overloads
	}
	g.Expect(overloads(productPolicy)).To(BeZero())
	g.Expect(overloads(modelPolicy{noRamp: true})).NotTo(BeZero())
}

func TestDrainedDataCentreGetsNoNewWork(t *testing.T) {
	g := NewWithT(t)
	f := newModelFleet(1, modelSize{entries: []int{2, 2}, groups: []int{3, 3}}, productPolicy)
	f.generateLoad(6, 30*time.Second)
	f.drain(f.dcs[1])
	late := 0
	f.clock.after(2*time.Second, func() {
		for _, s := range f.dcs[1].servers {
			s.onSubmit = func() { late++ }
		}
	})
	f.clock.runUntil(40 * time.Second)
	s := f.service(0, 30*time.Second, nil)
	g.Expect(late).To(BeZero())
	g.Expect(s.whole).To(Equal(s.offered))
}

func TestSamples(t *testing.T) {
	g := NewWithT(t)
	g.Expect(samples(nil).p95()).To(BeZero())
	g.Expect(samples{3, 1, 2}.quantile(0.5)).To(Equal(time.Duration(2)))
	g.Expect(percent(1, 0)).To(Equal("-"))
}
