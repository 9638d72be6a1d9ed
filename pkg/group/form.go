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

// domainOf returns the fabric domain in which to form the desired group: the one
// with most of its configured members.
func (p *planner) domainOf(g fleet.Group) string {
	count := make(map[string]int)
	best := ""
	for _, name := range g.Members {
		domain := p.servers[name].FabricDomain
		count[domain]++
		if count[domain] > count[best] || best == "" {
			best = domain
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

// spares returns the free servers of a fabric domain that are not reserved for
// another group, sorted by name.
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
// exist yet. With the policy Dissolve it returns only those of groups whose
// configured members are all free, that is, groups that can be formed now.
func (p *planner) reserved(group string) map[string]bool {
	set := make(map[string]bool)
	for _, g := range p.input.Desired {
		if _, exists := p.input.State.Group(g.Name); exists || g.Name == group {
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

// form assigns members to the desired groups that do not exist yet.
func (p *planner) form() {
	for _, g := range p.input.Desired {
		if _, exists := p.input.State.Group(g.Name); exists || len(g.Members) == 0 {
			continue
		}
		domain := p.domainOf(g)
		if p.assign(g, 0, domain, nil) {
			continue
		}
		if p.Policy == OtherDomain && p.assignOtherDomain(g, 0, domain) {
			continue
		}
		p.reclaimMembers(g)
	}
}

// reclaimMembers drains other groups that use configured members of this group, if
// they can be formed again from their own configured members.
func (p *planner) reclaimMembers(g fleet.Group) {
	for _, name := range g.Members {
		holder, assigned := p.input.State.GroupOf(name)
		own, isDesired := p.desired[holder]
		if !assigned || !isDesired || holder == g.Name || slices.Contains(own.Members, name) || p.changesGroup(holder) {
			continue
		}
		current, _ := p.input.State.Group(holder)
		if current.Phase != placement.PhaseDraining && p.canReturn(own) {
			p.drain(current, fmt.Sprintf("member %q is configured for group %q", name, g.Name))
		}
	}
}

// canReturn reports whether every configured member of the group is usable and in
// no other group.
func (p *planner) canReturn(g fleet.Group) bool {
	return !slices.ContainsFunc(g.Members, func(name string) bool {
		current, ok := p.input.State.GroupOf(name)
		return !p.usable(name) || ok && current != g.Name
	})
}

// assignOtherDomain forms the whole group in the first other fabric domain with
// enough free servers, and reports whether there is one.
func (p *planner) assignOtherDomain(g fleet.Group, epoch journal.Offset, except string) bool {
	for _, domain := range p.domains() {
		if domain != except && p.assign(g, epoch, domain, nil) {
			return true
		}
	}
	return false
}

// assign gives the group as many members as desired from one fabric domain: first
// those to keep, then free configured members, then spares. If there are too few,
// it does nothing and returns false.
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
		p.assigned[name] = true
		body.Members = append(body.Members, placement.Member{Name: name, BootID: p.input.Reports[name].BootID, FabricDomain: domain})
	}
	p.addRecord(epoch, body)
	p.addNote(g.Name, "", "new epoch after epoch %d, in fabric domain %q with members %v", epoch, domain, names)
}
