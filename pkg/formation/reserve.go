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

// countDomains counts the workers of each domain and those that its groups need.
func (d *decider) countDomains() {
	for i := range d.Workers {
		if w := &d.Workers[i]; w.isPresent() {
			d.decision.DomainSizes[w.Domain]++
		}
	}
	for domain, size := range d.DomainSizes {
		d.decision.DomainSizes[domain] = max(d.decision.DomainSizes[domain], size)
	}
	for _, f := range d.decision.Forming {
		d.grouped[d.byID[f.Members[0]].Domain] += len(f.Members)
	}
	for group, members := range d.groups {
		if _, forming := d.decision.Forming[group]; !forming {
			d.grouped[members[0].Domain] += d.workersNeeded(group, members)
		}
	}
}

// workersNeeded returns how many workers of its domain an existing group needs. One that
// lost members needs its full size again if it is to be replaced.
func (d *decider) workersNeeded(group string, members []*Worker) int {
	remaining := countRemaining(members)
	if model, known := d.Engine.Model(ModelOf(group)); known && isReplaceable(model, remaining) {
		return model.Size
	}
	return remaining
}

// countRemaining returns how many members of a group a successor can have.
func countRemaining(members []*Worker) int {
	n := 0
	for _, w := range members {
		if w.isPresent() && !w.Draining {
			n++
		}
	}
	return n
}

// isReplaceable reports whether enough members of a group remain for a successor of it to
// be worth waiting for.
func isReplaceable(model catalog.Model, remaining int) bool {
	return model.Size-remaining <= model.Size/2
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
