package measure

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// expectTable checks that a measurement succeeded and that its rows are complete.
func expectTable(t *testing.T, table Table, rows int) {
	t.Helper()
	g := NewWithT(t)
	g.Expect(table.Rows).To(HaveLen(rows), table.Note)
	for _, row := range table.Rows {
		g.Expect(row).To(HaveLen(len(table.Columns)))
	}
}

func TestSmallMeasurements(t *testing.T) {
	for _, test := range []struct {
		name string
		rows int
		run  func() Table
	}{
		{"path", 12, func() Table { return pathTable(1, 3, 16) }},
		{"in force", 2, func() Table { return inForceTable(1, 1, 1) }},
		{"slow readers", 2, func() Table { return slowReadersTable(1, 5, 300*time.Millisecond) }},
	} {
		t.Run(test.name, func(t *testing.T) { expectTable(t, test.run(), test.rows) })
	}
}
