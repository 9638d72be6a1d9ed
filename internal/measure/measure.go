// Package measure contains measurements of the system, each compared with a simple
// baseline in the same run.
package measure

// Table is the result of one measurement.
type Table struct {
	Name    string
	Seed    uint64
	Columns []string
	Rows    [][]string
	Note    string
}
