package measure

import (
	"fmt"
	"time"

	"github.com/chicorystall/chicorystall/pkg/group"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// placementSize is the size of one data centre.
type placementSize struct {
	entries   int
	perDomain groupFleet
}

// PlacementCost measures the cost of the placement state of one data centre for
// each entry instance, at three sizes. The smallest is the baseline.
func PlacementCost(seed uint64) Table {
	t := Table{
		Name:    "placement cost",
		Seed:    seed,
		Columns: []string{"entry instances", "servers", "groups", "snapshot B", "record B mean", "apply µs", "decide µs"},
		Note: "The snapshot is taken after all groups are whole and holds up to 1024 verdicts. Apply is the mean over the stream that led there, " +
			"decide the mean of 50 decisions with nothing to do. Times are of this machine while it does other work.",
	}
	for _, size := range []placementSize{{3, groupFleet{1, 4, 1}}, {18, groupFleet{3, 4, 1}}, {72, groupFleet{1, 32, 10}}} {
		t.Rows = append(t.Rows, placementRow(seed, size))
	}
	return t
}

func placementRow(seed uint64, size placementSize) []string {
	r := newGroupRun(seed, size.perDomain, group.Wait, 1<<20)
	for i := range size.entries - 1 {
		r.append(placement.Record{ID: r.newID(), Body: placement.EntryJoin{
			Process: placement.Process{Name: fmt.Sprint("entry-", i), BootID: r.newID()}, Address: "10.0.0.1:7000"}})
	}
	r.runUntil(repairEnd)
	snapshot, err := r.state.Snapshot()
	if err != nil {
		panic(err)
	}
	bytes := 0
	for _, e := range r.log {
		bytes += len(e.Data)
	}
	return []string{fmt.Sprint(size.entries), fmt.Sprint(len(r.servers)), fmt.Sprint(len(r.input.Desired)), fmt.Sprint(len(snapshot)),
		fmt.Sprint(bytes / len(r.log)), micros(applyTime(r.log)), micros(decideTime(r))}
}

// applyTime returns the mean time to apply a log entry.
func applyTime(entries []journal.Entry) time.Duration {
	var s placement.State
	begin := time.Now()
	for _, e := range entries {
		s, _ = s.Apply(e)
	}
	return time.Since(begin) / time.Duration(len(entries))
}

func decideTime(r *groupRun) time.Duration {
	const decisions = 50
	r.input.State = r.state
	begin := time.Now()
	for range decisions {
		r.control.Decide(r.input)
	}
	return time.Since(begin) / decisions
}

func micros(d time.Duration) string { return fmt.Sprintf("%.0f", float64(d.Nanoseconds())/1000) }
