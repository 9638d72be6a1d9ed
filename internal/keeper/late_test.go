package keeper

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// The answer to an order comes after a report that tells of another keeper's later
// order. Its group must not go with the report's count.
func TestALateAnswerDoesNotGoBeforeANewerReport(t *testing.T) {
	g := NewWithT(t)
	answer := make(chan struct{})
	told, count := roster.Membership{Group: "m.x", Epoch: 3, State: roster.Ready}, int64(5)
	k := keeperOf(func(known roster.Server) (roster.Server, error) {
		known.Membership, known.OrderCount = told, count
		return known, nil
	})
	k.patience = 20 * time.Millisecond
	k.merge(time.Now(), "pool", true)
	w := k.workers["w"]
	w.movedAt = time.Time{}
	k.askAll()
	k.Order = func(context.Context, roster.Server, formation.Order, int64) (Outcome, error) {
		<-answer
		return Done, nil
	}
	k.send(context.Background(), []formation.Order{{Worker: "w", Operation: formation.Leave, Group: "m.x", Epoch: 3}})
	told, count = roster.Membership{Group: "m.y", Epoch: 1004, Rank: 1, State: roster.Ready}, 7
	k.askAll()
	g.Expect(w.server.Membership).To(Equal(told))
	close(answer)
	g.Eventually(func() bool { k.collect(); return w.ordering }).Should(BeFalse())
	g.Expect(w.known && w.server.OrderCount == 7 && w.server.Membership != told).To(BeFalse(), "count 7 goes with %+v", w.server.Membership)
}

// As TestACountBelongsToItsGroup, with answers that come while other things happen.
func TestACountBelongsToItsGroupWhenAnswersAreLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		r := &truth{states: []roster.Membership{{}}, since: []time.Time{now}}
		base := roster.Server{ID: "w", StartUnixMilli: 1}
		w := newWorker(base, now)
		w.listed = true
		seq, epoch := int64(0), int64(0)
		var late func()
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
				of := r.at(now.Add(-time.Duration(rapid.IntRange(0, int(reportLag.Milliseconds())-1).Draw(t, "lag")) * time.Millisecond))
				s := w.server
				s.OrderCount, s.Membership = of, r.states[of]
				w.takeReport(s, now)
			case 2: // an order of this keeper
				if !w.known || late != nil {
					continue
				}
				count := w.server.OrderCount
				outcome := r.carryOut(order, count, now)
				late = func() { w.takeAnswer(order, count, outcome, now) }
			case 3: // an order of another keeper
				r.carryOut(order, r.count(), now)
			case 4: // the answer to the order
				if late != nil {
					late()
					late = nil
				}
			}
			if w.known && w.server.OrderCount == r.count() && !sameGroup(w.server.Membership, r.states[r.count()]) {
				t.Fatalf("count %d goes with %+v, not %+v", r.count(), r.states[r.count()], w.server.Membership)
			}
		}
	})
}

// An entry that was written before the head opened is read after its report.
func TestAnOlderEntryDoesNotTakeAnOpenHeadBack(t *testing.T) {
	ready := roster.Server{ID: "w", StartUnixMilli: 1, EntrySeq: 1, Membership: roster.Membership{Group: "m.x", Epoch: 3, State: roster.Ready}}
	open := ready
	open.OrderCount, open.Membership.State = 2, roster.Open
	start := time.Unix(1000, 0)
	check := func(t *testing.T, w *worker) {
		t.Helper()
		NewWithT(t).Expect(w.known && w.server.OrderCount == 2 && w.server.Membership.State == roster.Ready).To(BeFalse(), "count 2 is that of an open head")
	}
	t.Run("entry after the report", func(t *testing.T) {
		w := newWorker(ready, start)
		w.listed, w.movedAt = true, time.Time{}
		w.takeReport(open, start.Add(100*time.Millisecond))
		ready.EntrySeq = 2
		w.takeEntry(ready, start.Add(200*time.Millisecond))
		check(t, w)
	})
	t.Run("report right after the first entry", func(t *testing.T) {
		w := newWorker(ready, start)
		w.listed = true
		w.takeReport(open, start.Add(100*time.Millisecond))
		check(t, w)
	})
}

// A deployment's reports may lag by more than the usual time.
func TestAReportWithALowerCountIsOlderAtAnyTime(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	w := newWorker(roster.Server{ID: "w", StartUnixMilli: 1}, now)
	now = now.Add(time.Second)
	report := roster.Server{ID: "w", StartUnixMilli: 1, OrderCount: 1}
	w.takeReport(report, now)
	w.takeAnswer(formation.Order{Worker: "w", Operation: formation.Join, Group: "m.x", Epoch: 4, Members: []string{"w"}}, 1, Begun, now)
	w.takeReport(report, now.Add(reportLag+settleMargin+100*time.Millisecond))
	g.Expect(w.server.Membership.Group).To(Equal("m.x"))
}

// The engines of a deployment name how old their reports are. Until one can be
// newer than an entry that has just come, either may tell the worker's group.
func TestEnginesNameTheLagOfTheirReports(t *testing.T) {
	for _, c := range []struct {
		name  string
		lag   time.Duration
		known bool
	}{
		{"reports older than the entry", time.Second, false},
		{"a report newer than the entry", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			k := keeperOf(func(known roster.Server) (roster.Server, error) {
				known.Membership, known.OrderCount = roster.Membership{}, 3
				return known, nil
			})
			k.Engine = func() (string, *catalog.Engine) { return "pool", &catalog.Engine{ReportLag: c.lag} }
			k.merge(time.Now(), "pool", true)
			k.workers["w"].movedAt = time.Now().Add(-500 * time.Millisecond)
			k.askAll()
			g.Expect(k.workers["w"].known).To(Equal(c.known))
		})
	}
}
