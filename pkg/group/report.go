package group

import (
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Report is the state that a backend server reports about itself.
type Report struct {
	Server       string
	BootID       string
	Group        string
	Epoch        journal.Offset
	Model        string
	ModelVersion string
	Loading      bool // the weights are not completely loaded yet
	Cold         bool // in its cold start after loading
	InFlight     int  // number of running requests
	At           time.Time
	Observed     journal.Offset // placement offset that the observer had applied before it polled the server
}

// Reports holds the newest report of each backend server by name.
type Reports map[string]Report

// fresh reports whether the server has a report that is no older than age.
func (r Reports) fresh(server string, now time.Time, age time.Duration) bool {
	report, ok := r[server]
	return ok && now.Sub(report.At) <= age
}
