package formation

import "github.com/chicorystall/chicorystall/pkg/catalog"

const (
	// reserveDivisor times the spares that a domain should keep is its size. A group that
	// loses a member then goes on with a spare that has the weights. Without one, the workers
	// that remain of a large group serve nothing until another has loaded the weights.
	reserveDivisor = 8
	// reserveUtilization is the share of a model's slots in use above which a group of it
	// may be formed from the reserve.
	reserveUtilization = 0.7
)

// countDomains counts the workers of each domain and those of them that are in groups.
func (d *decider) countDomains() {
	for i := range d.Workers {
		w := &d.Workers[i]
		if w.Lost {
			continue
		}
		d.decision.DomainSizes[w.Domain]++
		if _, isFree := d.free[w.ID]; !isFree && !w.Draining && d.reserved[w.ID] == nil {
			d.grouped[w.Domain]++
		}
	}
	for domain, size := range d.DomainSizes {
		d.decision.DomainSizes[domain] = max(d.decision.DomainSizes[domain], size)
	}
}

// takesReserve reports whether a new group of a model would leave a domain with too few
// spares. The first group of a model may take them, and one of a model that is short
// of slots.
func (d *decider) takesReserve(model catalog.Model, domain string) bool {
	if d.groupCounts[model.Name] == 0 || d.Utilization == nil || d.Utilization(model.Name) >= reserveUtilization {
		return false
	}
	return d.grouped[domain]+model.Size > maxGrouped(d.decision.DomainSizes[domain], d.Engine.Models)
}

// maxGrouped returns how many workers of a domain groups may hold: the sum of sizes of
// groups that leaves the number of spares nearest to the reserve. Fewer would strand
// workers that are enough for a group, and that no loss needs.
func maxGrouped(domainSize int, models []catalog.Model) int {
	reachable := make([]bool, domainSize+1) // sums of sizes of groups
	reachable[0] = true
	best := 0
	for sum := range reachable {
		for _, m := range models {
			if m.Size > 0 && m.Size <= sum && reachable[sum-m.Size] {
				reachable[sum] = true
			}
		}
		if reachable[sum] && reserveError(domainSize, sum) < reserveError(domainSize, best) {
			best = sum
		}
	}
	return best
}

// reserveError returns how far the spares beside that many workers in groups are from the
// reserve, in reserveDivisor parts of a worker.
func reserveError(domainSize, grouped int) int {
	diff := reserveDivisor*(domainSize-grouped) - domainSize
	return max(diff, -diff)
}
