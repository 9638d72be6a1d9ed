package group

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chicorystall/chicorystall/internal/oracle"
	"github.com/chicorystall/chicorystall/pkg/fleet"
)

// machine returns a property for rapid: entry instances manage groups concurrently,
// pause, stop and admit requests, while engines restart and answers to orders are
// lost. In the end all faults stop, and the desired groups have to become whole.
func machine(disabled disabledGuards) func(*rapid.T) {
	return func(t *rapid.T) {
		sim := newSimulation(t, disabled)
		if rapid.Bool().Draw(t, "serving") {
			sim.runInstance(sim.instances[0])
		}
		onRunningInstance := func(act func(instance *entryInstance)) func(*rapid.T) {
			return func(t *rapid.T) {
				sim.t = t
				if instance := rapid.SampledFrom(sim.instances).Draw(t, "node"); instance.alive {
					act(instance)
				}
			}
		}
		onServer := func(act func(string)) func(*rapid.T) {
			return func(t *rapid.T) {
				sim.t = t
				act(rapid.SampledFrom(sim.servers).Draw(t, "server").Name)
			}
		}
		control := onRunningInstance(func(instance *entryInstance) {
			sim.read(instance)
			sim.poll(instance)
			sim.read(instance)
			sim.decide(instance)
			for _, r := range instance.issuer.PendingReleases(instance.view) {
				sim.append(r)
			}
		})
		t.Repeat(map[string]func(*rapid.T){
			"":         func(*rapid.T) { sim.checkMembership() },
			"control":  control,
			"control2": control,
			"control3": control,
			"issue":    onRunningInstance(sim.sendOrder),
			"issue2":   onRunningInstance(sim.sendOrder),
			"deliver":  onServer(sim.deliverDelayed),
			"load":     onServer(func(name string) { sim.finishLoading(sim.engines[name]) }),
			"arrive": func(*rapid.T) {
				if len(sim.delayed) > 0 {
					sim.appendNow(sim.delayed[0])
					sim.delayed = sim.delayed[1:]
				}
			},
			"poll":    onRunningInstance(func(instance *entryInstance) { sim.read(instance); sim.poll(instance) }),
			"admit":   onRunningInstance(sim.admit),
			"answer":  onRunningInstance(sim.respond),
			"abandon": onRunningInstance(func(instance *entryInstance) { instance.issuer.Abandon(instance.view) }),
			"advance": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "s")) * time.Second)
			},
			"restart": onServer(sim.restart),
			"end":     onRunningInstance(func(instance *entryInstance) { instance.alive = rapid.IntRange(0, 3).Draw(sim.t, "stays alive") > 0 }),
			"start": func(t *rapid.T) {
				sim.t = t
				i := slices.IndexFunc(sim.instances, func(instance *entryInstance) bool { return !instance.alive })
				if i >= 0 {
					sim.start(sim.instances[i])
				}
			},
			"desire": func(t *rapid.T) {
				sim.desired = rapid.SampledFrom([][]fleet.Group{
					{desiredGroup("g1", "s3", "s2")},
					{desiredGroup("g1", "s1", "s2"), desiredGroup("g2", "s4", "s5")},
					{desiredGroup("g2", "s3", "s2")},
				}).Draw(t, "desired")
			},
		})
		sim.t = t
		if disabled == (disabledGuards{}) {
			sim.runWithoutFaults()
		}
	}
}

func TestMachine(t *testing.T) {
	rapid.Check(t, machine(disabledGuards{}))
}

func TestMachineGuards(t *testing.T) {
	tests := map[string]disabledGuards{
		"report age":      {check: guardReportAge},
		"epoch":           {check: guardEpoch},
		"claim first":     {controller: guardClaimFirst},
		"send once":       {issuer: guardSendOnce},
		"unknown outcome": {issuer: guardUnknownOutcome},
		"fence":           {controller: guardFence},
	}
	for name, disabled := range tests {
		t.Run(name, func(t *testing.T) { oracle.WantViolation(t, machine(disabled)) })
	}
}

// Without whole groups the checks of admitted requests would never run, so the
// simulation has to reach them.
func TestMachineFormsWholeGroups(t *testing.T) {
	oracle.WantViolation(t, func(t *rapid.T) {
		sim := newSimulation(t, disabledGuards{})
		instance := sim.instances[0]
		sim.runInstance(instance)
		if _, err := (Check{}).Whole(instance.view, "g1", instance.reports, sim.now); err == nil {
			t.Fatal("g1 is whole")
		}
	})
}
