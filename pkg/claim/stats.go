package claim

import "sync/atomic"

// Stats holds the counters of a Claimant.
type Stats struct {
	Appends int64 // appends sent, whether or not they succeeded
	Records int64 // records in the appends that the log confirmed
	GivenUp int64 // attempts given up before the log decided their claim
}

type counters struct {
	appends, records, givenUp atomic.Int64
}

// Stats returns the current counters.
func (c *Claimant) Stats() Stats {
	return Stats{
		Appends: c.stats.appends.Load(),
		Records: c.stats.records.Load(),
		GivenUp: c.stats.givenUp.Load(),
	}
}
