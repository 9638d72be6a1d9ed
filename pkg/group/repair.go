package group

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/chicorystall/chicorystall/pkg/placement"
)

// damagedGroup is a group that needs a new epoch, with its members sorted by whether
// they stay.
type damagedGroup struct {
	group     placement.Group
	remaining []string // members that stay in the group
	lost      []string
	leaving   string // a member that leaves, if no other member is lost or restarted; else empty
	blocked   bool   // the log would refuse a new epoch, since a remaining member is excluded
}

// repair gives damaged groups a new epoch with usable members. A group that takes
// requests and only loses a leaving member is drained first.
func (p *planner) repair() {
	var unrepaired []damagedGroup
	for _, g := range p.input.State.Groups() {
		want, ok := p.desired[g.Name]
		if !ok || !g.Phase.Accepts(placement.EventAssign) || p.changesPhase(g.Name) {
			continue
		}
		d, damaged := p.examine(g)
		if !damaged {
			continue
		}
		if d.leaving != "" && acceptsRequests(g) {
			p.drain(g, fmt.Sprintf("member %q leaves", d.leaving))
			continue
		}
		if d.blocked || p.assign(want, g.Epoch, g.FabricDomain, d.remaining) {
			continue
		}
		if p.Policy == OtherDomain && p.assignOtherDomain(want, g.Epoch, g.FabricDomain) {
			continue
		}
		p.addNote(g.Name, "", "has no replacement for members %v", d.lost)
		unrepaired = append(unrepaired, d)
	}
	if p.Policy == Dissolve {
		p.drainDonors(unrepaired)
	}
}

// changesPhase reports whether this decision already has a phase event for the
// group.
func (p *planner) changesPhase(group string) bool {
	for _, r := range p.decision.Records {
		if e, ok := r.Body.(placement.GroupPhase); ok && e.Group == group {
			return true
		}
	}
	return false
}

// examine sorts the members into those that remain and those that are lost, and
// reports whether the group needs a new epoch. A restarted member remains with its
// new boot ID, which needs a new epoch.
func (p *planner) examine(g placement.Group) (damagedGroup, bool) {
	d := damagedGroup{group: g}
	damaged := false
	lostOrRestarted := false
	for _, m := range g.Members {
		r := p.input.Reports[m.Name]
		restarted := r.BootID != "" && r.BootID != m.BootID
		lost := p.lost(m.Name) || p.ignoredOrder(m, r)
		lostOrRestarted = lostOrRestarted || lost || restarted
		if lost || p.leaving(m.Name) {
			d.lost = append(d.lost, m.Name)
			damaged = true
			continue
		}
		d.remaining = append(d.remaining, m.Name)
		d.blocked = d.blocked || p.excluded(m.Name)
		damaged = damaged || restarted || p.droppedAssignment(g, m, r)
	}
	if i := slices.IndexFunc(d.lost, p.leaving); i >= 0 && !lostOrRestarted {
		d.leaving = d.lost[i]
	}
	return d, damaged
}

// acceptsRequests reports whether requests may run in the group. Such a group is
// drained before it loses a member that shuts down gracefully.
func acceptsRequests(g placement.Group) bool {
	return g.Phase == placement.PhaseCold || g.Phase == placement.PhaseServing
}

// ignoredOrder reports whether the member is in quarantine and a report from after
// the start of the quarantine shows that it has not applied the order of
// unknown outcome.
func (p *planner) ignoredOrder(m placement.Member, r Report) bool {
	q, ok := p.input.State.Quarantine(m.Name)
	return ok && r.Observed >= q.Offset && r.Epoch != q.Epoch
}

// droppedAssignment reports whether the member confirmed its order but reports
// another group or epoch since.
func (p *planner) droppedAssignment(g placement.Group, m placement.Member, r Report) bool {
	confirmed := g.Ordered[m.Name]
	return confirmed != 0 && r.Observed >= confirmed && (r.Group != g.Name || r.Epoch != g.Epoch)
}

// drainDonors drains, in each fabric domain, at most one group that could not be
// repaired, if its remaining members can complete another such group. It prefers the
// group that lacks the most members.
func (p *planner) drainDonors(unrepaired []damagedGroup) {
	slices.SortFunc(unrepaired, func(a, b damagedGroup) int {
		return cmp.Or(len(b.lost)-len(a.lost), cmp.Compare(b.group.Name, a.group.Name))
	})
	drainedDomains := make(map[string]bool)
	for i, donor := range unrepaired {
		domain := donor.group.FabricDomain
		completesAnother := slices.ContainsFunc(unrepaired[i+1:], func(recipient damagedGroup) bool {
			return recipient.group.FabricDomain == domain && len(recipient.lost) <= len(donor.remaining)
		})
		if !completesAnother || drainedDomains[domain] {
			continue
		}
		drainedDomains[domain] = true
		p.drain(donor.group, "its members can complete another group")
	}
}
