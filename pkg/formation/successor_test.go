package formation_test

import (
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/formation"
)

// Between the loss of a member and the forming of the group's successor its members are not
// free yet. The free workers that the successor will need must not go to another model.
func TestLossGivesSparesToAnotherModel(t *testing.T) {
	for _, c := range []struct {
		name         string
		domain       int
		large, small int
		losses       int
	}{
		{"one member of a small domain", 10, 4, 2, 1},
		{"one member of a domain with a spare group", 24, 12, 6, 1},
		{"three members of a domain with a spare group", 24, 12, 6, 3},
		{"one member of a large domain", 27, 8, 2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			cl := newCluster(start, 1, c.domain).withSizes(c.large, c.small)
			k := &keeper{cluster: cl, utilization: constant(0.5), loads: c.domain}
			runTurns(cl, k, 300)
			want := cl.openGroups("large")
			g.Expect(want).To(BeNumerically(">", 0))
			cl.killMembers("large", c.losses)
			k.utilization = constant(1)
			runTurns(cl, k, 30) // less than a load takes
			g.Expect(cl.openGroups("large")).To(Equal(want))
			g.Expect(cl.violations).To(BeEmpty())
		})
	}
}

// killMembers kills the last members of one of the model's groups.
func (cl *cluster) killMembers(model string, n int) {
	for _, id := range slices.Sorted(maps.Keys(cl.workers)) {
		head := cl.workers[id]
		if !head.IsHead() || formation.IsSpare(head.Membership.Group) || formation.ModelOf(head.Membership.Group) != model {
			continue
		}
		for _, id := range head.members[len(head.members)-n:] {
			cl.workers[id].dead = true
		}
		return
	}
}
