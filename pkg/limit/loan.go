package limit

import "slices"

// Borrow makes a request for a loan from the lender. The caller calls CancelLoan
// when no final reply comes in time: until then the lender keeps what it may
// have lent.
func (l *Ledger) Borrow(backend string, lender Member, amount Amount, wait bool) LoanRequest {
	a := l.account(key{backend, l.current[backend]})
	l.seq++
	id := LoanID{Borrower: l.Self, Number: l.seq}
	l.pending[id] = loan{key: a.key, lender: lender, seq: l.seq, coldEpoch: a.level.coldEpoch}
	return LoanRequest{ID: id, Lender: lender, Backend: backend, Boot: a.boot, Amount: amount, Wait: wait}
}

// Accept takes a lender's reply and reports whether the loan can be used. A
// reply to a request that was given up is refused; the returned message then
// tells the lender at once.
func (l *Ledger) Accept(r LoanReply) (bool, Outbox) {
	l.init()
	if _, ok := l.held[r.ID]; ok {
		return true, Outbox{}
	}
	loan, ok := l.pending[r.ID]
	l.noteSettled(r.Lender, r.Settled)
	covers := slices.Contains(l.settled[r.Lender], l.own) || !l.on(guardCover)
	if !ok && l.on(guardAbandoned) || !covers && !r.Granted.IsZero() {
		delete(l.pending, r.ID)
		l.peer(r.Lender).returned = l.seq + 1
		return false, Outbox{Returns: []Return{{Lender: r.Lender, Loans: []LoanID{r.ID}}}}
	}
	if r.Waiting {
		return false, Outbox{}
	}
	delete(l.pending, r.ID)
	if r.Granted.IsZero() {
		return false, Outbox{}
	}
	if !ok {
		loan = l.forgotten(r)
	}
	loan.amount = r.Granted
	l.held[r.ID] = loan
	a := l.account(loan.key)
	a.borrowed = a.borrowed.Plus(loan.amount)
	return true, Outbox{}
}

// forgotten stands in for a request that was given up, when that guard is off.
func (l *Ledger) forgotten(r LoanReply) loan {
	for k := range l.accounts {
		return loan{key: k, lender: r.Lender, seq: r.ID.Number}
	}
	return loan{}
}

// CancelLoan ends the wait for a reply, and returns the loan if it came but is not
// in use.
func (l *Ledger) CancelLoan(id LoanID) Outbox {
	l.init()
	if loan, ok := l.pending[id]; ok {
		delete(l.pending, id)
		l.peer(loan.lender).returned = l.seq + 1
		return Outbox{Returns: []Return{{Lender: loan.lender, Loans: []LoanID{id}}}}
	}
	loan, ok := l.held[id]
	if !ok {
		return Outbox{}
	}
	return l.returnIdle(l.account(loan.key), 0)
}

// loansFor returns the account's loans of lenders that have settled into the
// version.
func (l *Ledger) loansFor(a *account, v Version) []loan {
	if a.borrowed.IsZero() {
		return nil
	}
	var loans []loan
	for _, loan := range l.held {
		covers := slices.Contains(l.settled[loan.lender], v) || !l.on(guardCover)
		if loan.key == a.key && covers {
			loans = append(loans, loan)
		}
	}
	return loans
}

// covered sums the loans of lenders that have settled into the version.
func (l *Ledger) covered(a *account, v Version) Amount {
	var sum Amount
	for _, loan := range l.loansFor(a, v) {
		sum = sum.Plus(loan.amount)
	}
	return sum
}

// ownUse returns what is in flight beyond the loans.
func (l *Ledger) ownUse(a *account) Amount {
	return a.inFlight.Minus(l.covered(a, l.own)).Positive()
}

func (l *Ledger) countedLent(a *account) Amount {
	if !l.on(guardLent) {
		return Amount{}
	}
	return a.lent
}

// lendable returns the part of the share that is neither used nor lent.
func (l *Ledger) lendable(a *account) Amount {
	return a.share.Minus(l.ownUse(a)).Minus(l.countedLent(a)).Positive()
}

// returnIdle returns the loans, of at least the age, that the requests in flight
// do not need.
func (l *Ledger) returnIdle(a *account, minAge int) Outbox {
	var out Outbox
	for _, id := range l.heldFor(a) {
		loan := l.held[id]
		if loan.age < minAge || l.needs(a, id) {
			continue
		}
		a.borrowed = a.borrowed.Minus(loan.amount)
		delete(l.held, id)
		l.peer(loan.lender).returned = l.seq + 1
		out.Returns = append(out.Returns, Return{Lender: loan.lender, Loans: []LoanID{id}})
	}
	return out
}

// needs reports whether the requests in flight exceed the share without the
// loan.
func (l *Ledger) needs(a *account, id LoanID) bool {
	loan := l.held[id]
	if !slices.Contains(l.settled[loan.lender], l.own) && l.on(guardCover) {
		return false // it covers nothing
	}
	before := l.covered(a, l.own)
	without := a.inFlight.Minus(before.Minus(loan.amount)).Positive()
	grows := without != a.inFlight.Minus(before).Positive()
	return grows && !without.Plus(a.lent).FitsIn(a.share)
}

func (l *Ledger) heldFor(a *account) []LoanID {
	if a.borrowed.IsZero() {
		return nil
	}
	var ids []LoanID
	for id, loan := range l.held {
		if loan.key == a.key {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y LoanID) int { return int(x.Number - y.Number) })
	return ids
}

// Lend answers a request for a loan.
func (l *Ledger) Lend(r LoanRequest) LoanReply {
	l.init()
	reply := LoanReply{ID: r.ID, Lender: l.Self, Settled: l.own}
	if loan, ok := l.lent[r.ID]; ok {
		reply.Granted = loan.amount
		return reply
	}
	overtaken := r.ID.Number < l.peer(r.ID.Borrower).seq
	known := l.current[r.Backend] == r.Boot
	if r.Lender != l.Self || l.gone[r.ID.Borrower] || overtaken || !known {
		return reply
	}
	a := l.account(key{r.Backend, r.Boot})
	queued := slices.ContainsFunc(a.waiting, func(w waiter) bool { return w.request.ID == r.ID })
	if !queued && a.ticket == 0 && len(a.waiting) == 0 {
		reply.Granted = l.lendTo(a, r, r.Amount.Min(l.lendable(a)))
	}
	if !reply.Granted.IsZero() || !r.Wait || !r.Amount.FitsIn(a.share) {
		return reply
	}
	reply.Waiting = true
	if !queued {
		l.tickets++
		a.waiting = append(a.waiting, waiter{request: r, ticket: l.tickets})
	}
	return reply
}

func (l *Ledger) lendTo(a *account, r LoanRequest, granted Amount) Amount {
	if granted.IsZero() || granted.Requests < r.Amount.Requests {
		return Amount{}
	}
	l.lent[r.ID] = loan{key: a.key, lender: l.Self, amount: granted, seq: r.ID.Number}
	a.lent = a.lent.Plus(granted)
	return granted
}

// serveWaiting grants what has become free in the order of arrival. It stops at
// the place of the member's own requests, and refuses what the share no longer
// holds.
func (l *Ledger) serveWaiting(a *account) Outbox {
	var out Outbox
	for len(a.waiting) > 0 {
		first := a.waiting[0]
		if a.ticket != 0 && a.ticket < first.ticket {
			break
		}
		r := first.request
		never := !r.Amount.FitsIn(a.share)
		if !never && !r.Amount.FitsIn(l.lendable(a)) {
			break
		}
		a.waiting = a.waiting[1:]
		var granted Amount
		if !never {
			granted = l.lendTo(a, r, r.Amount)
		}
		out.Replies = append(out.Replies, LoanReply{ID: r.ID, Lender: l.Self, Granted: granted, Settled: l.own})
	}
	return out
}

// endLent takes a loan back and returns its account, or nil.
func (l *Ledger) endLent(id LoanID) *account {
	loan, ok := l.lent[id]
	if !ok {
		return nil
	}
	delete(l.lent, id)
	a := l.account(loan.key)
	a.lent = a.lent.Minus(loan.amount)
	return a
}

// TakeBack takes back loans that the borrower has returned.
func (l *Ledger) TakeBack(r Return) Outbox {
	l.init()
	touched := make(map[key]*account)
	for _, id := range r.Loans {
		if a := l.endLent(id); a != nil {
			touched[a.key] = a
		}
		l.unqueue(id)
	}
	return l.moveOn(touched)
}

// moveOn serves the accounts in which something became free.
func (l *Ledger) moveOn(touched map[key]*account) Outbox {
	out := l.progress()
	for _, k := range sortedKeys(touched) {
		out.add(l.serveWaiting(touched[k]))
	}
	return out
}

func (l *Ledger) unqueue(id LoanID) {
	for _, a := range l.accounts {
		a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool { return w.request.ID == id })
	}
}

// AwaitsReply reports whether the request for a loan has no final reply yet.
func (l *Ledger) AwaitsReply(id LoanID) bool {
	_, ok := l.pending[id]
	return ok
}
