package instance

import (
	"time"

	"github.com/chicorystall/chicorystall/internal/neighbour"
	"github.com/chicorystall/chicorystall/pkg/poison"
)

// suspectsOf returns reports in the form of a digest.
func suspectsOf(reports []poison.Report) []neighbour.Suspect {
	var suspects []neighbour.Suspect
	for _, r := range reports {
		s := neighbour.Suspect{Part: r.Part, Model: r.Model, Answered: r.Answered, Cleared: r.Cleared, ClearedAge: max(r.ClearedAge, 0).Milliseconds()}
		for _, c := range r.Crashes {
			s.Crashes = append(s.Crashes, neighbour.Crash{Server: c.Server, Request: c.Request, Age: max(c.Age, 0).Milliseconds()})
		}
		suspects = append(suspects, s)
	}
	return suspects
}

// reportsOf returns the suspects in a digest as reports.
func reportsOf(d neighbour.Digest) []poison.Report {
	age := func(ms int64) time.Duration { return d.BufferedFor + time.Duration(ms)*time.Millisecond }
	var reports []poison.Report
	for _, s := range d.Suspects {
		r := poison.Report{Part: s.Part, Model: s.Model, Answered: s.Answered, Cleared: s.Cleared, ClearedAge: age(s.ClearedAge)}
		for _, c := range s.Crashes {
			r.Crashes = append(r.Crashes, poison.Crash{Server: c.Server, Request: c.Request, Age: age(c.Age)})
		}
		reports = append(reports, r)
	}
	return reports
}
