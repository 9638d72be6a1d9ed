package keeper

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// workerHistory is the actual history of a worker: its state at each order count, and
// when it entered that state.
type workerHistory struct {
	states    []roster.Membership // by order count
	enteredAt []time.Time
}

func (history *workerHistory) orderCount() int64 { return int64(len(history.states) - 1) }

func (history *workerHistory) orderCountAt(t time.Time) int64 {
	n := int64(0)
	for i, since := range history.enteredAt {
		if !since.After(t) {
			n = int64(i)
		}
	}
	return n
}

// execute carries out an order as a worker does, unless the order was decided on
// another count than the current one.
func (history *workerHistory) execute(o formation.Order, count int64, now time.Time) Outcome {
	m := history.states[history.orderCount()]
	switch {
	case count != history.orderCount():
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
	history.states, history.enteredAt = append(history.states, m), append(history.enteredAt, now)
	if o.Operation == formation.Leave {
		return Done
	}
	return Begun
}

// The keeper must not combine an order count with a group from before that count,
// regardless of the age of entries and reports and of the outcome of orders. Only
// then does a worker reject all orders that were decided on an earlier state.
func TestACountBelongsToItsGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		history := &workerHistory{states: []roster.Membership{{}}, enteredAt: []time.Time{now}}
		base := roster.Server{ID: "w", StartUnixMilli: 1}
		w := newWorker(base, now)
		w.listed = true
		seq, epoch := int64(0), int64(0)
		var pendingAnswer func() // applies the answer to the order in flight
		check := func() {
			if w.consistent && w.server.OrderCount == history.orderCount() && !sameGroup(w.server.Membership, history.states[history.orderCount()]) {
				t.Fatalf("order count %d is combined with %+v, want %+v", history.orderCount(), history.states[history.orderCount()], w.server.Membership)
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
				countAtWrite := history.orderCountAt(now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "written")) * time.Millisecond))
				seq++
				s := base
				s.EntrySeq, s.Membership = seq, history.states[countAtWrite]
				w.applyEntry(s, now)
			case 1: // a report
				if now.Before(w.probeAfter) {
					continue
				}
				reportedCount := history.orderCountAt(now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "lag")) * time.Millisecond))
				s := w.server
				s.OrderCount, s.Membership = reportedCount, history.states[reportedCount]
				w.applyReport(s, now)
			case 2: // an order of this keeper
				if !w.consistent || pendingAnswer != nil {
					continue
				}
				count := w.server.OrderCount
				if rapid.Bool().Draw(t, "opens") {
					order = formation.Order{Worker: "w", Operation: formation.Open, Group: "m.x", Epoch: epoch}
				}
				outcome := history.execute(order, count, now)
				if rapid.Bool().Draw(t, "answer lost") {
					outcome = Unknown
				}
				pendingAnswer = func() { w.applyAnswer(order, count, outcome, now) }
			case 3: // its answer
				if pendingAnswer != nil {
					pendingAnswer()
					pendingAnswer = nil
				}
			case 4: // an order of another keeper
				history.execute(order, history.orderCount(), now)
			}
			check()
		}
	})
}
