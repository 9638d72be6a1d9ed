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

func (w *world) draw(label string, from []func(*world)) func(*world) {
	return from[rapid.IntRange(0, len(from)-1).Draw(w.t, label)]
}

func pickOf[T any](w *world, label string, from []T) (T, bool) {
	if len(from) == 0 {
		var none T
		return none, false
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(w.t, label)], true
}

func (w *world) pickProcess(where func(*process) bool) (*process, bool) {
	var found []*process
	for _, p := range w.procs {
		if where(p) {
			found = append(found, p)
		}
	}
	return pickOf(w, "process", found)
}

func running(p *process) bool { return !p.dead && !p.paused }
func alive(p *process) bool   { return !p.dead }

func (w *world) pickServer() string {
	return rapid.SampledFrom([]string{"s1", "s2"}).Draw(w.t, "server")
}

func (w *world) stepAcquire() {
	p, ok := w.pickProcess(running)
	if !ok {
		return
	}
	name := w.pickServer()
	permit, err := p.ledger.Acquire(name, rapid.IntRange(0, 12).Draw(w.t, "tokens"))
	if err == nil {
		p.permits = append(p.permits, permit)
		return
	}
	refusal := err.(*Refusal)
	if lender, ok := pickOf(w, "lender", refusal.Lenders); ok {
		r := p.ledger.Borrow(name, lender, refusal.Missing, rapid.Bool().Draw(w.t, "wait"))
		p.asked = append(p.asked, r.ID)
		w.mail = append(w.mail, r)
	}
}

func (w *world) stepRelease() {
	p, ok := w.pickProcess(func(p *process) bool { return running(p) && len(p.permits) > 0 })
	if !ok {
		return
	}
	i := rapid.IntRange(0, len(p.permits)-1).Draw(w.t, "permit")
	permit := p.permits[i]
	p.permits = slices.Delete(p.permits, i, i+1)
	s := w.servers[permit.Backend]
	completed := permit.Boot == s.bootID()
	if completed {
		s.completed++
	}
	w.send(p.ledger.Release(permit, completed))
}

func (w *world) stepDeliver() {
	if len(w.mail) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.mail)-1).Draw(w.t, "message")
	message := w.mail[i]
	w.mail = slices.Delete(w.mail, i, i+1)
	w.deliver(message)
}

func (w *world) stepRepeat() {
	if message, ok := pickOf(w, "message", w.mail); ok {
		w.deliver(message)
	}
}

func (w *world) stepLose() {
	if len(w.mail) > 0 {
		i := rapid.IntRange(0, len(w.mail)-1).Draw(w.t, "message")
		w.mail = slices.Delete(w.mail, i, i+1)
	}
}

func (w *world) stepStatement() {
	from, ok := w.pickProcess(running)
	if !ok {
		return
	}
	for _, to := range w.procs {
		if to != from && alive(to) {
			w.mail = append(w.mail, from.ledger.Statement(to.ledger.Self))
		}
	}
}

func (w *world) stepRead() {
	p, ok := w.pickProcess(func(p *process) bool { return running(p) && !p.cutOff && p.read < len(w.log) })
	if !ok {
		return
	}
	w.readNext(p)
}

// stepSkip lets a process read only the newest record, as from a snapshot.
func (w *world) stepSkip() {
	p, ok := w.pickProcess(func(p *process) bool { return running(p) && !p.cutOff && p.read < len(w.log) })
	if ok {
		p.read = len(w.log) - 1
		w.readNext(p)
	}
}

// stepLoan borrows what one request needs, over a network that works.
func (w *world) stepLoan() {
	borrower, ok := w.pickProcess(running)
	if !ok {
		return
	}
	lender, ok := w.pickProcess(running)
	if !ok || lender == borrower {
		return
	}
	r := borrower.ledger.Borrow("s2", lender.ledger.Self, Amount{Requests: 1}, false)
	if ok, _ := borrower.ledger.Accept(lender.ledger.Lend(r)); !ok {
		return
	}
	if permit, err := borrower.ledger.Acquire("s2", 0); err == nil {
		borrower.permits = append(borrower.permits, permit)
	}
}

func (w *world) readNext(p *process) {
	r := w.log[p.read]
	p.read++
	if r.table != nil {
		w.send(p.ledger.SetTable(*r.table))
	} else {
		w.send(p.ledger.SetLimits(*r.limits))
	}
	w.check()
}

// stepRound is a moment in which everything works: everyone who can reads the
// log to its end, and all statements arrive.
func (w *world) stepRound() {
	for _, p := range w.procs {
		for running(p) && !p.cutOff && p.read < len(w.log) {
			w.readNext(p)
		}
	}
	for _, from := range w.procs {
		for _, to := range w.procs {
			if from != to && running(from) && running(to) {
				w.deliver(from.ledger.Statement(to.ledger.Self))
				w.check()
			}
		}
	}
}

func (w *world) stepGiveUp() {
	p, ok := w.pickProcess(func(p *process) bool { return running(p) && len(p.asked) > 0 })
	if !ok {
		return
	}
	i := rapid.IntRange(0, len(p.asked)-1).Draw(w.t, "asked")
	w.send(p.ledger.GiveUp(p.asked[i]))
	p.asked = slices.Delete(p.asked, i, i+1)
}

func (w *world) stepTick() {
	if p, ok := w.pickProcess(running); ok {
		w.send(p.ledger.Tick())
	}
}

func (w *world) stepCrash() {
	if p, ok := w.pickProcess(alive); ok {
		p.dead = true
	}
}

func (w *world) stepRejoin() {
	living := 0
	for _, p := range w.procs {
		if alive(p) {
			living++
		}
	}
	if living < worldNames+1 {
		w.join("n" + string(rune('0'+rapid.IntRange(0, worldNames).Draw(w.t, "name"))))
	}
}

func (w *world) stepLeave() {
	p, ok := w.pickProcess(w.isMember)
	if ok && len(w.members()) > 1 {
		w.table(func(q *process) bool { return q != p && w.isMember(q) })
	}
}

func (w *world) stepPause() {
	if p, ok := w.pickProcess(running); ok {
		p.paused = true
	}
}

func (w *world) stepResume() {
	if p, ok := w.pickProcess(func(p *process) bool { return p.paused }); ok {
		p.paused = false
	}
}

func (w *world) stepCutOff() {
	if p, ok := w.pickProcess(alive); ok {
		p.cutOff = !p.cutOff
	}
}

// stepTellGone lets a process learn that another one has ended. With believe it
// takes a paused one for ended.
func (w *world) stepTellGone() {
	ended, ok := w.pickProcess(func(p *process) bool { return p.dead || w.believe && p.paused })
	if !ok {
		return
	}
	if p, ok := w.pickProcess(running); ok {
		w.send(p.ledger.MarkGone(ended.ledger.Self))
	}
}

func (w *world) stepLimits() {
	w.configure(rapid.IntRange(1, 2).Draw(w.t, "one"), rapid.IntRange(1, 8).Draw(w.t, "two"))
}

func (w *world) stepRestartServer() {
	s := w.servers[w.pickServer()]
	*s = server{boot: s.boot + 1}
}

func (w *world) stepObserve() {
	if p, ok := w.pickProcess(running); ok {
		w.observe(p, w.pickServer())
	}
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
			p.ledger.GiveUp(id)
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
