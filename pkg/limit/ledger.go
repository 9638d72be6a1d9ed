package limit

import (
	"maps"
	"slices"
)

// Ledger is one member's book of what it may send to each backend server. The
// zero value with Self set is ready to use. It is not safe for concurrent use.
type Ledger struct {
	Self Member

	binding  []plan // plans that bind, newest last; the first is empty for a newcomer
	awaited  map[Member]bool
	settled  map[Member][]Version // since the version that this member settled into
	gone     map[Member]bool
	own      Version // newest version that this member settled into
	seq      int64
	changed  int64 // sequence number of the last change of what this member settled into
	tickets  int64
	rotation int
	current  map[string]string // backend server to boot ID
	accounts map[key]*account
	held     map[LoanID]loan // loans from others
	pending  map[LoanID]loan // requests without a final reply
	lent     map[LoanID]loan // loans to others
	peers    map[Member]*peer
	disabled guard
}

// plan is a table with the limits that it splits.
type plan struct {
	table  Table
	limits Limits
}

func (p plan) version() Version {
	return Version{Epoch: p.table.Epoch, Limits: p.limits.Version}
}

// key names one life of a backend server.
type key struct {
	backend string
	boot    string
}

type loan struct {
	key
	lender    Member
	amount    Amount
	seq       int64 // number of the request
	coldEpoch int64
	age       int // ticks since the loan came
}

// peer is what a ledger knows of another member.
type peer struct {
	seq      int64 // newest statement from it
	acked    int64 // newest statement that it has from this ledger
	returned int64 // sequence number of the last return to it
	wantsAck bool  // its last statement told something new
}

// guard is a set of safety rules that tests switch off.
type guard uint

const (
	guardMinimum   guard = 1 << iota // keep to the smallest share that binds
	guardSettle                      // wait for the members of old tables
	guardLent                        // count what is lent
	guardSequence                    // ignore statements that were overtaken
	guardCold                        // start a new boot ID at the cold level
	guardCover                       // use loans only of lenders that have settled
	guardExact                       // count a settled member for the exact version only
	guardAbandoned                   // refuse a loan that was given up
)

func (l *Ledger) on(g guard) bool { return l.disabled&g == 0 }

func (l *Ledger) init() {
	if l.accounts != nil {
		return
	}
	l.awaited = make(map[Member]bool)
	l.settled = make(map[Member][]Version)
	l.gone = make(map[Member]bool)
	l.current = make(map[string]string)
	l.accounts = make(map[key]*account)
	l.held = make(map[LoanID]loan)
	l.pending = make(map[LoanID]loan)
	l.lent = make(map[LoanID]loan)
	l.peers = make(map[Member]*peer)
}

func (l *Ledger) sortedKeys() []key { return sortedKeys(l.accounts) }

func sortedKeys(accounts map[key]*account) []key {
	return slices.SortedFunc(maps.Keys(accounts), func(a, b key) int {
		if a.backend != b.backend {
			return compare(a.backend, b.backend)
		}
		return compare(a.boot, b.boot)
	})
}
