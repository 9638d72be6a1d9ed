package limit

import (
	"flag"
	"os"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "80"} {
		if !isSet(name) {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func isSet(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}

const scheduleSteps = 400

// action is one kind of step, which is drawn in proportion to its weight.
type action struct {
	weight int
	run    func(w *simulation)
}

var actions = []action{
	{30, (*simulation).stepAcquire},
	{14, (*simulation).stepRelease},
	{40, (*simulation).stepDeliver},
	{4, (*simulation).stepRepeat},
	{3, (*simulation).stepLose},
	{20, (*simulation).stepStatement},
	{10, (*simulation).stepRead},
	{3, (*simulation).stepSkip},
	{4, (*simulation).stepRound},
	{2, (*simulation).stepCancelLoan},
	{1, (*simulation).stepTick},
	{1, (*simulation).stepCrash},
	{2, (*simulation).stepRejoin},
	{1, (*simulation).stepLeave},
	{2, (*simulation).stepPause},
	{4, (*simulation).stepResume},
	{1, (*simulation).stepCutOff},
	{4, (*simulation).stepMarkGone},
	{1, (*simulation).stepLimits},
	{1, (*simulation).stepRestartServer},
	{6, (*simulation).stepObserve},
}

func repeatByWeight(actions []action) []func(*simulation) {
	var all []func(*simulation)
	for _, a := range actions {
		all = append(all, slices.Repeat([]func(*simulation){a.run}, a.weight)...)
	}
	return all
}

// runSchedule runs a random schedule and returns the first violation, or "".
func runSchedule(t *rapid.T, disabled guard, pausedIsGone bool, extra ...action) string {
	w := newSimulation(t, disabled, pausedIsGone)
	steps := repeatByWeight(append(extra, actions...))
	for range scheduleSteps {
		w.draw("action", steps)(w)
		w.check()
		if w.violation != "" {
			break
		}
	}
	return w.violation
}

// Steps that some schedules run more often.
var (
	limitChanges = action{6, (*simulation).stepLimits}
	skips        = action{10, (*simulation).stepSkip}
	loans        = action{60, (*simulation).stepLoan}
	crashes      = action{2, (*simulation).stepCrash}
	joins        = action{8, (*simulation).stepRejoin}
	leaves       = action{8, (*simulation).stepLeave}
	coldTurns    = action{3, (*simulation).stepTurnCold}
	exchanges    = action{30, (*simulation).stepExchange}
)

// stepTurnCold turns a server cold and lets one process detect it.
func (w *simulation) stepTurnCold() {
	p, ok := w.pickProcess(running)
	if !ok {
		return
	}
	name := w.pickServer()
	if s := w.servers[name]; p.ledger.Boot(name) == s.bootID() {
		s.turnedCold = true
		p.ledger.MarkCold(name, s.bootID())
	}
}

// TestColdLevelReachesAllMembers checks that all members keep to the cold level once
// they have received statements with it.
func TestColdLevelReachesAllMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, 0, false)
		steps := repeatByWeight(append([]action{loans}, actions...))
		for range scheduleSteps / 2 {
			w.draw("action", steps)(w)
		}
		w.endFaults()
		p, ok := w.pickProcess(w.isMember)
		if !ok || w.servers["s2"].boot > 0 {
			return
		}
		w.servers["s2"].turnedCold = true
		p.ledger.MarkCold("s2", p.ledger.Boot("s2"))
		w.stepRound()
		for _, p := range w.processes {
			w.acquireAll(p, "s2")
		}
		held := 0
		for _, p := range w.processes {
			held += len(p.permits)
		}
		if held > coldInFlight {
			t.Fatalf("a cold server holds %d requests", held)
		}
	})
}

func (w *simulation) acquireAll(p *process, name string) {
	for !p.dead {
		permit, err := p.ledger.Acquire(name, 0)
		if err != nil {
			return
		}
		p.permits = append(p.permits, permit)
	}
}

func TestNoScheduleExceedsLimits(t *testing.T) {
	tests := map[string][]action{
		"all kinds":           nil,
		"loans and crashes":   {loans, crashes},
		"changes and skips":   {limitChanges, skips},
		"tables and skips":    {joins, leaves, skips},
		"turning cold":        {loans, coldTurns},
		"everything at once":  {limitChanges, skips, loans, crashes},
		"exchanges and skips": {limitChanges, skips, skips, exchanges},
	}
	for name, extra := range tests {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if v := runSchedule(t, 0, false, extra...); v != "" {
					t.Fatal(v)
				}
			})
		})
	}
}

// guardSeeds bounds the number of schedules searched for a violation with a guard
// disabled.
const guardSeeds = 3000

func TestEachGuardIsNeeded(t *testing.T) {
	tests := []struct {
		name         string
		disabled     guard
		pausedIsGone bool
		extra        []action // steps that make a violation more likely
	}{
		{name: "smallest share of the plans in force", disabled: guardSmallestShare},
		{name: "wait for members to settle", disabled: guardAwaitSettled},
		{name: "count what is lent", disabled: guardCountLent},
		{name: "only ended members are marked gone", pausedIsGone: true},
		{name: "sequence of statements", disabled: guardSequence},
		{name: "cold level of a new boot", disabled: guardColdBoot},
		{name: "loans of settled lenders only", disabled: guardSettledLender, extra: []action{loans, crashes}},
		{name: "cancelled loan requests", disabled: guardCancelled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			NewWithT(t).Expect(findViolation(tt.disabled, tt.pausedIsGone, tt.extra)).NotTo(BeEmpty())
		})
	}
}

func findViolation(disabled guard, pausedIsGone bool, extra []action) string {
	schedule := rapid.Custom(func(t *rapid.T) string { return runSchedule(t, disabled, pausedIsGone, extra...) })
	for seed := 1; seed <= guardSeeds; seed++ {
		if v := schedule.Example(seed); v != "" {
			return v
		}
	}
	return ""
}

// recoveryRounds is more exchanges of statements than all members need to settle.
const recoveryRounds = 12

// endFaults ends all faults and requests, and exchanges statements until all members
// have settled.
func (w *simulation) endFaults() {
	w.inTransit = nil
	for _, p := range w.processes {
		p.paused, p.cutOff = false, false
		for _, permit := range p.permits {
			if !p.dead {
				w.send(p.ledger.Release(permit, false))
			}
		}
		p.permits = nil
		for _, id := range p.loanRequests {
			p.ledger.CancelLoan(id)
		}
	}
	w.appendLimits(1, 6) // also reaches the processes that skipped limits
	w.appendTable(w.isMember)
	for range recoveryRounds {
		for _, p := range w.processes {
			for _, ended := range w.processes {
				if ended.dead && !p.dead {
					w.send(p.ledger.MarkGone(ended.ledger.Self))
				}
			}
			for name := range w.servers {
				w.observe(p, name)
			}
			if !p.dead {
				w.send(p.ledger.Tick())
			}
		}
		w.stepRound()
		for len(w.inTransit) > 0 {
			message := w.inTransit[0]
			w.inTransit = w.inTransit[1:]
			w.deliver(message)
		}
	}
}

// TestLimitsRecover checks that after any schedule the whole limit is usable again once
// the faults have ended.
func TestLimitsRecover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, 0, false)
		steps := repeatByWeight(append([]action{limitChanges, skips, loans, crashes}, actions...))
		for range scheduleSteps / 2 {
			w.draw("action", steps)(w)
		}
		w.endFaults()
		usable := 0
		for _, p := range w.processes {
			w.acquireAll(p, "s2")
			usable += len(p.permits)
		}
		limit := w.limits[w.activated.Limits].Backends["s2"]
		if len(w.members()) > 0 && usable != w.servers["s2"].capacity(limit.InFlight) && w.servers["s2"].warm {
			t.Fatalf("%d of %d requests are usable by %v", usable, limit.InFlight, w.members())
		}
	})
}
