package limit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// settledLedgers returns n ledgers that share the backend server "s1" and have settled.
func settledLedgers(n int, limit Limit) []*Ledger {
	members := newMembers(n)
	ledgers := make([]*Ledger, n)
	for i, m := range members {
		ledgers[i] = &Ledger{Self: m}
		ledgers[i].Observe("s1", "b1")
		ledgers[i].SetLimits(Limits{Version: 1, Backends: map[string]Limit{"s1": limit}})
		ledgers[i].SetTable(Table{Epoch: 1, Members: members})
	}
	exchange(ledgers)
	return ledgers
}

// exchange delivers one statement from each ledger to each other one.
func exchange(ledgers []*Ledger) {
	for _, from := range ledgers {
		for _, to := range ledgers {
			if from != to {
				to.Reconcile(from.Statement(to.Self))
			}
		}
	}
}

func acquireAll(ledgers []*Ledger) []Permit {
	var permits []Permit
	for _, l := range ledgers {
		for {
			p, err := l.Acquire("s1", 0)
			if err != nil {
				break
			}
			permits = append(permits, p)
		}
	}
	return permits
}

func TestLimitsUnderManySenders(t *testing.T) {
	tests := []struct {
		senders, limit, cold, want int
	}{
		{senders: 9, limit: 1, cold: 1, want: 1},
		{senders: 9, limit: 24, cold: 24, want: 24},
		{senders: 9, limit: 24, cold: 1, want: 1},
		{senders: 72, limit: 24, cold: 24, want: 24},
		{senders: 3, limit: 24, cold: 2, want: 2},
		{senders: 3, limit: 0, cold: 1, want: 0},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%+v", tt), func(t *testing.T) {
			limit := Limit{InFlight: tt.limit, Tokens: 1000, ColdInFlight: tt.cold}
			permits := acquireAll(settledLedgers(tt.senders, limit))
			NewWithT(t).Expect(permits).To(HaveLen(tt.want))
		})
	}
}

func TestLevelFollowsCompletions(t *testing.T) {
	g := NewWithT(t)
	ledgers := settledLedgers(3, Limit{InFlight: 8, Tokens: 1000, ColdInFlight: 1})
	var held []int
	for range 5 {
		permits := acquireAll(ledgers)
		held = append(held, len(permits))
		for _, l := range ledgers {
			for _, p := range permits {
				l.Release(p, true)
			}
		}
		exchange(ledgers)
		exchange(ledgers)
	}
	g.Expect(held).To(Equal([]int{1, 2, 4, 8, 8}))
}

func TestNoCompletionsNoGrowth(t *testing.T) {
	g := NewWithT(t)
	ledgers := settledLedgers(3, Limit{InFlight: 8, Tokens: 1000, ColdInFlight: 1})
	for range 20 {
		permits := acquireAll(ledgers)
		g.Expect(permits).To(HaveLen(1))
		for _, l := range ledgers {
			for _, p := range permits {
				l.Release(p, false)
			}
		}
		exchange(ledgers)
	}
}

// A backend server that turns cold under the same boot ID never holds more than its
// limit, and each member that has received the change keeps to the cold level.
func TestTurnsColdUnderSameBoot(t *testing.T) {
	g := NewWithT(t)
	ledgers := settledLedgers(3, Limit{InFlight: 9, Tokens: 1000, ColdInFlight: 1})
	for _, l := range ledgers {
		l.MarkWarm("s1", "b1")
	}
	ledgers[0].MarkCold("s1", "b1")
	g.Expect(len(acquireAll(ledgers))).To(BeNumerically("<=", 9))

	ledgers = settledLedgers(3, Limit{InFlight: 9, Tokens: 1000, ColdInFlight: 1})
	ledgers[0].MarkCold("s1", "b1")
	ledgers[2].MarkCold("s1", "b1")
	exchange(ledgers)
	g.Expect(acquireAll(ledgers)).To(HaveLen(1))
}

// With a limit of 1, all senders are served in turn, including the one that has the
// share.
func TestWaitingOnALimitOfOne(t *testing.T) {
	g := NewWithT(t)
	ledgers := settledLedgers(3, Limit{InFlight: 1, Tokens: 1000})
	byName := make(map[Member]*Ledger)
	owner := ledgers[0]
	for _, l := range ledgers {
		byName[l.Self] = l
		if l.newest().table.Share("s1", 1, l.Self) == 1 {
			owner = l
		}
	}
	permit, err := owner.Acquire("s1", 0)
	g.Expect(err).NotTo(HaveOccurred())
	for _, l := range ledgers {
		_, err := l.Acquire("s1", 0)
		g.Expect(err).To(HaveOccurred())
		if l != owner {
			g.Expect(owner.Lend(l.Borrow("s1", owner.Self, Amount{Requests: 1}, true)).Waiting).To(BeTrue())
		}
	}
	holder := owner
	served := make(map[Member]int)
	for range 6 {
		out := holder.Release(permit, true)
		for _, r := range out.Returns {
			out.add(owner.TakeBack(r))
		}
		holder = owner
		for _, reply := range out.Replies {
			holder = byName[reply.ID.Borrower]
			ok, _ := holder.Accept(reply)
			g.Expect(ok).To(BeTrue())
		}
		permit, err = holder.Acquire("s1", 0)
		g.Expect(err).NotTo(HaveOccurred())
		served[holder.Self]++
		_, err = holder.Acquire("s1", 0)
		g.Expect(err).To(HaveOccurred())
		if holder != owner {
			owner.Lend(holder.Borrow("s1", owner.Self, Amount{Requests: 1}, true))
		}
	}
	for _, l := range ledgers {
		g.Expect(served[l.Self]).To(Equal(2))
	}
}

func ExampleLedger() {
	a, b := Member{Name: "a", Boot: "1"}, Member{Name: "b", Boot: "1"}
	limits := Limits{Version: 1, Backends: map[string]Limit{"w1": {InFlight: 3, Tokens: 9000, ColdInFlight: 3}}}
	ledgers := []*Ledger{{Self: a}, {Self: b}}
	for _, l := range ledgers {
		l.SetLimits(limits)
		l.SetTable(Table{Epoch: 7, Members: []Member{a, b}, Block: 1})
		l.Observe("w1", "boot1")
	}
	ledgers[0].Reconcile(ledgers[1].Statement(a))
	ledgers[1].Reconcile(ledgers[0].Statement(b))
	for _, l := range ledgers {
		for {
			permit, err := l.Acquire("w1", 1000)
			if err != nil {
				fmt.Println(l.Self.Name, err)
				break
			}
			fmt.Println(l.Self.Name, "sends", permit.Number)
		}
	}
	// Output:
	// a sends 1
	// a backend server "w1" has no share left: 1 requests and 0 tokens are missing
	// b sends 1
	// b sends 2
	// b backend server "w1" has no share left: 1 requests and 0 tokens are missing
}

func TestDetector(t *testing.T) {
	const usual, slow = 40 * time.Millisecond, 120 * time.Millisecond
	tests := []struct {
		name      string
		latencies []time.Duration
		want      int // times that cold is reported
	}{
		{name: "usual", latencies: slices.Repeat([]time.Duration{usual}, 100)},
		{name: "a few slow ones", latencies: slices.Repeat([]time.Duration{usual, slow, slow, slow}, 50)},
		{name: "cold", latencies: append(slices.Repeat([]time.Duration{usual}, 50), slices.Repeat([]time.Duration{slow}, DefaultConsecutiveSlow)...), want: 1},
		{name: "always slow", latencies: slices.Repeat([]time.Duration{slow}, 100)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d Detector
			detections := 0
			for _, latency := range tt.latencies {
				if d.Observe(latency) {
					detections++
				}
			}
			NewWithT(t).Expect(detections).To(Equal(tt.want))
		})
	}
}

func TestRaisedLimitsApplyWithoutOtherMembers(t *testing.T) {
	g := NewWithT(t)
	ledgers := settledLedgers(3, Limit{InFlight: 3, ColdInFlight: 3})
	informed := ledgers[:2] // the third one doesn't receive the new limits
	for _, l := range informed {
		l.SetLimits(Limits{Version: 2, Backends: map[string]Limit{"s1": {InFlight: 9, ColdInFlight: 9}}})
		l.MarkWarm("s1", "b1")
	}
	exchange(informed)
	table := ledgers[0].newest().table
	uninformed := ledgers[2].Self
	g.Expect(acquireAll(informed)).To(HaveLen(9 - table.Share("s1", 9, uninformed)))
	g.Expect(acquireAll(ledgers[2:])).To(HaveLen(table.Share("s1", 3, uninformed)), "the member without the new limits keeps to the old ones")
}

// A member that skipped a table can have settled into a later one. That must not count
// as settled in the skipped table.
func TestSettledForTheExactVersion(t *testing.T) {
	tests := []struct {
		name     string
		disabled guard
		want     int
	}{
		{name: "with the guard", want: 1},
		{name: "without the guard", disabled: guardExactVersion, want: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := newMembers(2)
			limits := Limits{Version: 1, Backends: map[string]Limit{"s1": {InFlight: 1}}}
			both := Table{Epoch: 2, Members: members}
			newcomer, old := both.Order("s1")[0], both.Order("s1")[1]
			ledgers := []*Ledger{{Self: newcomer, disabled: tt.disabled}, {Self: old, disabled: tt.disabled}}
			for _, l := range ledgers {
				l.Observe("s1", "b1")
				l.MarkWarm("s1", "b1")
				l.SetLimits(limits)
			}
			ledgers[1].SetTable(Table{Epoch: 1, Members: []Member{old}})
			ledgers[0].SetTable(both)
			ledgers[1].SetTable(Table{Epoch: 3, Members: []Member{old}, Former: []Member{newcomer}})
			exchange(ledgers)
			NewWithT(t).Expect(acquireAll(ledgers)).To(HaveLen(tt.want))
		})
	}
}

// The member that ranks first learns of completed requests before it has observed the
// backend server, which may report that it is cold. It must not raise the level then.
func TestNoGrowthBeforeObserve(t *testing.T) {
	g := NewWithT(t)
	ledgers := settledLedgers(2, Limit{InFlight: 8, ColdInFlight: 2})
	nextTable := Table{Epoch: 2, Block: 1, Members: ledgers[0].newest().table.Members}
	for _, l := range ledgers {
		l.SetTable(nextTable)
	}
	exchange(ledgers)
	exchange(ledgers)
	first, other := ledgers[0], ledgers[1]
	if ledgers[0].newest().table.Order("s1")[0] != first.Self {
		first, other = other, first
	}
	other.Observe("s1", "b2")
	other.MarkReportedCold("s1", "b2")
	for range 4 {
		permit, err := other.Acquire("s1", 0)
		g.Expect(err).NotTo(HaveOccurred())
		other.Release(permit, true)
	}
	exchange(ledgers)
	first.Observe("s1", "b2")
	first.MarkReportedCold("s1", "b2")
	g.Expect(first.Level("s1")).To(Equal(2))
}

func TestReportedColdAgain(t *testing.T) {
	g := NewWithT(t)
	l := settledLedgers(1, Limit{InFlight: 8, ColdInFlight: 2})[0]
	l.MarkWarm("s1", "b1")
	g.Expect(l.Level("s1")).To(Equal(8))
	l.MarkReportedCold("s1", "b1")
	g.Expect(l.Level("s1")).To(Equal(2), "the backend server reports under the same boot ID that it is cold again")
	l.MarkWarm("s1", "b1")
	g.Expect(l.Level("s1")).To(Equal(8))
}
