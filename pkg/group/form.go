package group

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// domainOf returns the fabric domain in which the desired group belongs: that
// of most of its configured members.
func (p *planner) domainOf(g fleet.Group) string {
	count := make(map[string]int)
	best := ""
	for _, name := range g.Members {
		d := p.servers[name].FabricDomain
		count[d]++
		if count[d] > count[best] || best == "" {
			best = d
		}
	}
	return best
}

// domains returns the sorted names of all fabric domains.
func (p *planner) domains() []string {
	set := make(map[string]bool)
	for _, s := range p.servers {
		if s.Service == "" {
			set[s.FabricDomain] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// spares returns the free servers of a fabric domain that no other group is
// about to be formed from, sorted by name.
func (p *planner) spares(domain, group string) []string {
	reserved := p.reserved(group)
	var names []string
	for name, s := range p.servers {
		if s.FabricDomain == domain && !reserved[name] && p.free(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// reserved returns the configured members of other desired groups that do not
// exist yet. With the policy Dissolve only groups that could be formed at once
// keep theirs.
func (p *planner) reserved(group string) map[string]bool {
	set := make(map[string]bool)
	for _, g := range p.in.Desired {
		if _, exists := p.in.State.Group(g.Name); exists || g.Name == group {
			continue
		}
		if p.Policy == Dissolve && !p.allFree(g.Members) {
			continue
		}
		for _, m := range g.Members {
			set[m] = true
		}
	}
	return set
}

func (p *planner) allFree(names []string) bool {
	return !slices.ContainsFunc(names, func(n string) bool { return !p.free(n) })
}

// form assigns members to desired groups that do not exist.
func (p *planner) form() {
	for _, g := range p.in.Desired {
		if _, exists := p.in.State.Group(g.Name); exists || len(g.Members) == 0 {
			continue
		}
		domain := p.domainOf(g)
		if p.assign(g, 0, domain, nil) {
			continue
		}
		if p.Policy == OtherDomain && p.assignElsewhere(g, 0, domain) {
			continue
		}
		p.reclaim(g)
	}
}

// reclaim drains groups that hold configured members of the group, when they can
// be formed from their own configured members instead.
func (p *planner) reclaim(g fleet.Group) {
	for _, name := range g.Members {
		holder, held := p.in.State.GroupOf(name)
		own, isDesired := p.desired[holder]
		if !held || !isDesired || holder == g.Name || slices.Contains(own.Members, name) || p.changes(holder) {
			continue
		}
		current, _ := p.in.State.Group(holder)
		if current.Phase != placement.PhaseDraining && p.canReturn(own) {
			p.drain(current, fmt.Sprintf("%q belongs to group %q", name, g.Name))
		}
	}
}

// canReturn reports whether the configured members of the group are usable, and
// in no other group.
func (p *planner) canReturn(g fleet.Group) bool {
	return !slices.ContainsFunc(g.Members, func(name string) bool {
		in, ok := p.in.State.GroupOf(name)
		return !p.usable(name) || ok && in != g.Name
	})
}

// assignElsewhere forms the whole group in the first other domain that has room.
func (p *planner) assignElsewhere(g fleet.Group, epoch journal.Offset, not string) bool {
	for _, domain := range p.domains() {
		if domain != not && p.assign(g, epoch, domain, nil) {
			return true
		}
	}
	return false
}

// assign gives the group as many members as desired from one fabric domain:
// those to keep, then its configured ones, then spares. It reports false and
// does nothing when they are too few.
func (p *planner) assign(g fleet.Group, epoch journal.Offset, domain string, keep []string) bool {
	members := slices.Clone(keep)
	add := func(names []string) {
		for _, name := range names {
			inDomain := p.servers[name].FabricDomain == domain
			if len(members) < len(g.Members) && inDomain && p.free(name) && !slices.Contains(members, name) {
				members = append(members, name)
			}
		}
	}
	add(g.Members)
	add(p.spares(domain, g.Name))
	if len(members) < len(g.Members) {
		return false
	}
	p.appendAssign(g, epoch, domain, members)
	return true
}

func (p *planner) appendAssign(g fleet.Group, epoch journal.Offset, domain string, names []string) {
	rank := func(name string) int {
		if i := slices.Index(g.Members, name); i >= 0 {
			return i
		}
		return len(g.Members)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(rank(a)-rank(b), cmp.Compare(a, b)) })
	body := placement.GroupAssign{Group: g.Name, Model: g.Model, ModelVersion: g.ModelVersion, FabricDomain: domain}
	for _, name := range names {
		p.taken[name] = true
		body.Members = append(body.Members, placement.Member{Name: name, BootID: p.in.Reports[name].BootID, FabricDomain: domain})
	}
	p.append(epoch, body)
	p.note(g.Name, "", "new epoch after %d in fabric domain %q with %v", epoch, domain, names)
}
