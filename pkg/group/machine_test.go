package group

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chicorystall/chicorystall/internal/oracle"
	"github.com/chicorystall/chicorystall/pkg/fleet"
)

// machine lets entry instances that control groups race, pause, end and admit
// requests, over engines that restart and answers that are lost. In the end all
// faults stop, and what is desired has to become whole.
func machine(off switches) func(*rapid.T) {
	return func(t *rapid.T) {
		a := newArena(t, off)
		if rapid.Bool().Draw(t, "serving") {
			a.serve(a.nodes[0])
		}
		alive := func(act func(n *node)) func(*rapid.T) {
			return func(t *rapid.T) {
				a.t = t
				if n := rapid.SampledFrom(a.nodes).Draw(t, "node"); n.alive {
					act(n)
				}
			}
		}
		server := func(act func(string)) func(*rapid.T) {
			return func(t *rapid.T) {
				a.t = t
				act(rapid.SampledFrom(a.servers).Draw(t, "server").Name)
			}
		}
		control := alive(func(n *node) {
			a.read(n)
			a.poll(n)
			a.read(n)
			a.control(n)
			for _, r := range n.issuer.PendingReleases(n.view) {
				a.append(r)
			}
		})
		t.Repeat(map[string]func(*rapid.T){
			"":         func(*rapid.T) { a.check() },
			"control":  control,
			"control2": control,
			"control3": control,
			"issue":    alive(a.issue),
			"issue2":   alive(a.issue),
			"deliver":  server(a.deliver),
			"load":     server(func(name string) { a.load(a.engines[name]) }),
			"arrive": func(*rapid.T) {
				if len(a.late) > 0 {
					a.arrive(a.late[0])
					a.late = a.late[1:]
				}
			},
			"poll":    alive(func(n *node) { a.read(n); a.poll(n) }),
			"admit":   alive(a.admit),
			"answer":  alive(a.answer),
			"abandon": alive(func(n *node) { n.issuer.Abandon(n.view) }),
			"advance": func(t *rapid.T) { a.now = a.now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "s")) * time.Second) },
			"restart": server(a.restart),
			"end":     alive(func(n *node) { n.alive = rapid.IntRange(0, 3).Draw(a.t, "lives") > 0 }),
			"start": func(t *rapid.T) {
				a.t = t
				i := slices.IndexFunc(a.nodes, func(n *node) bool { return !n.alive })
				if i >= 0 {
					a.start(a.nodes[i])
				}
			},
			"desire": func(t *rapid.T) {
				a.desired = rapid.SampledFrom([][]fleet.Group{
					{desired("g1", "s3", "s2")},
					{desired("g1", "s1", "s2"), desired("g2", "s4", "s5")},
					{desired("g2", "s3", "s2")},
				}).Draw(t, "desired")
			},
		})
		a.t = t
		if off == (switches{}) {
			a.settle()
		}
	}
}

func TestMachine(t *testing.T) {
	rapid.Check(t, machine(switches{}))
}

func TestMachineGuards(t *testing.T) {
	tests := map[string]switches{
		"fresh":   {check: guardFresh},
		"epoch":   {check: guardEpoch},
		"claim":   {control: guardClaim},
		"once":    {issue: guardOnce},
		"unknown": {issue: guardUnknown},
		"fence":   {control: guardFence},
	}
	for name, off := range tests {
		t.Run(name, func(t *testing.T) { oracle.WantViolation(t, machine(off)) })
	}
}

// TestMachineServes shows that the machine's world reaches whole groups.
func TestMachineServes(t *testing.T) {
	oracle.WantViolation(t, func(t *rapid.T) {
		a := newArena(t, switches{})
		n := a.nodes[0]
		a.serve(n)
		if _, err := (Check{}).Whole(n.view, "g1", n.reports, a.now); err == nil {
			t.Fatal("g1 is whole")
		}
	})
}
