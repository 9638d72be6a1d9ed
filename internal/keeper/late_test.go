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

// The answer to an order arrives after a report that shows a later order of another
// keeper. The group of the answered order must not be combined with the order count
// of the report.
func TestLateOrderAnswerDoesNotOverrideNewerReport(t *testing.T) {
	g := NewWithT(t)
	answer := make(chan struct{})
	reported, count := roster.Membership{Group: "m.x", Epoch: 3, State: roster.Ready}, int64(5)
	k := newTestKeeper(func(known roster.Server) (roster.Server, error) {
		known.Membership, known.OrderCount = reported, count
		return known, nil
	})
	k.answerTimeout = 20 * time.Millisecond
	k.mergeList(time.Now(), "pool", true)
	w := k.workers["w"]
	w.entryChangedAt = time.Time{}
	k.probeAll()
	k.Order = func(context.Context, roster.Server, formation.Order, int64) (Outcome, error) {
		<-answer
		return Done, nil
	}
	k.sendOrders(context.Background(), []formation.Order{{Worker: "w", Operation: formation.Leave, Group: "m.x", Epoch: 3}})
	reported, count = roster.Membership{Group: "m.y", Epoch: 1004, Rank: 1, State: roster.Ready}, 7
	k.probeAll()
	g.Expect(w.server.Membership).To(Equal(reported))
	close(answer)
	g.Eventually(func() bool { k.applyPendingResults(); return w.ordering }).Should(BeFalse())
	g.Expect(w.consistent && w.server.OrderCount == 7 && w.server.Membership != reported).To(BeFalse(), "order count 7 is combined with %+v", w.server.Membership)
}

// Like TestACountBelongsToItsGroup, but with answers to orders that arrive after
// entries, reports and orders of other keepers.
func TestACountBelongsToItsGroupWhenAnswersAreLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		history := &workerHistory{states: []roster.Membership{{}}, enteredAt: []time.Time{now}}
		base := roster.Server{ID: "w", StartUnixMilli: 1}
		w := newWorker(base, now)
		w.listed = true
		seq, epoch := int64(0), int64(0)
		var pendingAnswer func()
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
				reportedCount := history.orderCountAt(now.Add(-time.Duration(rapid.IntRange(0, int(minReportLag.Milliseconds())-1).Draw(t, "lag")) * time.Millisecond))
				s := w.server
				s.OrderCount, s.Membership = reportedCount, history.states[reportedCount]
				w.applyReport(s, now)
			case 2: // an order of this keeper
				if !w.consistent || pendingAnswer != nil {
					continue
				}
				count := w.server.OrderCount
				outcome := history.execute(order, count, now)
				pendingAnswer = func() { w.applyAnswer(order, count, outcome, now) }
			case 3: // an order of another keeper
				history.execute(order, history.orderCount(), now)
			case 4: // the answer to the order
				if pendingAnswer != nil {
					pendingAnswer()
					pendingAnswer = nil
				}
			}
			if w.consistent && w.server.OrderCount == history.orderCount() && !sameGroup(w.server.Membership, history.states[history.orderCount()]) {
				t.Fatalf("order count %d is combined with %+v, want %+v", history.orderCount(), history.states[history.orderCount()], w.server.Membership)
			}
		}
	})
}

// An entry that was written before the head opened, but is read after a report of the
// open head, must not make the keeper take the head for ready only.
func TestOlderEntryDoesNotRevertOpenHead(t *testing.T) {
	ready := roster.Server{ID: "w", StartUnixMilli: 1, EntrySeq: 1, Membership: roster.Membership{Group: "m.x", Epoch: 3, State: roster.Ready}}
	open := ready
	open.OrderCount, open.Membership.State = 2, roster.Open
	start := time.Unix(1000, 0)
	check := func(t *testing.T, w *worker) {
		t.Helper()
		NewWithT(t).Expect(w.consistent && w.server.OrderCount == 2 && w.server.Membership.State == roster.Ready).To(BeFalse(), "order count 2 belongs to the open state")
	}
	t.Run("entry after the report", func(t *testing.T) {
		w := newWorker(ready, start)
		w.listed, w.entryChangedAt = true, time.Time{}
		w.applyReport(open, start.Add(100*time.Millisecond))
		ready.EntrySeq = 2
		w.applyEntry(ready, start.Add(200*time.Millisecond))
		check(t, w)
	})
	t.Run("report shortly after the first entry", func(t *testing.T) {
		w := newWorker(ready, start)
		w.listed = true
		w.applyReport(open, start.Add(100*time.Millisecond))
		check(t, w)
	})
}

// A report with a lower order count than the last known one is ignored even if it
// arrives after the assumed report lag, since reports of a deployment may lag for
// longer than that.
func TestReportWithLowerCountIsIgnoredAtAnyAge(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	w := newWorker(roster.Server{ID: "w", StartUnixMilli: 1}, now)
	now = now.Add(time.Second)
	report := roster.Server{ID: "w", StartUnixMilli: 1, OrderCount: 1}
	w.applyReport(report, now)
	w.applyAnswer(formation.Order{Worker: "w", Operation: formation.Join, Group: "m.x", Epoch: 4, Members: []string{"w"}}, 1, Begun, now)
	w.applyReport(report, now.Add(minReportLag+staleReportMargin+100*time.Millisecond))
	g.Expect(w.server.Membership.Group).To(Equal("m.x"))
}

// The engine configuration declares how old reports are. Until a report can be newer
// than an entry that was just read, either of the two may show the current group.
func TestDeclaredEngineReportLagIsUsed(t *testing.T) {
	for _, c := range []struct {
		name       string
		lag        time.Duration
		consistent bool
	}{
		{"reports older than the entry", time.Second, false},
		{"a report newer than the entry", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			k := newTestKeeper(func(known roster.Server) (roster.Server, error) {
				known.Membership, known.OrderCount = roster.Membership{}, 3
				return known, nil
			})
			k.Engine = func() (string, *catalog.Engine) { return "pool", &catalog.Engine{ReportLag: c.lag} }
			k.mergeList(time.Now(), "pool", true)
			k.workers["w"].entryChangedAt = time.Now().Add(-500 * time.Millisecond)
			k.probeAll()
			g.Expect(k.workers["w"].consistent).To(Equal(c.consistent))
		})
	}
}
