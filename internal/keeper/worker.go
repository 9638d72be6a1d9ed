package keeper

import (
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// Source tells where a worker's group is known from.
type Source int

// The sources.
const (
	Entry   Source = iota // its entry in the platform's list
	Report                // its answer to a question
	Answer                // its answer to an order
	GivenUp               // nothing: it is silent, and counts as being in no group
)

// worker is what the keeper knows of a worker, from three sources: its entry in
// the platform's list, its reports, and its answers to orders. An entry is
// written at once when something changes, but it may be read late and never
// tells the count of orders. A report tells the state and the count of one
// moment, which is up to lag ago.
//
// An order names the count on which it was decided, so that a worker refuses an
// order that was decided on an older state. That holds only while a count is
// never combined with a state from before it.
type worker struct {
	server     roster.Server // what decisions are made on
	engineLag  time.Duration // how old a report is when the worker sends it
	source     Source        // of the group in server
	sourceAt   time.Time     // when that was read, asked for or answered
	entry      roster.Server // as last listed
	movedAt    time.Time     // when an entry was taken in that names another group or state than the one before it
	seenAt     time.Time
	listed     bool
	unlistedAt time.Time // when it was first missing in the list
	counted    int64     // the worker has begun at least as many orders in this life
	reported   bool      // a report or an answer was taken in during this turn
	known      bool      // the count and the group in server belong together
	asking     bool      // a question is under way
	ordering   bool      // an order is under way
	askAfter   time.Time // a report that is asked for earlier may tell of the time before an order or entry
	askedAt    time.Time // when its report was last asked for
	reportAt   time.Time // when the last report that came was asked for
	failures   int       // questions without an answer, in a row
	silent     time.Time // when the first of them was asked
	ended      bool      // its address answered for it: no process, or another worker
	ordered    formation.Order
	answered   time.Time // when the last order was answered; zero before the first
}

func newWorker(entry roster.Server, now time.Time) *worker {
	return &worker{server: entry, sourceAt: now, entry: entry, movedAt: now, seenAt: now}
}

// settling reports whether the worker's reports may be older than its last order.
func (w *worker) settling(now time.Time) bool {
	return !w.answered.IsZero() && now.Sub(w.answered) < w.lag()+settleMargin
}

// lag is how much older than its answer a report may be.
func (w *worker) lag() time.Duration { return max(w.engineLag+wayTime, reportLag) }

func (w *worker) lost() bool { return w.failures >= lostAfter }

func sameGroup(a, b roster.Membership) bool {
	if (a.State == roster.Alone) != (b.State == roster.Alone) {
		return false
	}
	return a.State == roster.Alone || a.Group == b.Group && a.Epoch == b.Epoch
}

// takeEntry takes over what a newer entry says. When it names another group than
// is known, or a state that the group has passed, a report has to tell which of
// the two is newer.
func (w *worker) takeEntry(s roster.Server, now time.Time) {
	moved := !sameGroup(s.Membership, w.entry.Membership)
	changed := moved || s.Membership.State != w.entry.Membership.State
	w.entry = s
	s.OrderCount, s.Busy, s.Pace = w.server.OrderCount, w.server.Busy, w.server.Pace
	further := sameGroup(s.Membership, w.server.Membership) && s.Membership.State >= w.server.Membership.State
	switch {
	case !w.reported, further:
		if changed {
			w.movedAt = now
		}
		if !w.reported {
			w.source, w.sourceAt = Entry, now
		}
	case changed:
		w.movedAt, w.known, w.askAfter = now, false, now.Add(w.lag())
		s.Membership = w.server.Membership
	default:
		s.Membership = w.server.Membership // as it was known to be out of date before
	}
	w.server = s
}

// takeReport takes over a report that was asked for at a time.
func (w *worker) takeReport(report roster.Server, began time.Time) {
	w.reportAt = began
	report.Draining, report.ColdUntil = w.server.Draining, w.server.ColdUntil
	listed := w.listed && sameGroup(report.Membership, w.entry.Membership)
	switch {
	case report.SameRun(w.server) && report.OrderCount < w.counted:
		w.askAfter = began.Add(w.lag()) // from before an order that is known to have begun
		return
	case w.settling(began) && report.SameRun(w.server) && report.OrderCount < w.server.OrderCount:
		return // from before the last order
	case w.listed && !listed && began.Sub(w.movedAt) < w.lag():
		// Either may be the newer one.
		w.known, w.askAfter = false, w.movedAt.Add(w.lag())
		return
	}
	known := true
	if entry := w.entry.Membership.State; listed && began.Sub(w.movedAt) < w.lag() && report.Membership.State != entry {
		// The entry may be the newer one. Orders that fit the state that is further
		// along do no harm to the other, but a head may have been closed.
		known = entry > report.Membership.State
		report.Membership.State = max(report.Membership.State, entry)
	}
	if !known {
		w.askAfter = w.movedAt.Add(w.lag())
	}
	w.server, w.known, w.reported = report, known, true
	w.counted = report.OrderCount
	w.source, w.sourceAt = Report, began
}

// takeAnswer takes over what a worker's answer to an order says of it.
func (w *worker) takeAnswer(o formation.Order, count int64, outcome Outcome, now time.Time) {
	w.ordered, w.answered = o, now
	if outcome == Unknown || outcome == Rejected {
		w.answered, w.known, w.askAfter = time.Time{}, false, now.Add(w.lag())
		return
	}
	after := count
	// A worker that leaves its group answers that it is done, and counts that.
	if outcome == Begun || o.Operation == formation.Leave {
		after++
	}
	if outcome == Begun {
		w.counted = max(w.counted, after)
	}
	switch {
	case w.server.OrderCount > after:
		return // a report of a later state came first
	case w.server.OrderCount < count && (o.Operation == formation.Open || o.Operation == formation.Close):
		// The group comes from a report that is older than the order.
		w.known, w.askAfter = false, now.Add(w.lag())
		return
	}
	w.server.OrderCount = after
	switch o.Operation {
	case formation.Join:
		if m := (roster.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, o.Worker), State: roster.Joining}); !sameGroup(m, w.server.Membership) {
			w.server.Membership = m
		}
		w.source, w.sourceAt = Answer, now
	case formation.Leave:
		w.server.Membership = roster.Membership{}
		w.source, w.sourceAt = Answer, now
	case formation.Open, formation.Close:
		// The state follows once the head has changed it.
	}
}
