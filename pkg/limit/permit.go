package limit

import "fmt"

// Permit allows one request to one life of a backend server. The request is
// sent only over a connection on which the backend server told the same boot
// ID.
type Permit struct {
	Backend string
	Boot    string
	Number  int64
	Tokens  int
}

// Refusal says that a permit is not to be had at once.
type Refusal struct {
	Backend string
	Missing Amount   // what a loan has to bring; zero when no loan helps
	Lenders []Member // whom to ask, best first
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("backend server %q has no share left: %d requests and %d tokens are missing",
		r.Backend, r.Missing.Requests, r.Missing.Tokens)
}

// Acquire takes a permit for a request of so many estimated tokens. A refusal
// is a *Refusal; the member's own request then has a place among the waiting
// until the next Acquire, or Abandon.
func (l *Ledger) Acquire(backend string, tokens int) (Permit, error) {
	if permit, ok := l.TryAcquire(backend, tokens); ok {
		return permit, nil
	}
	a := l.account(key{backend, l.current[backend]})
	need := Amount{Requests: 1, Tokens: tokens}
	return Permit{}, l.refuse(a, need, l.missing(a, need))
}

// TryAcquire is like Acquire for a request that does not wait when it is refused:
// it neither takes nor gives up a place among the waiting.
func (l *Ledger) TryAcquire(backend string, tokens int) (Permit, bool) {
	a := l.account(key{backend, l.current[backend]})
	need := Amount{Requests: 1, Tokens: tokens}
	if !l.missing(a, need).IsZero() || a.othersFirst() {
		return Permit{}, false
	}
	a.ticket = 0
	a.inFlight = a.inFlight.Plus(need)
	l.tickets++
	a.permits[l.tickets] = tokens
	return Permit{Backend: backend, Boot: a.boot, Number: l.tickets, Tokens: tokens}, true
}

// othersFirst reports whether another member waits for a loan for longer than
// the member's own requests.
func (a *account) othersFirst() bool {
	return len(a.waiting) > 0 && (a.ticket == 0 || a.ticket > a.waiting[0].ticket)
}

// Available returns what this member may send to the backend server without a new
// loan.
func (l *Ledger) Available(backend string) Amount {
	a := l.account(key{backend, l.current[backend]})
	return a.share.Plus(l.usableLoans(a)).Minus(a.inFlight).Minus(l.countedLent(a)).Positive()
}

// Capacity returns what the backend server bears by this member's reading: the
// limit, or the level while it is cold.
func (l *Ledger) Capacity(backend string) Amount {
	return Amount{Requests: l.Level(backend), Tokens: l.newest().limits.Backends[backend].Tokens}
}

// Share returns this member's own part of what the backend server bears now.
func (l *Ledger) Share(backend string) Amount {
	return l.account(key{backend, l.current[backend]}).share
}

// missing returns by how much the need exceeds what is left.
func (l *Ledger) missing(a *account, need Amount) Amount {
	left := a.share.Plus(l.usableLoans(a)).Minus(a.inFlight).Minus(l.countedLent(a))
	missing := need.Minus(left).Positive()
	if need.Tokens == 0 {
		missing.Tokens = 0
	}
	return missing
}

// usableLoans sums the loans of the present cold epoch; older ones only run out.
func (l *Ledger) usableLoans(a *account) Amount {
	var sum Amount
	for _, loan := range l.loansFor(a, l.own) {
		if loan.coldEpoch == a.level.coldEpoch {
			sum = sum.Plus(loan.amount)
		}
	}
	return sum
}

func (l *Ledger) refuse(a *account, need, missing Amount) *Refusal {
	if a.ticket == 0 {
		l.tickets++
		a.ticket = l.tickets
		a.ticketAge = 0
	}
	limit := l.newest().limits.Backends[a.backend]
	if need.Tokens > limit.Tokens || missing.IsZero() {
		return &Refusal{Backend: a.backend}
	}
	return &Refusal{Backend: a.backend, Missing: missing, Lenders: l.lenders(a, limit)}
}

// maxLenders bounds the lenders that a refusal names.
const maxLenders = 8

// lenders returns other members that have a share. Each refusal starts at the
// next one, so that borrowers do not all ask the same lender first.
func (l *Ledger) lenders(a *account, limit Limit) []Member {
	table := l.newest().table
	order := table.Order(a.backend)
	l.rotation++
	start := l.rotation
	var lenders []Member
	for i := range order {
		at := (start + i) % len(order)
		m := order[at]
		hasShare := share(min(limit.InFlight, a.bears(limit)), table.block(), len(order), at) > 0
		if hasShare && m != l.Self && !l.gone[m] && len(lenders) < maxLenders {
			lenders = append(lenders, m)
		}
	}
	return lenders
}

// LeaveQueue gives up the place of the member's own requests among the waiting.
func (l *Ledger) LeaveQueue(backend string) Outbox {
	a := l.account(key{backend, l.current[backend]})
	a.ticket = 0
	return l.serveWaiting(a)
}

// Release ends a permit. Completed says that the backend server answered whole,
// which lets a cold one bear more. A second release has no effect.
func (l *Ledger) Release(p Permit, completed bool) Outbox {
	a := l.account(key{p.Backend, p.Boot})
	tokens, ok := a.permits[p.Number]
	if !ok {
		return Outbox{}
	}
	delete(a.permits, p.Number)
	a.inFlight = a.inFlight.Minus(Amount{Requests: 1, Tokens: tokens})
	if completed {
		l.complete(a)
	}
	out := l.returnIdle(a, 0)
	out.add(l.progress())
	out.add(l.serveWaiting(a))
	return out
}
