package formation

import "github.com/chicorystall/chicorystall/pkg/catalog"

const (
	// reserveDivisor times the spares that a domain keeps is its size. A group that loses a
	// member then goes on with a spare that has the weights. Without one, the workers that
	// remain of a large group serve nothing until another has loaded the weights.
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
	size := d.decision.DomainSizes[domain]
	reserve := (size + reserveDivisor - 1) / reserveDivisor
	return d.grouped[domain]+model.Size > size-reserve
}
