package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/ratelimit"
)

func after(d time.Duration) time.Time { return start.Add(d) }

// expectLimit checks which limit a server's run has at a time; 0 is none.
func expectLimit(g *WithT, table *ratelimit.Table, at time.Duration, run int64, want float64) {
	l, limited := table.Limit(after(at), server, run, ratelimit.Fleet{})
	g.Expect(limited).To(Equal(want > 0))
	g.Expect(l.PerSecond).To(Equal(want))
}

func TestLimitBeginsAndEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		say  func(*ratelimit.Table)
		run  int64         // of the server when the request comes
		at   time.Duration // of the request
		want float64       // 0 if there is no limit
	}{
		{"says nothing", func(*ratelimit.Table) {}, 1, time.Second, 0},
		{"names a limit", func(t *ratelimit.Table) { t.Note(start, server, 1, 5) }, 1, time.Second, 5},
		{"named a limit long ago", func(t *ratelimit.Table) { t.Note(start, server, 1, 5) }, 1, time.Hour, 0},
		{"names zero", func(t *ratelimit.Table) { t.Note(start, server, 1, 0) }, 1, time.Second, 0.2},
		{"names another limit", func(t *ratelimit.Table) {
			t.Note(start, server, 1, 5)
			t.Note(after(time.Second), server, 1, 3)
		}, 1, 2 * time.Second, 3},
		{"then names none", func(t *ratelimit.Table) {
			t.Note(start, server, 1, 5)
			t.NoteUnlimited(after(600*time.Millisecond), server, 1)
		}, 1, time.Second, 0},
		{"an answer that was overtaken names none", func(t *ratelimit.Table) {
			t.Note(start, server, 1, 5)
			t.NoteUnlimited(after(100*time.Millisecond), server, 1)
		}, 1, time.Second, 5},
		{"names none, then a limit again", func(t *ratelimit.Table) {
			t.Note(start, server, 1, 5)
			t.NoteUnlimited(after(time.Second), server, 1)
			t.Note(after(1100*time.Millisecond), server, 1, 4)
		}, 1, 2 * time.Second, 4},
		{"a later run", func(t *ratelimit.Table) { t.Note(start, server, 1, 5) }, 2, time.Second, 0},
		{"listed without its run", func(t *ratelimit.Table) { t.Note(start, server, 1, 5) }, 0, time.Second, 5},
		{"an earlier run names none", func(t *ratelimit.Table) {
			t.Note(start, server, 2, 5)
			t.NoteUnlimited(after(time.Second), server, 1)
		}, 2, 2 * time.Second, 5},
		{"an earlier run names a limit", func(t *ratelimit.Table) {
			t.Note(start, server, 2, 5)
			t.Note(after(time.Second), server, 1, 1)
		}, 2, 2 * time.Second, 5},
		{"a peer's server names a limit", func(t *ratelimit.Table) {
			t.Merge(start, "p", []ratelimit.Report{{Server: server, Run: 1, PerSecond: 5, NamedAge: time.Second}})
		}, 1, time.Second, 5},
		{"a peer knows an older limit", func(t *ratelimit.Table) {
			t.Note(start, server, 1, 5)
			t.Merge(after(time.Second), "p", []ratelimit.Report{{Server: server, Run: 1, PerSecond: 9, NamedAge: 2 * time.Second}})
		}, 1, time.Second, 5},
		{"a peer knows that it ended", func(t *ratelimit.Table) {
			t.Note(start, server, 1, 5)
			t.Merge(after(2*time.Second), "p", []ratelimit.Report{{Server: server, Run: 1, PerSecond: 5, NamedAge: 2 * time.Second, FreeAge: time.Second, HasFree: true}})
		}, 1, 3 * time.Second, 0},
		{"a peer knows of an earlier end", func(t *ratelimit.Table) {
			t.Note(start, server, 1, 5)
			t.Merge(after(time.Second), "p", []ratelimit.Report{{Server: server, Run: 1, PerSecond: 5, NamedAge: 9 * time.Second, FreeAge: 2 * time.Second, HasFree: true}})
		}, 1, 3 * time.Second, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			var table ratelimit.Table
			c.say(&table)
			expectLimit(NewWithT(t), &table, c.at, c.run, c.want)
		})
	}
}

func TestLimitsAreNewsOnce(t *testing.T) {
	g := NewWithT(t)
	var table, peer ratelimit.Table
	g.Expect(table.NoteUnlimited(start, server, 1)).To(BeFalse())
	g.Expect(table.Note(start, server, 1, 5)).To(BeTrue())
	g.Expect(table.Note(after(time.Second), server, 1, 5)).To(BeFalse())
	g.Expect(peer.Merge(after(time.Second), "p", table.Reports(after(time.Second)))).To(HaveExactElements(server))
	g.Expect(peer.Merge(after(time.Second), "p", table.Reports(after(time.Second)))).To(BeEmpty())
	g.Expect(table.Note(after(2*time.Second), server, 1, 4)).To(BeTrue())
	g.Expect(table.NoteUnlimited(after(3*time.Second), server, 1)).To(BeTrue())
	g.Expect(table.NoteUnlimited(after(4*time.Second), server, 1)).To(BeFalse())
}

// Whoever read a limit may end; an instance that joins learns of it from any other.
func TestLimitOutlivesTheInstanceThatReadIt(t *testing.T) {
	var reader, second, third ratelimit.Table
	reader.Note(start, server, 1, 5)
	second.Merge(after(time.Second), "reader", reader.Reports(after(time.Second)))
	third.Merge(after(3*time.Second), "second", second.Reports(after(3*time.Second)))
	expectLimit(NewWithT(t), &third, 4*time.Second, 1, 5)
}

func TestAccountsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var table ratelimit.Table
	for n := range 10_000 {
		table.Note(start, fmt.Sprint(n), 1, 5)
	}
	g.Expect(table.Len(start)).To(Equal(4096))
	g.Expect(table.Reports(start)).To(HaveLen(256))
	g.Expect(table.Note(after(time.Hour), "new", 1, 5)).To(BeTrue(), "limits that nobody names any more make room")
}
