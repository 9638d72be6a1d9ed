package limit

import (
	"slices"

	"pgregory.net/rapid"
)

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
	w.stepTalk()
}

// stepTalk delivers a statement of everyone to everyone.
func (w *world) stepTalk() {
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
	w.send(p.ledger.CancelLoan(p.asked[i]))
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
