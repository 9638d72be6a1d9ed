package neighbour

import (
	"maps"
	"slices"
	"time"
)

// limitSum is what several instances know of limits, by server.
type limitSum map[string]Limit

// add adds what an instance told some time ago. Only the last run of a server counts.
func (s limitSum) add(limits []Limit, age time.Duration) {
	for _, l := range limits {
		l.NamedAge += age.Milliseconds()
		if l.FreeAge > 0 {
			l.FreeAge += age.Milliseconds()
		}
		sum, ok := s[l.Server]
		switch {
		case !ok || l.Run > sum.Run && sum.Run > 0:
			s[l.Server] = l
			continue
		case l.Run < sum.Run && l.Run > 0:
			continue
		}
		if l.NamedAge < sum.NamedAge {
			sum.NamedAge, sum.PerSecond = l.NamedAge, l.PerSecond
		}
		if l.FreeAge > 0 && (sum.FreeAge == 0 || l.FreeAge < sum.FreeAge) {
			sum.FreeAge = l.FreeAge
		}
		sum.Run = max(sum.Run, l.Run)
		sum.Sent, sum.Demand, sum.Instances = sum.Sent+l.Sent, sum.Demand+l.Demand, sum.Instances+l.Instances
		s[l.Server] = sum
	}
}

// without returns the sum without what one of the instances sent, in the order of the
// servers.
func (s limitSum) without(limits []Limit) []Limit {
	rest := maps.Clone(s)
	for _, l := range limits {
		sum, ok := rest[l.Server]
		if !ok || l.Run < sum.Run && l.Run > 0 {
			continue
		}
		sum.Sent, sum.Demand, sum.Instances = max(sum.Sent-l.Sent, 0), max(sum.Demand-l.Demand, 0), max(sum.Instances-l.Instances, 0)
		rest[l.Server] = sum
	}
	var list []Limit
	for _, server := range slices.Sorted(maps.Keys(rest)) {
		list = append(list, rest[server])
	}
	return list
}

// withoutUse returns limits without what instances sent.
func withoutUse(limits []Limit) []Limit {
	limits = slices.Clone(limits)
	for i := range limits {
		limits[i].Sent, limits[i].Demand, limits[i].Instances = 0, 0, 0
	}
	return limits
}
