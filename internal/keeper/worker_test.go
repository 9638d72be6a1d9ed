package keeper

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// truth is a worker as it is: its state at each count of orders, with the times
// at which it came into them.
type truth struct {
	states []roster.Membership // by count
	since  []time.Time
}

func (r *truth) count() int64 { return int64(len(r.states) - 1) }

func (r *truth) at(t time.Time) int64 {
	n := int64(0)
	for i, since := range r.since {
		if !since.After(t) {
			n = int64(i)
		}
	}
	return n
}

// carryOut does what the worker does with an order that names a count.
func (r *truth) carryOut(o formation.Order, count int64, now time.Time) Outcome {
	m := r.states[r.count()]
	switch {
	case count != r.count():
		return Rejected
	case o.Operation == formation.Join:
		m = roster.Membership{Group: o.Group, Epoch: o.Epoch, Rank: 0, State: roster.Joining}
	case m.State == roster.Alone:
		return Rejected
	case o.Operation == formation.Open:
		m.State = roster.Open
	default:
		m = roster.Membership{}
	}
	r.states, r.since = append(r.states, m), append(r.since, now)
	if o.Operation == formation.Leave {
		return Done
	}
	return Begun
}

// A count that an order may name belongs to the group that the order is decided
// on, whatever the age of entries and reports, and however orders end. With it, a
// worker refuses what was decided on a state that it has left.
func TestACountBelongsToItsGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		r := &truth{states: []roster.Membership{{}}, since: []time.Time{now}}
		base := roster.Server{ID: "w", StartUnixMilli: 1}
		w := newWorker(base, now)
		w.listed = true
		seq, epoch := int64(0), int64(0)
		var answer func() // to an order that is under way
		check := func() {
			if w.known && w.server.OrderCount == r.count() && !sameGroup(w.server.Membership, r.states[r.count()]) {
				t.Fatalf("count %d goes with %+v, not %+v", r.count(), r.states[r.count()], w.server.Membership)
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			epoch++
			order := formation.Order{Worker: "w", Operation: formation.Join, Group: "m.x", Epoch: epoch, Members: []string{"w"}}
			if rapid.Bool().Draw(t, "leaves") {
				order = formation.Order{Worker: "w", Operation: formation.Leave, Group: "m.x", Epoch: epoch}
			}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0: // an entry that was written up to 3 s ago
				written := r.at(now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "written")) * time.Millisecond))
				seq++
				s := base
				s.EntrySeq, s.Membership = seq, r.states[written]
				w.takeEntry(s, now)
			case 1: // a report
				if now.Before(w.askAfter) {
					continue
				}
				of := r.at(now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "lag")) * time.Millisecond))
				s := w.server
				s.OrderCount, s.Membership = of, r.states[of]
				w.takeReport(s, now)
			case 2: // an order of this keeper
				if !w.known || answer != nil {
					continue
				}
				count := w.server.OrderCount
				if rapid.Bool().Draw(t, "opens") {
					order = formation.Order{Worker: "w", Operation: formation.Open, Group: "m.x", Epoch: epoch}
				}
				outcome := r.carryOut(order, count, now)
				if rapid.Bool().Draw(t, "answer lost") {
					outcome = Unknown
				}
				answer = func() { w.takeAnswer(order, count, outcome, now) }
			case 3: // its answer
				if answer != nil {
					answer()
					answer = nil
				}
			case 4: // an order of another keeper
				r.carryOut(order, r.count(), now)
			}
			check()
		}
	})
}
