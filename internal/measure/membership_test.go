package measure

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestMembership(t *testing.T) {
	wantTable(t, membershipTable(1, 9, 24), 6)
}

// wantTable checks that the table is complete and logs it.
func wantTable(t *testing.T, table Table, rows int) {
	t.Helper()
	g := NewWithT(t)
	g.Expect(table.Rows).To(HaveLen(rows))
	t.Logf("%s, seed %d: %v", table.Name, table.Seed, table.Columns)
	for _, r := range table.Rows {
		g.Expect(r).To(HaveLen(len(table.Columns)))
		t.Log(r)
	}
	t.Log(table.Note)
}
