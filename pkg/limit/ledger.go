package limit

import (
	"maps"
	"slices"
)

// Ledger records what one member may send to each backend server. The zero value with
// Self set is ready to use. It is not safe for concurrent use.
type Ledger struct {
	Self Member

	plansInForce  []plan               // newest last; the first is empty in a member that has just started
	awaited       map[Member]bool      // members that must settle before old plans are dropped
	settled       map[Member][]Version // versions that other members have settled into, none older than ownSettled
	gone          map[Member]bool
	ownSettled    Version           // newest version that this member has settled into
	seq           int64             // of the last statement or loan request
	ownSettledSeq int64             // sequence number of the last change of ownSettled
	lastTicket    int64             // newest number of a queue position or permit
	lenderOffset  int               // where the next refusal starts its list of lenders
	currentBoot   map[string]string // boot ID of each backend server
	accounts      map[bootKey]*account
	held          map[LoanID]loan // loans from other members
	pending       map[LoanID]loan // loan requests without a final reply
	lent          map[LoanID]loan // loans to other members
	peers         map[Member]*peer
	disabled      guard
}

// plan is a table with the limits that it splits.
type plan struct {
	table  Table
	limits Limits
}

func (p plan) version() Version {
	return Version{Epoch: p.table.Epoch, Limits: p.limits.Version}
}

// bootKey identifies one boot of a backend server.
type bootKey struct {
	backend string
	boot    string
}

type loan struct {
	bootKey
	lender    Member
	amount    Amount
	seq       int64 // number of the loan request
	coldEpoch int64
	age       int // ticks since the loan was granted
}

// peer is what a ledger knows about the messages exchanged with another member.
type peer struct {
	receivedSeq int64 // sequence number of the newest statement from it
	ackedSeq    int64 // newest statement of this ledger that it has acknowledged
	returnedSeq int64 // sequence number of the last return to it
	wantsAck    bool  // its last statement contained something new
}

// guard is a set of safety rules, which tests can disable.
type guard uint

const (
	guardSmallestShare guard = 1 << iota // use the smallest share of all plans in force
	guardAwaitSettled                    // keep old plans in force until the members of their tables have settled
	guardCountLent                       // subtract what is lent from the share
	guardSequence                        // ignore statements that arrive after a newer one
	guardColdBoot                        // start a new boot at the cold level
	guardSettledLender                   // use only loans whose lender has settled
	guardExactVersion                    // count a member as settled only in the exact version
	guardCancelled                       // refuse a loan whose request was cancelled
)

func (l *Ledger) enabled(g guard) bool { return l.disabled&g == 0 }

func (l *Ledger) init() {
	if l.accounts != nil {
		return
	}
	l.awaited = make(map[Member]bool)
	l.settled = make(map[Member][]Version)
	l.gone = make(map[Member]bool)
	l.currentBoot = make(map[string]string)
	l.accounts = make(map[bootKey]*account)
	l.held = make(map[LoanID]loan)
	l.pending = make(map[LoanID]loan)
	l.lent = make(map[LoanID]loan)
	l.peers = make(map[Member]*peer)
}

func (l *Ledger) sortedAccountKeys() []bootKey { return sortedKeys(l.accounts) }

func sortedKeys(accounts map[bootKey]*account) []bootKey {
	return slices.SortedFunc(maps.Keys(accounts), func(a, b bootKey) int {
		if a.backend != b.backend {
			return compare(a.backend, b.backend)
		}
		return compare(a.boot, b.boot)
	})
}
