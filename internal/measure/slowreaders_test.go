package measure

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestSlowReadersStayWithinTheBound(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const chunks = 100 // per stream; all streams together exceed the bounds several times
	table := slowReadersBufferTable(1, chunks)
	logTable(t, table)
	for _, row := range table.Rows {
		g.Expect(row[3]).To(Equal("1100/1100"), "whole answers, %s", row[0])
		if row[1] != "none" {
			g.Expect(cell(t, table, "peak MiB", row[0], row[1])).To(BeNumerically("<=", cell(t, table, "bound MiB", row[0], row[1])))
		}
	}
}
