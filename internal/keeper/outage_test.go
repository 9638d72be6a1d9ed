package keeper

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// lossWithoutStore ends a member of a group and its keeper while the store is away, and
// records when as many groups of its model serve again as before.
func lossWithoutStore(restored *time.Duration) scenario {
	return func(sim *simulation) {
		sim.lossRate, sim.lateOrderRate, sim.slowCalls = 0, 0, false
		sim.faults = []fault{func() (begin, end func()) { return func() {}, func() {} }}
		time.AfterFunc(15*time.Second, func() {
			f := sim.fleet
			f.mu.Lock()
			defer f.mu.Unlock()
			f.setListDown(true)
			var member *simWorker
			for _, id := range f.ids() {
				if w := f.workers[id]; w.Membership.State == roster.Ready && w.Membership.Rank == 1 {
					member = w
				}
			}
			model := formation.ModelOf(member.Membership.Group)
			before := f.openGroups(model)
			f.kill(member)
			sim.setKeeper(1)
			lost := time.Now()
			var check func()
			check = func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if f.openGroups(model) >= before {
					*restored = time.Since(lost)
					return
				}
				time.AfterFunc(simStep, check)
			}
			time.AfterFunc(simStep, check)
		})
	}
}

// A keeper that begins while the store is away must not wait for it to return.
func TestASuccessorFormsGroupsWithoutTheStore(t *testing.T) {
	g := NewWithT(t)
	var restored time.Duration
	sim := runSimulation(t, *firstSeed, 0, lossWithoutStore(&restored))
	expectNoViolations(t, sim)
	g.Expect(restored).To(And(BeNumerically(">", 0), BeNumerically("<", 12*time.Second)))
	t.Logf("served again after %s", restored)
}
