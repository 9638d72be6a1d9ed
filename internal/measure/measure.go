// Package measure holds measurements, each beside a plain baseline in the same
// run.
package measure

// Table is the result of one measurement.
type Table struct {
	Name    string
	Seed    uint64
	Columns []string
	Rows    [][]string
	Note    string
}
