package limit

import "slices"

// Borrow returns a request for a loan from the lender. The caller calls CancelLoan when no
// final reply arrives in time, since until then the lender reserves what it may have
// lent.
func (l *Ledger) Borrow(backend string, lender Member, amount Amount, wait bool) LoanRequest {
	a := l.account(bootKey{backend, l.currentBoot[backend]})
	l.seq++
	id := LoanID{Borrower: l.Self, Number: l.seq}
	l.pending[id] = loan{bootKey: a.bootKey, lender: lender, seq: l.seq, coldEpoch: a.level.coldEpoch}
	return LoanRequest{ID: id, Lender: lender, Backend: backend, Boot: a.boot, Amount: amount, Wait: wait}
}

// Accept processes a lender's reply and reports whether the loan can be used. A loan
// whose request was cancelled is refused; the returned message informs the lender at
// once.
func (l *Ledger) Accept(r LoanReply) (bool, Outbox) {
	l.init()
	if _, ok := l.held[r.ID]; ok {
		return true, Outbox{}
	}
	loan, ok := l.pending[r.ID]
	l.recordSettled(r.Lender, r.Settled)
	lenderSettled := slices.Contains(l.settled[r.Lender], l.ownSettled) || !l.enabled(guardSettledLender)
	if !ok && l.enabled(guardCancelled) || !lenderSettled && !r.Granted.IsZero() {
		delete(l.pending, r.ID)
		l.peer(r.Lender).returnedSeq = l.seq + 1
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
		loan = l.assumedLoan(r)
	}
	loan.amount = r.Granted
	l.held[r.ID] = loan
	a := l.account(loan.bootKey)
	a.borrowed = a.borrowed.Plus(loan.amount)
	return true, Outbox{}
}

// assumedLoan returns a loan for a request that was cancelled. It is used only when
// tests disable guardCancelled.
func (l *Ledger) assumedLoan(r LoanReply) loan {
	for k := range l.accounts {
		return loan{bootKey: k, lender: r.Lender, seq: r.ID.Number}
	}
	return loan{}
}

// CancelLoan cancels a loan request. If the loan was already granted, it is returned
// unless it is in use.
func (l *Ledger) CancelLoan(id LoanID) Outbox {
	l.init()
	if loan, ok := l.pending[id]; ok {
		delete(l.pending, id)
		l.peer(loan.lender).returnedSeq = l.seq + 1
		return Outbox{Returns: []Return{{Lender: loan.lender, Loans: []LoanID{id}}}}
	}
	loan, ok := l.held[id]
	if !ok {
		return Outbox{}
	}
	return l.returnIdle(l.account(loan.bootKey), 0)
}

// settledLoans returns the account's loans whose lenders have settled into the
// version.
func (l *Ledger) settledLoans(a *account, v Version) []loan {
	if a.borrowed.IsZero() {
		return nil
	}
	var loans []loan
	for _, loan := range l.held {
		lenderSettled := slices.Contains(l.settled[loan.lender], v) || !l.enabled(guardSettledLender)
		if loan.bootKey == a.bootKey && lenderSettled {
			loans = append(loans, loan)
		}
	}
	return loans
}

// coveredByLoans returns the sum of the loans whose lenders have settled into the
// version.
func (l *Ledger) coveredByLoans(a *account, v Version) Amount {
	var sum Amount
	for _, loan := range l.settledLoans(a, v) {
		sum = sum.Plus(loan.amount)
	}
	return sum
}

// useBeyondLoans returns the part of the work in flight that loans don't cover.
func (l *Ledger) useBeyondLoans(a *account) Amount {
	return a.inFlight.Minus(l.coveredByLoans(a, l.ownSettled)).Positive()
}

func (l *Ledger) countedLent(a *account) Amount {
	if !l.enabled(guardCountLent) {
		return Amount{}
	}
	return a.lent
}

// lendable returns the part of the share that is neither used nor lent.
func (l *Ledger) lendable(a *account) Amount {
	return a.share.Minus(l.useBeyondLoans(a)).Minus(l.countedLent(a)).Positive()
}

// returnIdle returns the loans of at least minAge that the requests in flight do not
// need.
func (l *Ledger) returnIdle(a *account, minAge int) Outbox {
	var out Outbox
	for _, id := range l.heldLoanIDs(a) {
		loan := l.held[id]
		if loan.age < minAge || l.needsLoan(a, id) {
			continue
		}
		a.borrowed = a.borrowed.Minus(loan.amount)
		delete(l.held, id)
		l.peer(loan.lender).returnedSeq = l.seq + 1
		out.Returns = append(out.Returns, Return{Lender: loan.lender, Loans: []LoanID{id}})
	}
	return out
}

// needsLoan reports whether the requests in flight would exceed the share without the
// loan.
func (l *Ledger) needsLoan(a *account, id LoanID) bool {
	loan := l.held[id]
	if !slices.Contains(l.settled[loan.lender], l.ownSettled) && l.enabled(guardSettledLender) {
		return false // a loan of a lender that has not settled is not counted
	}
	covered := l.coveredByLoans(a, l.ownSettled)
	without := a.inFlight.Minus(covered.Minus(loan.amount)).Positive()
	increases := without != a.inFlight.Minus(covered).Positive()
	return increases && !without.Plus(a.lent).FitsIn(a.share)
}

func (l *Ledger) heldLoanIDs(a *account) []LoanID {
	if a.borrowed.IsZero() {
		return nil
	}
	var ids []LoanID
	for id, loan := range l.held {
		if loan.bootKey == a.bootKey {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y LoanID) int { return int(x.Number - y.Number) })
	return ids
}

// Lend replies to a loan request.
func (l *Ledger) Lend(r LoanRequest) LoanReply {
	l.init()
	reply := LoanReply{ID: r.ID, Lender: l.Self, Settled: l.ownSettled}
	if loan, ok := l.lent[r.ID]; ok {
		reply.Granted = loan.amount
		return reply
	}
	overtaken := r.ID.Number < l.peer(r.ID.Borrower).receivedSeq
	known := l.currentBoot[r.Backend] == r.Boot
	if r.Lender != l.Self || l.gone[r.ID.Borrower] || overtaken || !known {
		return reply
	}
	a := l.account(bootKey{r.Backend, r.Boot})
	queued := slices.ContainsFunc(a.waiting, func(w waitingRequest) bool { return w.request.ID == r.ID })
	if !queued && a.ticket == 0 && len(a.waiting) == 0 {
		reply.Granted = l.lendTo(a, r, r.Amount.Min(l.lendable(a)))
	}
	if !reply.Granted.IsZero() || !r.Wait || !r.Amount.FitsIn(a.share) {
		return reply
	}
	reply.Waiting = true
	if !queued {
		l.lastTicket++
		a.waiting = append(a.waiting, waitingRequest{request: r, ticket: l.lastTicket})
	}
	return reply
}

func (l *Ledger) lendTo(a *account, r LoanRequest, granted Amount) Amount {
	if granted.IsZero() || granted.Requests < r.Amount.Requests {
		return Amount{}
	}
	l.lent[r.ID] = loan{bootKey: a.bootKey, lender: l.Self, amount: granted, seq: r.ID.Number}
	a.lent = a.lent.Plus(granted)
	return granted
}

// serveWaiting grants waiting loan requests in the order of their arrival. It stops at
// the position of this member's own requests, and refuses requests that exceed the
// whole share.
func (l *Ledger) serveWaiting(a *account) Outbox {
	var out Outbox
	for len(a.waiting) > 0 {
		first := a.waiting[0]
		if a.ticket != 0 && a.ticket < first.ticket {
			break
		}
		r := first.request
		tooLarge := !r.Amount.FitsIn(a.share)
		if !tooLarge && !r.Amount.FitsIn(l.lendable(a)) {
			break
		}
		a.waiting = a.waiting[1:]
		var granted Amount
		if !tooLarge {
			granted = l.lendTo(a, r, r.Amount)
		}
		out.Replies = append(out.Replies, LoanReply{ID: r.ID, Lender: l.Self, Granted: granted, Settled: l.ownSettled})
	}
	return out
}

// reclaimLoan ends a loan to another member and returns its account, or nil if there
// is no such loan.
func (l *Ledger) reclaimLoan(id LoanID) *account {
	loan, ok := l.lent[id]
	if !ok {
		return nil
	}
	delete(l.lent, id)
	a := l.account(loan.bootKey)
	a.lent = a.lent.Minus(loan.amount)
	return a
}

// TakeBack takes back loans that the borrower has returned.
func (l *Ledger) TakeBack(r Return) Outbox {
	l.init()
	touched := make(map[bootKey]*account)
	for _, id := range r.Loans {
		if a := l.reclaimLoan(id); a != nil {
			touched[a.bootKey] = a
		}
		l.removeWaiting(id)
	}
	return l.serveAccounts(touched)
}

// serveAccounts serves the loan requests that wait at the accounts.
func (l *Ledger) serveAccounts(touched map[bootKey]*account) Outbox {
	out := l.dropOldPlans()
	for _, k := range sortedKeys(touched) {
		out.add(l.serveWaiting(touched[k]))
	}
	return out
}

func (l *Ledger) removeWaiting(id LoanID) {
	for _, a := range l.accounts {
		a.waiting = slices.DeleteFunc(a.waiting, func(w waitingRequest) bool { return w.request.ID == id })
	}
}

// AwaitsReply reports whether the loan request has no final reply yet.
func (l *Ledger) AwaitsReply(id LoanID) bool {
	_, ok := l.pending[id]
	return ok
}
