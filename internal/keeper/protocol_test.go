package keeper

import (
	"flag"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

var (
	simulations = flag.Int("keeper.worlds", 1, "number of random simulations to run for each scenario")
	firstSeed   = flag.Uint64("keeper.seed", 1, "seed of the first simulation")
)

// scenario configures a simulation before it starts.
type scenario func(*simulation)

// randomFaults keeps the configuration and the faults that the seed determines.
func randomFaults(*simulation) {}

// listOutages has outages of the platform's list, after which instances receive the
// list at different times, and changes of the keeper.
func listOutages(sim *simulation) {
	sim.faults = []fault{sim.listOutage, sim.listOutage, sim.changeKeepers, sim.killWorker, sim.restartWorker}
}

// concurrentKeepers makes all instances act as the keeper, and delays many orders.
func concurrentKeepers(sim *simulation) {
	sim.lateOrderRate = 0.2
	for _, i := range sim.instances {
		i.acting = true
	}
	sim.faults = []fault{sim.killWorker, sim.restartWorker, sim.listOutage}
}

// lateExecution is concurrentKeepers with workers that check the count of an order
// when it arrives, but carry it out seconds later.
func lateExecution(sim *simulation) {
	concurrentKeepers(sim)
	sim.checkOnArrival = true
}

// longReportLag makes reports lag for long, as the engine configuration declares.
func longReportLag(sim *simulation) {
	const lag = 1500 * time.Millisecond
	sim.reportLag = lag
	sim.fleet.engine.ReportLag = lag
	sim.faults = []fault{sim.killWorker, sim.listOutage}
}

// successiveKeepers is lateExecution with one keeper at a time.
func successiveKeepers(sim *simulation) {
	lateExecution(sim)
	sim.setKeeper(0)
	sim.faults = []fault{sim.handOverKeeper, sim.killWorker, sim.restartWorker, sim.listOutage}
}

func runSimulation(t *testing.T, seed uint64, disabled rule, configure scenario) *simulation {
	t.Helper()
	var sim *simulation
	synctest.Test(t, func(t *testing.T) {
		sim = newSimulation(seed, disabled)
		configure(sim)
		if err := sim.run(); err != nil {
			t.Error(err)
		}
	})
	return sim
}

// forEachSeed runs a scenario with successive seeds and checks each simulation.
func forEachSeed(t *testing.T, first uint64, configure scenario, check func(*testing.T, *simulation)) {
	t.Helper()
	for n := range *simulations {
		check(t, runSimulation(t, first+uint64(n), 0, configure))
	}
}

const shownEvents = 200 // number of events that a failed test prints

func expectNoViolations(t *testing.T, sim *simulation) {
	t.Helper()
	if len(sim.fleet.violations) > 0 {
		t.Errorf("seed %d: %s\n%s\n%s", sim.seed, sim, strings.Join(sim.fleet.violations, "\n"), sim.fleet.lastEvents(shownEvents))
	}
}

// expectModelsServed checks that each model has a serving group, unless there are too
// few idle workers to form one.
func expectModelsServed(t *testing.T, sim *simulation) {
	t.Helper()
	for _, m := range sim.fleet.engine.Models {
		if sim.fleet.openGroups(m.Name) == 0 && sim.fleet.idleInOneDomain() >= m.Size {
			t.Errorf("seed %d: %s\nno group of %s serves %s after the last fault\n%s", sim.seed, sim, m.Name, simRecoveryTime, sim.fleet.lastEvents(shownEvents))
		}
	}
}

// expectGroupsKept checks that no complete serving group was disbanded once all
// faults had ended.
func expectGroupsKept(t *testing.T, sim *simulation) {
	t.Helper()
	if len(sim.fleet.disbanded) > 0 {
		t.Errorf("seed %d: %s\n%s\n%s", sim.seed, sim, strings.Join(sim.fleet.disbanded, "\n"), sim.fleet.lastEvents(shownEvents))
	}
}

// expectLoadRateKept checks the rate of loads once all faults have ended.
func expectLoadRateKept(t *testing.T, sim *simulation) {
	t.Helper()
	const excess = 3 // loads that the platform tolerates above the rate
	limit := int(sim.fleet.engine.LoadRate*simLoadWindow.Seconds()) + excess
	if n := sim.fleet.loadsWithin(simLoadWindow, sim.fleet.start.Add(simFaultsEnd+simLoadWindow)); n > limit {
		t.Errorf("seed %d: %d loads began within %s, more than %d", sim.seed, n, simLoadWindow, limit)
	}
}

// If a keeper took a worker for free because of an outdated entry or report while the
// head of the worker's group is open, the worker would be joined to a second group.
func TestNoWorkerIsInTwoGroups(t *testing.T) {
	for _, c := range []struct {
		name     string
		scenario scenario
	}{{"random faults", randomFaults}, {"list outages", listOutages}, {"concurrent keepers", concurrentKeepers}, {"long report lag", longReportLag}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			forEachSeed(t, *firstSeed, c.scenario, func(t *testing.T, sim *simulation) {
				expectNoViolations(t, sim)
				expectModelsServed(t, sim)
				expectGroupsKept(t, sim)
				expectLoadRateKept(t, sim)
			})
		})
	}
}

// A keeper that underestimates the age of a report would disband serving groups.
func TestServingGroupsSurviveReportLag(t *testing.T) {
	const disbandingSeedOffset = 40090 // offset of a seed at which a group that had just opened was disbanded
	forEachSeed(t, *firstSeed+disbandingSeedOffset, longReportLag, expectGroupsKept)
}

// A worker that checks a join order on arrival and carries it out only after it has
// joined a group by a later order would leave that group, whose head may be open. The
// epoch prevents this.
func TestALateJoinIsOlderThanTheGroup(t *testing.T) {
	for _, k := range []scenario{lateExecution, successiveKeepers} {
		forEachSeed(t, *firstSeed, k, expectNoViolations)
	}
}

// A large model must get a group again even if small groups have taken its workers
// meanwhile.
func TestEachModelServesAgain(t *testing.T) {
	const crowdedSeedOffset = 15 // offset of a seed at which small groups came to hold all workers
	forEachSeed(t, *firstSeed+crowdedSeedOffset, randomFaults, func(t *testing.T, sim *simulation) {
		for _, m := range sim.fleet.engine.Models {
			if sim.fleet.openGroups(m.Name) == 0 {
				t.Errorf("seed %d: no group of %s serves %s after the last fault", sim.seed, m.Name, simRecoveryTime)
			}
		}
	})
}

// Each rule of the protocol is necessary: with the rule disabled, some simulation
// shows a violation.
func TestEachProtocolRuleIsNecessary(t *testing.T) {
	for _, c := range []struct {
		name      string
		disabled  rule
		scenario  scenario
		violation string
		first     uint64 // first seed to try
	}{
		{"orders carry the order count", orderCounts, concurrentKeepers, "TWO", 1},
		{"count and group from one report", groupFromReport, listOutages, "TWO", 280},
		{"leave before join", leaveBeforeJoin, randomFaults, "TWO", 1},
		{"open after all members were seen ready", openAfterAllReady, randomFaults, "PARTIAL", 1},
		{"epochs above all earlier ones", risingEpochs, successiveKeepers, "TWO", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			const tries = 40
			found := ""
			for seed := c.first; seed < c.first+tries && found == ""; seed++ {
				found = firstViolation(runSimulation(t, seed, c.disabled, c.scenario), c.violation)
			}
			g.Expect(found).NotTo(BeEmpty())
			t.Log(found)
		})
	}
}

// firstViolation returns the first violation of a kind, such as "TWO", in a simulation.
func firstViolation(sim *simulation, violation string) string {
	for _, f := range sim.fleet.violations {
		if strings.Contains(f, violation) {
			return f
		}
	}
	return ""
}
