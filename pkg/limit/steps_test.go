package limit

import (
	"slices"

	"pgregory.net/rapid"
)

func (w *simulation) draw(label string, from []func(*simulation)) func(*simulation) {
	return from[rapid.IntRange(0, len(from)-1).Draw(w.t, label)]
}

func pickFrom[T any](w *simulation, label string, from []T) (T, bool) {
	if len(from) == 0 {
		var none T
		return none, false
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(w.t, label)], true
}

func (w *simulation) pickProcess(where func(*process) bool) (*process, bool) {
	var found []*process
	for _, p := range w.processes {
		if where(p) {
			found = append(found, p)
		}
	}
	return pickFrom(w, "process", found)
}

func running(p *process) bool { return !p.dead && !p.paused }
func alive(p *process) bool   { return !p.dead }

func (w *simulation) pickServer() string {
	return rapid.SampledFrom([]string{"s1", "s2"}).Draw(w.t, "server")
}

func (w *simulation) stepAcquire() {
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
	if lender, ok := pickFrom(w, "lender", refusal.Lenders); ok {
		r := p.ledger.Borrow(name, lender, refusal.Missing, rapid.Bool().Draw(w.t, "wait"))
		p.loanRequests = append(p.loanRequests, r.ID)
		w.inTransit = append(w.inTransit, r)
	}
}

func (w *simulation) stepRelease() {
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

func (w *simulation) stepDeliver() {
	if len(w.inTransit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inTransit)-1).Draw(w.t, "message")
	message := w.inTransit[i]
	w.inTransit = slices.Delete(w.inTransit, i, i+1)
	w.deliver(message)
}

func (w *simulation) stepRepeat() {
	if message, ok := pickFrom(w, "message", w.inTransit); ok {
		w.deliver(message)
	}
}

func (w *simulation) stepLose() {
	if len(w.inTransit) > 0 {
		i := rapid.IntRange(0, len(w.inTransit)-1).Draw(w.t, "message")
		w.inTransit = slices.Delete(w.inTransit, i, i+1)
	}
}

func (w *simulation) stepStatement() {
	from, ok := w.pickProcess(running)
	if !ok {
		return
	}
	for _, to := range w.processes {
		if to != from && alive(to) {
			w.inTransit = append(w.inTransit, from.ledger.Statement(to.ledger.Self))
		}
	}
}

func (w *simulation) stepRead() {
	p, ok := w.pickProcess(func(p *process) bool { return running(p) && !p.cutOff && p.nextRecord < len(w.log) })
	if !ok {
		return
	}
	w.readNext(p)
}

// stepSkip lets a process read only the newest record, as if from a snapshot.
func (w *simulation) stepSkip() {
	p, ok := w.pickProcess(func(p *process) bool { return running(p) && !p.cutOff && p.nextRecord < len(w.log) })
	if ok {
		p.nextRecord = len(w.log) - 1
		w.readNext(p)
	}
}

// stepLoan borrows the amount of one request, without loss or delay of messages.
func (w *simulation) stepLoan() {
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

// readNext lets a process apply the next record of the log.
func (w *simulation) readNext(p *process) {
	r := w.log[p.nextRecord]
	p.nextRecord++
	if r.table != nil {
		w.send(p.ledger.SetTable(*r.table))
	} else {
		w.send(p.ledger.SetLimits(*r.limits))
	}
	w.check()
}

// stepRound lets each running process that is not cut off read the log to its end, and
// then delivers all statements.
func (w *simulation) stepRound() {
	for _, p := range w.processes {
		for running(p) && !p.cutOff && p.nextRecord < len(w.log) {
			w.readNext(p)
		}
	}
	w.stepExchange()
}

// stepExchange delivers a statement from each running process to each other one.
func (w *simulation) stepExchange() {
	for _, from := range w.processes {
		for _, to := range w.processes {
			if from != to && running(from) && running(to) {
				w.deliver(from.ledger.Statement(to.ledger.Self))
				w.check()
			}
		}
	}
}

func (w *simulation) stepCancelLoan() {
	p, ok := w.pickProcess(func(p *process) bool { return running(p) && len(p.loanRequests) > 0 })
	if !ok {
		return
	}
	i := rapid.IntRange(0, len(p.loanRequests)-1).Draw(w.t, "asked")
	w.send(p.ledger.CancelLoan(p.loanRequests[i]))
	p.loanRequests = slices.Delete(p.loanRequests, i, i+1)
}

func (w *simulation) stepTick() {
	if p, ok := w.pickProcess(running); ok {
		w.send(p.ledger.Tick())
	}
}

func (w *simulation) stepCrash() {
	if p, ok := w.pickProcess(alive); ok {
		p.dead = true
	}
}

func (w *simulation) stepRejoin() {
	aliveCount := 0
	for _, p := range w.processes {
		if alive(p) {
			aliveCount++
		}
	}
	if aliveCount < initialProcesses+1 {
		w.join("n" + string(rune('0'+rapid.IntRange(0, initialProcesses).Draw(w.t, "name"))))
	}
}

func (w *simulation) stepLeave() {
	p, ok := w.pickProcess(w.isMember)
	if ok && len(w.members()) > 1 {
		w.appendTable(func(q *process) bool { return q != p && w.isMember(q) })
	}
}

func (w *simulation) stepPause() {
	if p, ok := w.pickProcess(running); ok {
		p.paused = true
	}
}

func (w *simulation) stepResume() {
	if p, ok := w.pickProcess(func(p *process) bool { return p.paused }); ok {
		p.paused = false
	}
}

func (w *simulation) stepCutOff() {
	if p, ok := w.pickProcess(alive); ok {
		p.cutOff = !p.cutOff
	}
}

// stepMarkGone lets a process mark another one that has ended as gone. With
// pausedIsGone, it may also mark a paused one.
func (w *simulation) stepMarkGone() {
	goneProcess, ok := w.pickProcess(func(p *process) bool { return p.dead || w.pausedIsGone && p.paused })
	if !ok {
		return
	}
	if p, ok := w.pickProcess(running); ok {
		w.send(p.ledger.MarkGone(goneProcess.ledger.Self))
	}
}

func (w *simulation) stepLimits() {
	w.appendLimits(rapid.IntRange(1, 2).Draw(w.t, "one"), rapid.IntRange(1, 8).Draw(w.t, "two"))
}

func (w *simulation) stepRestartServer() {
	s := w.servers[w.pickServer()]
	*s = server{boot: s.boot + 1}
}

func (w *simulation) stepObserve() {
	if p, ok := w.pickProcess(running); ok {
		w.observe(p, w.pickServer())
	}
}
