package limit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fleetOf returns ledgers that share one backend server "s1" and have settled.
func fleetOf(n int, limit Limit) []*Ledger {
	members := someMembers(n)
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

// exchange delivers every statement once.
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
			permits := acquireAll(fleetOf(tt.senders, limit))
			NewWithT(t).Expect(permits).To(HaveLen(tt.want))
		})
	}
}

func TestLevelFollowsCompletions(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(3, Limit{InFlight: 8, Tokens: 1000, ColdInFlight: 1})
	var held []int
	for range 5 {
		permits := acquireAll(fleet)
		held = append(held, len(permits))
		for _, l := range fleet {
			for _, p := range permits {
				l.Release(p, true)
			}
		}
		exchange(fleet)
		exchange(fleet)
	}
	g.Expect(held).To(Equal([]int{1, 2, 4, 8, 8}))
}

func TestNoCompletionsNoGrowth(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(3, Limit{InFlight: 8, Tokens: 1000, ColdInFlight: 1})
	for range 20 {
		permits := acquireAll(fleet)
		g.Expect(permits).To(HaveLen(1))
		for _, l := range fleet {
			for _, p := range permits {
				l.Release(p, false)
			}
		}
		exchange(fleet)
	}
}

// A backend server that turns cold under the same boot ID can hold no more than
// before, and each member that has the news keeps to the cold level.
func TestColdByBehaviour(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(3, Limit{InFlight: 9, Tokens: 1000, ColdInFlight: 1})
	for _, l := range fleet {
		l.MarkWarm("s1", "b1")
	}
	fleet[0].MarkCold("s1", "b1")
	g.Expect(len(acquireAll(fleet))).To(BeNumerically("<=", 9))

	fleet = fleetOf(3, Limit{InFlight: 9, Tokens: 1000, ColdInFlight: 1})
	fleet[0].MarkCold("s1", "b1")
	fleet[2].MarkCold("s1", "b1")
	exchange(fleet)
	g.Expect(acquireAll(fleet)).To(HaveLen(1))
}

// Each sender gets its turn on a limit of 1, also the one that owns the share.
func TestWaitingOnALimitOfOne(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(3, Limit{InFlight: 1, Tokens: 1000})
	byName := make(map[Member]*Ledger)
	owner := fleet[0]
	for _, l := range fleet {
		byName[l.Self] = l
		if l.newest().table.Share("s1", 1, l.Self) == 1 {
			owner = l
		}
	}
	permit, err := owner.Acquire("s1", 0)
	g.Expect(err).NotTo(HaveOccurred())
	for _, l := range fleet {
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
	for _, l := range fleet {
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
		name    string
		between []time.Duration
		want    int // verdicts
	}{
		{name: "usual", between: slices.Repeat([]time.Duration{usual}, 100)},
		{name: "a few slow ones", between: slices.Repeat([]time.Duration{usual, slow, slow, slow}, 50)},
		{name: "cold", between: append(slices.Repeat([]time.Duration{usual}, 50), slices.Repeat([]time.Duration{slow}, DefaultColdStrikes)...), want: 1},
		{name: "always slow", between: slices.Repeat([]time.Duration{slow}, 100)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d Detector
			verdicts := 0
			for _, between := range tt.between {
				if d.Observe(between) {
					verdicts++
				}
			}
			NewWithT(t).Expect(verdicts).To(Equal(tt.want))
		})
	}
}

func TestGrownLimitsNeedNoWord(t *testing.T) {
	g := NewWithT(t)
	ledgers := fleetOf(3, Limit{InFlight: 3, ColdInFlight: 3})
	heard := ledgers[:2] // the third one is silent
	for _, l := range heard {
		l.SetLimits(Limits{Version: 2, Backends: map[string]Limit{"s1": {InFlight: 9, ColdInFlight: 9}}})
		l.MarkWarm("s1", "b1")
	}
	exchange(heard)
	table := ledgers[0].newest().table
	silent := ledgers[2].Self
	g.Expect(acquireAll(heard)).To(HaveLen(9 - table.Share("s1", 9, silent)))
	g.Expect(acquireAll(ledgers[2:])).To(HaveLen(table.Share("s1", 3, silent)), "the silent one keeps to what it knows")
}

// A member that skipped a table has settled for a later one, which says nothing
// about the table that it skipped.
func TestSettledForTheExactVersion(t *testing.T) {
	tests := []struct {
		name     string
		disabled guard
		want     int
	}{
		{name: "with the guard", want: 1},
		{name: "without the guard", disabled: guardExact, want: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := someMembers(2)
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

// The member that ranks first hears of completions before it has asked the backend
// server itself, which may report that it is cold.
func TestNoGrowthBeforeItWasObserved(t *testing.T) {
	g := NewWithT(t)
	ledgers := fleetOf(2, Limit{InFlight: 8, ColdInFlight: 2})
	even := Table{Epoch: 2, Block: 1, Members: ledgers[0].newest().table.Members}
	for _, l := range ledgers {
		l.SetTable(even)
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
	l := fleetOf(1, Limit{InFlight: 8, ColdInFlight: 2})[0]
	l.MarkWarm("s1", "b1")
	g.Expect(l.Level("s1")).To(Equal(8))
	l.MarkReportedCold("s1", "b1")
	g.Expect(l.Level("s1")).To(Equal(2), "it says under the same boot ID that it is cold again")
	l.MarkWarm("s1", "b1")
	g.Expect(l.Level("s1")).To(Equal(8))
}
