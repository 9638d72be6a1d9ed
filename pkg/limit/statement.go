package limit

import (
	"cmp"
	"slices"
)

// maxTicketAge is the number of ticks for which this member's own requests keep their
// queue position.
const maxTicketAge = 2

// maxIdleAge is the number of ticks after which an unused loan is returned.
const maxIdleAge = 2

func (l *Ledger) peer(m Member) *peer {
	p, ok := l.peers[m]
	if !ok {
		p = &peer{}
		l.peers[m] = p
	}
	return p
}

// Statement returns the next statement to another member.
func (l *Ledger) Statement(to Member) Statement {
	l.init()
	l.seq++
	p := l.peer(to)
	s := Statement{
		From:    l.Self,
		To:      to,
		Seq:     l.seq,
		Ack:     p.receivedSeq,
		Version: l.Version(),
		Settled: l.Settled(),
	}
	p.wantsAck = false
	s.Loans = l.loanIDsFrom(to)
	for _, a := range l.accounts {
		if a.level.changedSeq > p.ackedSeq {
			s.Levels = append(s.Levels, l.levelReading(a))
		}
	}
	slices.SortFunc(s.Levels, func(a, b Level) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Boot, b.Boot))
	})
	return s
}

// StatementDue reports whether the other member lacks something that a statement would contain.
// The caller sends a statement in each round in which one is due, and otherwise at a
// low rate in case statements were lost.
func (l *Ledger) StatementDue(to Member) bool {
	l.init()
	p := l.peer(to)
	if p.wantsAck || max(l.ownSettledSeq, p.returnedSeq) > p.ackedSeq || len(l.loanIDsFrom(to)) > 0 {
		return true
	}
	for _, a := range l.accounts {
		if a.level.changedSeq > p.ackedSeq {
			return true
		}
	}
	return false
}

func (l *Ledger) levelReading(a *account) Level {
	value := a.level.value
	if a.level.warm {
		value = l.newest().limits.Backends[a.backend].InFlight
	}
	return Level{
		Backend:   a.backend,
		Boot:      a.boot,
		ColdEpoch: a.level.coldEpoch,
		Value:     value,
		Completed: a.level.completed,
	}
}

func (l *Ledger) loanIDsFrom(lender Member) []LoanID {
	var ids []LoanID
	for id, loan := range l.held {
		if loan.lender == lender {
			ids = append(ids, id)
		}
	}
	for id, loan := range l.pending {
		if loan.lender == lender {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b LoanID) int { return cmp.Compare(a.Number, b.Number) })
	return ids
}

// Reconcile processes a statement of another member. A statement that arrives after a
// newer one is ignored, and it does not affect loans that were requested after it was
// sent.
func (l *Ledger) Reconcile(s Statement) Outbox {
	l.init()
	p := l.peer(s.From)
	if s.To != l.Self || (s.Seq <= p.receivedSeq && l.enabled(guardSequence)) {
		return Outbox{}
	}
	p.receivedSeq = max(p.receivedSeq, s.Seq)
	p.ackedSeq = max(p.ackedSeq, s.Ack)
	touched := make(map[bootKey]*account)
	for id, loan := range l.lent {
		sentBefore := loan.seq < s.Seq || !l.enabled(guardSequence)
		if id.Borrower == s.From && sentBefore && !slices.Contains(s.Loans, id) {
			a := l.reclaimLoan(id)
			touched[a.bootKey] = a
		}
	}
	l.removeCancelled(s)
	for _, received := range s.Levels {
		a := l.mergeLevel(s.From, received)
		touched[a.bootKey] = a
	}
	known := slices.Contains(l.settled[s.From], s.Version)
	if s.Settled {
		l.recordSettled(s.From, s.Version)
	}
	p.wantsAck = p.wantsAck || len(s.Levels) > 0 || s.Settled && !known
	return l.serveAccounts(touched)
}

// removeCancelled removes waiting loan requests that the borrower cancelled.
func (l *Ledger) removeCancelled(s Statement) {
	for _, a := range l.accounts {
		a.waiting = slices.DeleteFunc(a.waiting, func(w waitingRequest) bool {
			id := w.request.ID
			return id.Borrower == s.From && id.Number < s.Seq && !slices.Contains(s.Loans, id)
		})
	}
}

// Tick returns loans that no request used, and ends queue positions of this member's
// own requests that have expired. The caller calls it once in each round of statements.
func (l *Ledger) Tick() Outbox {
	l.init()
	for id, loan := range l.held {
		loan.age++
		l.held[id] = loan
	}
	var out Outbox
	for _, k := range l.sortedAccountKeys() {
		a := l.accounts[k]
		a.ticketAge++
		if a.ticketAge > maxTicketAge {
			a.ticket = 0
		}
		out.add(l.returnIdle(a, maxIdleAge))
	}
	out.add(l.dropOldPlans())
	out.add(l.serveAllWaiting())
	return out
}
