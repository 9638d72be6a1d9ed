package measure

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/group"
)

func TestGroupLoads(t *testing.T) { wantTable(t, GroupLoads(1), 2) }

func TestPlacementCost(t *testing.T) { wantTable(t, PlacementCost(1), 3) }

// Only the rows that justify a design choice are run, since the whole table takes
// seconds.
func TestGroupRepair(t *testing.T) {
	t.Parallel()
	const downtime = 3
	member, domain := groupFaults[0], groupFaults[2]
	wantLess(t, downtime, repairRow(1, member, 1, group.Wait), repairRow(1, member, 0, group.Wait))
	wantLess(t, downtime, repairRow(1, domain, 2, group.OtherDomain), repairRow(1, domain, 2, group.Wait))
}

func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	const longest, duties = 2, 5
	wantLess(t, longest, rollingRow(1, duties, "leave", true, true), rollingRow(1, duties, "lapse", true, false))
}

// wantLess checks that the column is smaller in the first row.
func wantLess(t *testing.T, column int, less, greater []string) {
	t.Helper()
	g := NewWithT(t)
	a, err := strconv.ParseFloat(less[column], 64)
	g.Expect(err).NotTo(HaveOccurred())
	b, err := strconv.ParseFloat(greater[column], 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a).To(BeNumerically("<", b), "%v against %v", less, greater)
}
