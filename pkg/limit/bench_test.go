package limit

import (
	"fmt"
	"testing"
)

// benchmarkLedgers returns the ledgers of two members of a table with the given number
// of members and backend servers.
func benchmarkLedgers(backends, members int) (first, second *Ledger) {
	all := newMembers(members)
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
		first, second := benchmarkLedgers(size.backends, size.members)
		b.Run("permit/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				permit, err := first.Acquire("s1", 100)
				if err != nil {
					b.Fatal(err)
				}
				first.Release(permit, true)
			}
		})
		b.Run("statement/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				second.Reconcile(first.Statement(second.Self))
			}
		})
		b.Run("due/"+name, func(b *testing.B) {
			for b.Loop() {
				first.StatementDue(second.Self)
			}
		})
		b.Run("table/"+name, func(b *testing.B) {
			epoch := int64(1)
			for b.Loop() {
				epoch++
				first.SetTable(Table{Epoch: epoch, Members: first.newest().table.Members})
				first.plansInForce = first.plansInForce[len(first.plansInForce)-1:]
			}
		})
	}
}
