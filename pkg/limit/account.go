package limit

import "cmp"

// account is the book of one life of a backend server.
type account struct {
	key
	share     Amount
	inFlight  Amount
	lent      Amount
	borrowed  Amount
	permits   map[int64]int // permit number to tokens
	ticket    int64         // place of the member's own requests among the waiting; 0 for none
	ticketAge int           // statements since the ticket was drawn
	waiting   []waiter
	level     level
}

// waiter is a loan request that waits at the lender.
type waiter struct {
	request LoanRequest
	ticket  int64
}

func (a *account) idle() bool {
	return a.inFlight.IsZero() && a.lent.IsZero() && a.borrowed.IsZero() && len(a.waiting) == 0
}

func compare(a, b string) int { return cmp.Compare(a, b) }

// account returns the book of one life of a backend server.
func (l *Ledger) account(k key) *account {
	l.init()
	a, ok := l.accounts[k]
	if ok {
		return a
	}
	a = &account{key: k, permits: make(map[int64]int)}
	if !l.on(guardCold) {
		a.level.warm = true
	}
	l.accounts[k] = a
	a.share = l.shareOf(a)
	return a
}

// Observe notes the boot ID that a backend server told on a new connection. It
// is the one that later permits are for.
func (l *Ledger) Observe(backend, boot string) {
	l.init()
	l.current[backend] = boot
	l.account(key{backend, boot})
	for k, a := range l.accounts {
		if k.backend == backend && k.boot != boot && a.idle() {
			delete(l.accounts, k)
		}
	}
}

// Boot returns the boot ID that permits for the backend server are for.
func (l *Ledger) Boot(backend string) string { return l.current[backend] }
