package group

import (
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Report is what a backend server said of itself.
type Report struct {
	Server       string
	BootID       string
	Group        string
	Epoch        journal.Offset
	Model        string
	ModelVersion string
	Loading      bool // the weights are not whole yet
	Cold         bool // in cold start
	InFlight     int  // requests
	At           time.Time
	Observed     journal.Offset // placement offset that the observer had applied before it asked
}

// Reports holds the newest report of each backend server by name.
type Reports map[string]Report

// fresh reports whether the server was heard within the age.
func (r Reports) fresh(server string, now time.Time, age time.Duration) bool {
	report, ok := r[server]
	return ok && now.Sub(report.At) <= age
}
