package keeper

import (
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/presence"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// Source says where the keeper learned which group a worker is in.
type Source int

// The sources of a worker's group.
const (
	Entry   Source = iota // its entry in the platform's list
	Report                // its report
	Answer                // its answer to an order
	GivenUp               // none: a head that was given up, treated as being in no group
)

// worker is the keeper's knowledge of a worker, from three sources: its entry in
// the platform's list, its reports, and its answers to orders. An entry is written
// as soon as something changes, but it may be read late and does not contain the
// order count. A report contains the state and the order count at a single point
// in time, up to maxReportLag before it arrived.
//
// An order carries the order count that it was decided on, so that a worker rejects
// an order that was decided on an older state. This is safe only if a count is
// never combined with a state from before that count.
type worker struct {
	server              roster.Server // the state that decisions are based on
	engineReportLag     time.Duration // age of a report when the worker sends it, as configured for the engine
	groupSource         Source        // where the group in server comes from
	groupSourceAt       time.Time     // when the entry was read, the report requested or the order answered
	entry               roster.Server // the entry last read
	entryChangedAt      time.Time     // when an entry last changed the group or its state
	firstSeenAt         time.Time
	listed              bool
	unlistedAt          time.Time // when it was first found missing from the list; zero while listed
	orderedEpoch        int64     // the highest epoch of this instance's orders to join, answered or not
	minOrders           int64     // lower bound for the orders that it has begun in this run
	reported            bool      // a report was applied during this term as keeper
	consistent          bool      // the order count and the group in server belong together
	probing             bool      // a probe is in flight
	ordering            bool      // an order is in flight
	probeAfter          time.Time // a report requested earlier may predate an order or an entry
	probedAt            time.Time // when it was last probed
	reportProbedAt      time.Time // when the last report received was requested
	evidence            presence.Evidence
	presence            presence.State // as last concluded from the evidence
	probeError          string         // of the last probe, if it was not answered
	lastOrder           formation.Order
	lastOrderAnsweredAt time.Time // zero if there was no order, or the last one had no answer or was rejected
}

func newWorker(entry roster.Server, now time.Time) *worker {
	return &worker{server: entry, groupSourceAt: now, entry: entry, entryChangedAt: now, firstSeenAt: now}
}

// reportsMayPredateOrder reports whether the worker's reports may still show the
// state before its last order.
func (w *worker) reportsMayPredateOrder(now time.Time) bool {
	return !w.lastOrderAnsweredAt.IsZero() && now.Sub(w.lastOrderAnsweredAt) < w.maxReportLag()+staleReportMargin
}

// maxReportLag returns by how much a report may be older than its arrival.
func (w *worker) maxReportLag() time.Duration {
	return max(w.engineReportLag+roundTripMargin, minReportLag)
}

func (w *worker) isPresent() bool { return w.presence == presence.Present }

func sameGroup(a, b roster.Membership) bool {
	if (a.State == roster.Alone) != (b.State == roster.Alone) {
		return false
	}
	return a.State == roster.Alone || a.Group == b.Group && a.Epoch == b.Epoch
}

// applyEntry updates the worker from a newer entry. If the entry contradicts the
// known group, or has a state that the group has already passed, a report has to
// show which of the two is newer.
func (w *worker) applyEntry(s roster.Server, now time.Time) {
	groupChanged := !sameGroup(s.Membership, w.entry.Membership)
	changed := groupChanged || s.Membership.State != w.entry.Membership.State
	w.entry = s
	s.OrderCount, s.Busy, s.Pace = w.server.OrderCount, w.server.Busy, w.server.Pace
	notOlder := sameGroup(s.Membership, w.server.Membership) && s.Membership.State >= w.server.Membership.State
	switch {
	case !w.reported, notOlder:
		if changed {
			w.entryChangedAt = now
		}
		if !w.reported {
			w.groupSource, w.groupSourceAt = Entry, now
		}
	case changed:
		w.entryChangedAt, w.consistent, w.probeAfter = now, false, now.Add(w.maxReportLag())
		s.Membership = w.server.Membership
	default:
		s.Membership = w.server.Membership // the previous entry had the same outdated group
	}
	w.server = s
}

// applyReport updates the worker from a report that was requested at the time began.
func (w *worker) applyReport(report roster.Server, began time.Time) {
	w.reportProbedAt = began
	report.Draining, report.ColdUntil = w.server.Draining, w.server.ColdUntil
	entryAgrees := w.listed && sameGroup(report.Membership, w.entry.Membership)
	switch {
	case report.SameRun(w.server) && report.OrderCount < w.minOrders:
		w.probeAfter = began.Add(w.maxReportLag()) // predates an order that is known to have begun
		return
	case w.reportsMayPredateOrder(began) && report.SameRun(w.server) && report.OrderCount < w.server.OrderCount:
		return // predates the last order
	case w.listed && !entryAgrees && began.Sub(w.entryChangedAt) < w.maxReportLag():
		// Either the entry or the report may be the newer one.
		w.consistent, w.probeAfter = false, w.entryChangedAt.Add(w.maxReportLag())
		return
	}
	consistent := true
	if entry := w.entry.Membership.State; entryAgrees && began.Sub(w.entryChangedAt) < w.maxReportLag() && report.Membership.State != entry {
		// The entry may be newer than the report. Orders decided on the later of the
		// two states do no harm if the earlier one is true, except that the head may
		// have been closed.
		consistent = entry > report.Membership.State
		report.Membership.State = max(report.Membership.State, entry)
	}
	if !consistent {
		w.probeAfter = w.entryChangedAt.Add(w.maxReportLag())
	}
	w.server, w.consistent, w.reported = report, consistent, true
	w.minOrders = report.OrderCount
	w.groupSource, w.groupSourceAt = Report, began
}

// applyAnswer updates the worker from its answer to an order.
func (w *worker) applyAnswer(o formation.Order, count int64, outcome Outcome, now time.Time) {
	w.lastOrder, w.lastOrderAnsweredAt = o, now
	if outcome == Unknown || outcome == Rejected || outcome == Outdated {
		w.lastOrderAnsweredAt, w.consistent, w.probeAfter = time.Time{}, false, now.Add(w.maxReportLag())
		return
	}
	countAfter := count
	// A worker that leaves its group answers Done, but counts the order as begun.
	if outcome == Begun || o.Operation == formation.Leave {
		countAfter++
	}
	if outcome == Begun {
		w.minOrders = max(w.minOrders, countAfter)
	}
	switch {
	case w.server.OrderCount > countAfter:
		return // a report of a later state has already been applied
	case w.server.OrderCount < count && (o.Operation == formation.Open || o.Operation == formation.Close):
		// The known group comes from a report that predates the order.
		w.consistent, w.probeAfter = false, now.Add(w.maxReportLag())
		return
	}
	w.server.OrderCount = countAfter
	switch o.Operation {
	case formation.Join:
		if m := (roster.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, o.Worker), State: roster.Joining}); !sameGroup(m, w.server.Membership) {
			w.server.Membership = m
		}
		w.groupSource, w.groupSourceAt = Answer, now
	case formation.Leave:
		w.server.Membership = roster.Membership{}
		w.groupSource, w.groupSourceAt = Answer, now
	case formation.Open, formation.Close:
		// The state changes only once the head reports it.
	}
}
