package limit

import (
	"fmt"
	"testing"
)

// benchmarkFleet has two of so many members, which share so many backend servers.
func benchmarkFleet(backends, members int) (a, b *Ledger) {
	all := someMembers(members)
	limits := Limits{Version: 1, Backends: make(map[string]Limit)}
	for i := range backends {
		limits.Backends[fmt.Sprint("s", i)] = Limit{InFlight: 24 * members, Tokens: 1 << 24, ColdInFlight: 24 * members}
	}
	ledgers := []*Ledger{{Self: all[0]}, {Self: all[1]}}
	for _, l := range ledgers {
		l.SetLimits(limits)
		l.SetTable(Table{Epoch: 1, Members: all})
		for name := range limits.Backends {
			l.Observe(name, "1")
		}
		for _, m := range all {
			l.MarkSettled(m, l.Version())
		}
	}
	return ledgers[0], ledgers[1]
}

func BenchmarkLedger(b *testing.B) {
	for _, size := range []struct{ backends, members int }{{22, 3}, {168, 72}} {
		name := fmt.Sprintf("%d/%d", size.backends, size.members)
		one, two := benchmarkFleet(size.backends, size.members)
		b.Run("permit/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				permit, err := one.Acquire("s1", 100)
				if err != nil {
					b.Fatal(err)
				}
				one.Release(permit, true)
			}
		})
		b.Run("statement/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				two.Reconcile(one.Statement(two.Self))
			}
		})
		b.Run("due/"+name, func(b *testing.B) {
			for b.Loop() {
				one.StatementDue(two.Self)
			}
		})
		b.Run("table/"+name, func(b *testing.B) {
			epoch := int64(1)
			for b.Loop() {
				epoch++
				one.SetTable(Table{Epoch: epoch, Members: one.newest().table.Members})
				one.binding = one.binding[len(one.binding)-1:]
			}
		})
	}
}
