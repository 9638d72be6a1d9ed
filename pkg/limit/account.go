package limit

import "cmp"

// account holds this member's share and use of one boot of a backend server.
type account struct {
	bootKey
	share     Amount
	inFlight  Amount
	lent      Amount
	borrowed  Amount
	permits   map[int64]int // permit number to tokens
	ticket    int64         // queue position of this member's own requests; 0 when none waits
	ticketAge int           // ticks since the ticket was drawn
	waiting   []waitingRequest
	level     level
}

// waitingRequest is a loan request that waits at the lender.
type waitingRequest struct {
	request LoanRequest
	ticket  int64
}

func (a *account) isIdle() bool {
	return a.inFlight.IsZero() && a.lent.IsZero() && a.borrowed.IsZero() && len(a.waiting) == 0
}

func compare(a, b string) int { return cmp.Compare(a, b) }

// account returns the account of one boot of a backend server and creates it if
// needed.
func (l *Ledger) account(k bootKey) *account {
	l.init()
	a, ok := l.accounts[k]
	if ok {
		return a
	}
	a = &account{bootKey: k, permits: make(map[int64]int)}
	if !l.enabled(guardColdBoot) {
		a.level.warm = true
	}
	l.accounts[k] = a
	a.share = l.shareOf(a)
	return a
}

// Observe records the boot ID that a backend server stated on a new connection. Later
// permits are for this boot.
func (l *Ledger) Observe(backend, boot string) {
	l.init()
	l.currentBoot[backend] = boot
	l.account(bootKey{backend, boot})
	for k, a := range l.accounts {
		if k.backend == backend && k.boot != boot && a.isIdle() {
			delete(l.accounts, k)
		}
	}
}

// Boot returns the boot ID that permits for the backend server are for.
func (l *Ledger) Boot(backend string) string { return l.currentBoot[backend] }
