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

// action is one kind of step, drawn in proportion to its weight.
type action struct {
	weight int
	run    func(w *world)
}

var actions = []action{
	{30, (*world).stepAcquire},
	{14, (*world).stepRelease},
	{40, (*world).stepDeliver},
	{4, (*world).stepRepeat},
	{3, (*world).stepLose},
	{20, (*world).stepStatement},
	{10, (*world).stepRead},
	{3, (*world).stepSkip},
	{4, (*world).stepRound},
	{2, (*world).stepGiveUp},
	{1, (*world).stepTick},
	{1, (*world).stepCrash},
	{2, (*world).stepRejoin},
	{1, (*world).stepLeave},
	{2, (*world).stepPause},
	{4, (*world).stepResume},
	{1, (*world).stepCutOff},
	{4, (*world).stepTellGone},
	{1, (*world).stepLimits},
	{1, (*world).stepRestartServer},
	{6, (*world).stepObserve},
}

func weigh(actions []action) []func(*world) {
	var all []func(*world)
	for _, a := range actions {
		all = append(all, slices.Repeat([]func(*world){a.run}, a.weight)...)
	}
	return all
}

// runSchedule returns the first violation, or "".
func runSchedule(t *rapid.T, disabled guard, believe bool, extra ...action) string {
	w := newWorld(t, disabled, believe)
	steps := weigh(append(extra, actions...))
	for range scheduleSteps {
		w.draw("action", steps)(w)
		w.check()
		if w.violation != "" {
			break
		}
	}
	return w.violation
}

// Steps of which some schedules have more.
var (
	changes = action{6, (*world).stepLimits}
	skips   = action{10, (*world).stepSkip}
	loans   = action{60, (*world).stepLoan}
	crashes = action{2, (*world).stepCrash}
	joins   = action{8, (*world).stepRejoin}
	leaves  = action{8, (*world).stepLeave}
	colds   = action{3, (*world).stepTurnCold}
	talks   = action{30, (*world).stepTalk}
)

// stepTurnCold lets a process find out that a server has turned cold.
func (w *world) stepTurnCold() {
	p, ok := w.pickProcess(running)
	if !ok {
		return
	}
	name := w.pickServer()
	if s := w.servers[name]; p.ledger.Boot(name) == s.bootID() {
		s.silent = true
		p.ledger.MarkCold(name, s.bootID())
	}
}

// TestColdNewsReachesAll shows that everyone keeps to the cold level once the
// statements have arrived, and to the limit before.
func TestColdNewsReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 0, false)
		steps := weigh(append([]action{loans}, actions...))
		for range scheduleSteps / 2 {
			w.draw("action", steps)(w)
		}
		w.heal()
		p, ok := w.pickProcess(w.isMember)
		if !ok || w.servers["s2"].boot > 0 {
			return
		}
		w.servers["s2"].silent = true
		p.ledger.MarkCold("s2", p.ledger.Boot("s2"))
		w.stepRound()
		for _, p := range w.procs {
			w.acquireAll(p, "s2")
		}
		held := 0
		for _, p := range w.procs {
			held += len(p.permits)
		}
		if held > coldInFlight {
			t.Fatalf("a cold server holds %d requests", held)
		}
	})
}

func (w *world) acquireAll(p *process, name string) {
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
		"all kinds":          nil,
		"loans and crashes":  {loans, crashes},
		"changes and skips":  {changes, skips},
		"tables and skips":   {joins, leaves, skips},
		"turning cold":       {loans, colds},
		"everything at once": {changes, skips, loans, crashes},
		"talks and skips":    {changes, skips, skips, talks},
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

// guardSeeds bounds the search for a violation without a guard.
const guardSeeds = 3000

func TestEachGuardIsNeeded(t *testing.T) {
	tests := []struct {
		name     string
		disabled guard
		believe  bool
		extra    []action // steps that this guard is about
	}{
		{name: "smallest share that binds", disabled: guardMinimum},
		{name: "wait for members to settle", disabled: guardSettle},
		{name: "count what is lent", disabled: guardLent},
		{name: "certainty that a member is gone", believe: true},
		{name: "sequence of statements", disabled: guardSequence},
		{name: "cold level of a new boot", disabled: guardCold},
		{name: "loans of settled lenders only", disabled: guardCover, extra: []action{loans, crashes}},
		{name: "loan that was given up", disabled: guardAbandoned},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			NewWithT(t).Expect(findViolation(tt.disabled, tt.believe, tt.extra)).NotTo(BeEmpty())
		})
	}
}

func findViolation(disabled guard, believe bool, extra []action) string {
	schedule := rapid.Custom(func(t *rapid.T) string { return runSchedule(t, disabled, believe, extra...) })
	for seed := 1; seed <= guardSeeds; seed++ {
		if v := schedule.Example(seed); v != "" {
			return v
		}
	}
	return ""
}

// healRounds is more than enough exchanges for everything to settle.
const healRounds = 12

// heal ends every fault and every request, and exchanges statements.
func (w *world) heal() {
	w.mail = nil
	for _, p := range w.procs {
		p.paused, p.cutOff = false, false
		for _, permit := range p.permits {
			if !p.dead {
				w.send(p.ledger.Release(permit, false))
			}
		}
		p.permits = nil
		for _, id := range p.asked {
			p.ledger.CancelLoan(id)
		}
	}
	w.configure(1, 6) // also for those that skipped limits
	w.table(w.isMember)
	for range healRounds {
		for _, p := range w.procs {
			for _, ended := range w.procs {
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
		for len(w.mail) > 0 {
			message := w.mail[0]
			w.mail = w.mail[1:]
			w.deliver(message)
		}
	}
}

// TestLimitsRecover shows that no schedule leaves a part of a limit unusable
// once the faults have ended.
func TestLimitsRecover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 0, false)
		steps := weigh(append([]action{changes, skips, loans, crashes}, actions...))
		for range scheduleSteps / 2 {
			w.draw("action", steps)(w)
		}
		w.heal()
		usable := 0
		for _, p := range w.procs {
			w.acquireAll(p, "s2")
			usable += len(p.permits)
		}
		limit := w.limits[w.activated.Limits].Backends["s2"]
		if len(w.members()) > 0 && usable != w.servers["s2"].bears(limit.InFlight) && w.servers["s2"].warm {
			t.Fatalf("%d of %d requests are usable by %v", usable, limit.InFlight, w.members())
		}
	})
}
