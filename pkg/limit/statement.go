package limit

import (
	"cmp"
	"slices"
)

// maxTicketAge is how many statements the place of the member's own requests
// outlives without a new Acquire.
const maxTicketAge = 2

// maxIdleAge is how many ticks a loan is kept without use.
const maxIdleAge = 2

func (l *Ledger) peer(m Member) *peer {
	p, ok := l.peers[m]
	if !ok {
		p = &peer{}
		l.peers[m] = p
	}
	return p
}

// Statement makes the next statement to another member.
func (l *Ledger) Statement(to Member) Statement {
	l.init()
	l.seq++
	p := l.peer(to)
	s := Statement{
		From:    l.Self,
		To:      to,
		Seq:     l.seq,
		Ack:     p.seq,
		Version: l.Version(),
		Settled: l.Settled(),
	}
	p.wantsAck = false
	s.Loans = l.loansFrom(to)
	for _, a := range l.accounts {
		if a.level.changed > p.acked {
			s.Levels = append(s.Levels, l.reading(a))
		}
	}
	slices.SortFunc(s.Levels, func(a, b Level) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Boot, b.Boot))
	})
	return s
}

// StatementDue reports whether the other member lacks something that a statement would
// tell it. The caller sends one in each round in which it is due, and otherwise
// now and then, for statements that were lost.
func (l *Ledger) StatementDue(to Member) bool {
	l.init()
	p := l.peer(to)
	if p.wantsAck || max(l.changed, p.returned) > p.acked || len(l.loansFrom(to)) > 0 {
		return true
	}
	for _, a := range l.accounts {
		if a.level.changed > p.acked {
			return true
		}
	}
	return false
}

func (l *Ledger) reading(a *account) Level {
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

func (l *Ledger) loansFrom(lender Member) []LoanID {
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

// Reconcile takes a statement of another member. One that a newer statement or
// loan request has overtaken changes nothing that those said.
func (l *Ledger) Reconcile(s Statement) Outbox {
	l.init()
	p := l.peer(s.From)
	if s.To != l.Self || (s.Seq <= p.seq && l.on(guardSequence)) {
		return Outbox{}
	}
	p.seq = max(p.seq, s.Seq)
	p.acked = max(p.acked, s.Ack)
	touched := make(map[key]*account)
	for id, loan := range l.lent {
		older := loan.seq < s.Seq || !l.on(guardSequence)
		if id.Borrower == s.From && older && !slices.Contains(s.Loans, id) {
			a := l.endLent(id)
			touched[a.key] = a
		}
	}
	l.dropWaiting(s)
	for _, reading := range s.Levels {
		a := l.learn(s.From, reading)
		touched[a.key] = a
	}
	known := slices.Contains(l.settled[s.From], s.Version)
	if s.Settled {
		l.noteSettled(s.From, s.Version)
	}
	p.wantsAck = p.wantsAck || len(s.Levels) > 0 || s.Settled && !known
	return l.moveOn(touched)
}

// dropWaiting forgets the requests for loans that the borrower gave up.
func (l *Ledger) dropWaiting(s Statement) {
	for _, a := range l.accounts {
		a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool {
			id := w.request.ID
			return id.Borrower == s.From && id.Number < s.Seq && !slices.Contains(s.Loans, id)
		})
	}
}

// Tick returns loans that no request used, and ends places of the member's own
// requests that nobody renewed. The caller calls it once for each round of
// statements.
func (l *Ledger) Tick() Outbox {
	l.init()
	for id, loan := range l.held {
		loan.age++
		l.held[id] = loan
	}
	var out Outbox
	for _, k := range l.sortedKeys() {
		a := l.accounts[k]
		a.ticketAge++
		if a.ticketAge > maxTicketAge {
			a.ticket = 0
		}
		out.add(l.returnIdle(a, maxIdleAge))
	}
	out.add(l.progress())
	out.add(l.serveAll())
	return out
}
