package limit

import "fmt"

// Permit allows one request to one boot of a backend server. The request may be sent
// only over a connection on which the backend server stated the same boot ID.
type Permit struct {
	Backend string
	Boot    string
	Number  int64
	Tokens  int
}

// Refusal is the error of a request that gets no permit now.
type Refusal struct {
	Backend string
	Missing Amount   // what a loan must provide; zero when no loan helps
	Lenders []Member // members to ask for a loan, in this order
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("backend server %q has no share left: %d requests and %d tokens are missing",
		r.Backend, r.Missing.Requests, r.Missing.Tokens)
}

// Acquire takes a permit for a request with an estimated number of tokens. If it is
// refused, the error is a *Refusal, and this member's own requests keep a position in
// the queue of loan requests until a later Acquire succeeds, the position expires, or
// the caller gives it up.
func (l *Ledger) Acquire(backend string, tokens int) (Permit, error) {
	if permit, ok := l.TryAcquire(backend, tokens); ok {
		return permit, nil
	}
	a := l.account(bootKey{backend, l.currentBoot[backend]})
	need := Amount{Requests: 1, Tokens: tokens}
	return Permit{}, l.refusal(a, need, l.missing(a, need))
}

// TryAcquire is like Acquire for a request that does not wait when it is refused: a
// refusal does not change this member's position in the queue.
func (l *Ledger) TryAcquire(backend string, tokens int) (Permit, bool) {
	a := l.account(bootKey{backend, l.currentBoot[backend]})
	need := Amount{Requests: 1, Tokens: tokens}
	if !l.missing(a, need).IsZero() || a.peerWaitsLonger() {
		return Permit{}, false
	}
	a.ticket = 0
	a.inFlight = a.inFlight.Plus(need)
	l.lastTicket++
	a.permits[l.lastTicket] = tokens
	return Permit{Backend: backend, Boot: a.boot, Number: l.lastTicket, Tokens: tokens}, true
}

// peerWaitsLonger reports whether a loan request of another member was queued before
// this member's own requests.
func (a *account) peerWaitsLonger() bool {
	return len(a.waiting) > 0 && (a.ticket == 0 || a.ticket > a.waiting[0].ticket)
}

// Available returns what this member may send to the backend server without another loan.
func (l *Ledger) Available(backend string) Amount {
	a := l.account(bootKey{backend, l.currentBoot[backend]})
	return a.share.Plus(l.usableLoans(a)).Minus(a.inFlight).Minus(l.countedLent(a)).Positive()
}

// Capacity returns what the backend server can take from all members together, as known
// to this member: the limit, with the level in place of the requests while it is cold.
func (l *Ledger) Capacity(backend string) Amount {
	return Amount{Requests: l.Level(backend), Tokens: l.newest().limits.Backends[backend].Tokens}
}

// Share returns this member's part of what the backend server can take now, without
// loans.
func (l *Ledger) Share(backend string) Amount {
	return l.account(bootKey{backend, l.currentBoot[backend]}).share
}

// missing returns by how much the need exceeds what this member may send now.
func (l *Ledger) missing(a *account, need Amount) Amount {
	available := a.share.Plus(l.usableLoans(a)).Minus(a.inFlight).Minus(l.countedLent(a))
	missing := need.Minus(available).Positive()
	if need.Tokens == 0 {
		missing.Tokens = 0
	}
	return missing
}

// usableLoans returns the sum of the loans of the current cold epoch. Loans of older
// epochs cover only requests already in flight.
func (l *Ledger) usableLoans(a *account) Amount {
	var sum Amount
	for _, loan := range l.settledLoans(a, l.ownSettled) {
		if loan.coldEpoch == a.level.coldEpoch {
			sum = sum.Plus(loan.amount)
		}
	}
	return sum
}

func (l *Ledger) refusal(a *account, need, missing Amount) *Refusal {
	if a.ticket == 0 {
		l.lastTicket++
		a.ticket = l.lastTicket
		a.ticketAge = 0
	}
	limit := l.newest().limits.Backends[a.backend]
	if need.Tokens > limit.Tokens || missing.IsZero() {
		return &Refusal{Backend: a.backend}
	}
	return &Refusal{Backend: a.backend, Missing: missing, Lenders: l.lenders(a, limit)}
}

// maxLenders bounds the number of lenders in a refusal.
const maxLenders = 8

// lenders returns other members that have a share. Each refusal starts at the next
// member, so that borrowers do not all ask the same lender first.
func (l *Ledger) lenders(a *account, limit Limit) []Member {
	table := l.newest().table
	order := table.Order(a.backend)
	l.lenderOffset++
	start := l.lenderOffset
	var lenders []Member
	for i := range order {
		rank := (start + i) % len(order)
		m := order[rank]
		hasShare := share(min(limit.InFlight, a.capacity(limit)), table.block(), len(order), rank) > 0
		if hasShare && m != l.Self && !l.gone[m] && len(lenders) < maxLenders {
			lenders = append(lenders, m)
		}
	}
	return lenders
}

// LeaveQueue removes this member's own requests from the queue.
func (l *Ledger) LeaveQueue(backend string) Outbox {
	a := l.account(bootKey{backend, l.currentBoot[backend]})
	a.ticket = 0
	return l.serveWaiting(a)
}

// Release ends a permit. The completed argument states whether the backend server sent
// its whole response, which can raise the level of a cold one. A second release has no
// effect.
func (l *Ledger) Release(p Permit, completed bool) Outbox {
	a := l.account(bootKey{p.Backend, p.Boot})
	tokens, ok := a.permits[p.Number]
	if !ok {
		return Outbox{}
	}
	delete(a.permits, p.Number)
	a.inFlight = a.inFlight.Minus(Amount{Requests: 1, Tokens: tokens})
	if completed {
		l.recordCompletion(a)
	}
	out := l.returnIdle(a, 0)
	out.add(l.dropOldPlans())
	out.add(l.serveWaiting(a))
	return out
}
