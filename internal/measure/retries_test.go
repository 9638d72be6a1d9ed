package measure

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// cell returns the number in a column of the first row that begins with the given
// cells.
func cell(t *testing.T, table Table, column string, prefix ...string) float64 {
	t.Helper()
	for _, row := range table.Rows {
		if !startsWith(row, prefix) {
			continue
		}
		for n, name := range table.Columns {
			if name == column {
				v, err := strconv.ParseFloat(row[n], 64)
				if err != nil {
					t.Fatalf("column %q of %v: %v", column, row, err)
				}
				return v
			}
		}
	}
	t.Fatalf("table %q has no row %v with column %q", table.Name, prefix, column)
	return 0
}

func startsWith(row, prefix []string) bool {
	for n, b := range prefix {
		if row[n] != b {
			return false
		}
	}
	return true
}

func logTable(t *testing.T, table Table) {
	t.Helper()
	t.Logf("%s, seed %d, %s", table.Name, table.Seed, table.Note)
	t.Log(table.Columns)
	for _, row := range table.Rows {
		t.Log(row)
	}
}

// Only the rows with expectations are run.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	table := retriesTable(1, retryCases[2:], naiveRetries, budgetRetries, shortQueueRetries)
	logTable(t, table)
	for _, c := range []string{"2x", "0.8x, a third stalled"} {
		product := cell(t, table, "goodput/offered", c, "policy with budget")
		naive := cell(t, table, "goodput/offered", c, "3 immediate retries")
		g.Expect(product).To(BeNumerically(">=", naive), c)
		g.Expect(cell(t, table, "retries/first", c, "policy with budget")).To(BeNumerically("<", 0.15), c)
	}
	g.Expect(cell(t, table, "goodput/capacity", "2x", "policy, short queue")).To(BeNumerically(">", 0.8))
}
