package claim

import "sync/atomic"

// Stats counts what a Claimant did since it began.
type Stats struct {
	Appends int64 // appends tried
	Records int64 // records in appends that the log confirmed
	GivenUp int64 // attempts given up before the log's verdict
}

type counters struct {
	appends, records, givenUp atomic.Int64
}

// Stats returns the counters.
func (c *Claimant) Stats() Stats {
	return Stats{
		Appends: c.stats.appends.Load(),
		Records: c.stats.records.Load(),
		GivenUp: c.stats.givenUp.Load(),
	}
}
