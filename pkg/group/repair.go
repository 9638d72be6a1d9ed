package group

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/chicorystall/chicorystall/pkg/placement"
)

// broken is a group that lost members.
type broken struct {
	group   placement.Group
	keep    []string // members that go on
	lost    []string
	leaving string // a member that the platform is about to stop, while none is lost otherwise
	held    bool   // the log would refuse a new epoch with one of those that go on
}

// repair gives broken groups a new epoch with whole members.
func (p *planner) repair() {
	var stuck []broken
	for _, g := range p.in.State.Groups() {
		want, ok := p.desired[g.Name]
		if !ok || !g.Phase.Takes(placement.EventAssign) || p.decided(g.Name) {
			continue
		}
		b, damaged := p.examine(g)
		if !damaged {
			continue
		}
		if b.leaving != "" && takesWork(g) {
			p.drain(g, fmt.Sprintf("%q leaves", b.leaving))
			continue
		}
		if b.held || p.assign(want, g.Epoch, g.FabricDomain, b.keep) {
			continue
		}
		if p.Policy == OtherDomain && p.assignElsewhere(want, g.Epoch, g.FabricDomain) {
			continue
		}
		p.note(g.Name, "", "lacks %v and finds no replacement", b.lost)
		stuck = append(stuck, b)
	}
	if p.Policy == Dissolve {
		p.sacrifice(stuck)
	}
}

// decided reports whether this decision already changes the group.
func (p *planner) decided(group string) bool {
	for _, r := range p.decision.Records {
		if e, ok := r.Body.(placement.GroupPhase); ok && e.Group == group {
			return true
		}
	}
	return false
}

// examine sorts the members into those that go on and those that are lost. A
// member that restarted goes on in its new run, which takes a new epoch.
func (p *planner) examine(g placement.Group) (broken, bool) {
	b := broken{group: g}
	damaged := false
	dead := false
	for _, m := range g.Members {
		r := p.in.Reports[m.Name]
		restarted := r.BootID != "" && r.BootID != m.BootID
		unfit := p.lost(m.Name) || p.disobeyed(m, r)
		dead = dead || unfit || restarted
		if unfit || p.leaving(m.Name) {
			b.lost = append(b.lost, m.Name)
			damaged = true
			continue
		}
		b.keep = append(b.keep, m.Name)
		b.held = b.held || p.apart(m.Name)
		damaged = damaged || restarted || p.forgot(g, m, r)
	}
	if i := slices.IndexFunc(b.lost, p.leaving); i >= 0 && !dead {
		b.leaving = b.lost[i]
	}
	return b, damaged
}

// takesWork reports whether requests may run in the group. It drains before it
// loses a member that leaves in order.
func takesWork(g placement.Group) bool {
	return g.Phase == placement.PhaseCold || g.Phase == placement.PhaseServing
}

// disobeyed reports whether the member is in quarantine and reports after its
// beginning that it did not obey the order in doubt.
func (p *planner) disobeyed(m placement.Member, r Report) bool {
	q, ok := p.in.State.Quarantine(m.Name)
	return ok && r.Observed >= q.Offset && r.Epoch != q.Epoch
}

// forgot reports whether the member confirmed its order and reports something
// else all the same.
func (p *planner) forgot(g placement.Group, m placement.Member, r Report) bool {
	confirmed := g.Ordered[m.Name]
	return confirmed != 0 && r.Observed >= confirmed && (r.Group != g.Name || r.Epoch != g.Epoch)
}

// sacrifice drains the group that lacks most, when its members can complete
// another one in the same fabric domain.
func (p *planner) sacrifice(stuck []broken) {
	slices.SortFunc(stuck, func(a, b broken) int {
		return cmp.Or(len(b.lost)-len(a.lost), cmp.Compare(b.group.Name, a.group.Name))
	})
	given := make(map[string]bool)
	for i, giver := range stuck {
		domain := giver.group.FabricDomain
		helps := slices.ContainsFunc(stuck[i+1:], func(taker broken) bool {
			return taker.group.FabricDomain == domain && len(taker.lost) <= len(giver.keep)
		})
		if !helps || given[domain] {
			continue
		}
		given[domain] = true
		p.drain(giver.group, "its members complete another group")
	}
}
