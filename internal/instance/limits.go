package instance

import (
	"time"

	"github.com/chicorystall/chicorystall/internal/neighbour"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/ratelimit"
)

// limitsOf returns reports in the form of a digest.
func limitsOf(reports []ratelimit.Report) []neighbour.Limit {
	var limits []neighbour.Limit
	for _, r := range reports {
		l := neighbour.Limit{
			Server: r.Server, Run: r.Run, PerSecond: r.PerSecond, NamedAge: max(r.NamedAge, 0).Milliseconds(),
			Sent: r.Sent, Demand: r.Demand, Instances: r.Instances,
		}
		if r.HasFree {
			l.FreeAge = max(r.FreeAge, 0).Milliseconds() + 1
		}
		limits = append(limits, l)
	}
	return limits
}

// mergeLimits applies what a peer's digest tells of limits. Those of a relay count for its
// data centre.
func (i *instance) mergeLimits(d neighbour.Digest) {
	peer := d.Instance
	if d.Relay {
		peer = "relay of " + d.DataCentre
	}
	age := func(ms int64) time.Duration { return d.BufferedFor + time.Duration(ms)*time.Millisecond }
	var reports []ratelimit.Report
	perSecond := map[string]float64{}
	for _, l := range d.Limits {
		r := ratelimit.Report{
			Server: l.Server, Run: l.Run, PerSecond: l.PerSecond, NamedAge: age(l.NamedAge), Sent: l.Sent, Demand: l.Demand, Instances: l.Instances,
		}
		if l.FreeAge > 0 {
			r.FreeAge, r.HasFree = age(l.FreeAge-1), true
		}
		reports = append(reports, r)
		perSecond[l.Server] = l.PerSecond
	}
	for _, server := range i.gateway.Places.MergeLimits(peer, reports) {
		i.log.Info("server limit", telemetry.Fields{"worker": server, "per_second": perSecond[server], "told_by": d.Instance})
	}
}
