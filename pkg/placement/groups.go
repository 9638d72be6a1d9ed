package placement

import (
	"maps"

	"github.com/chicorystall/chicorystall/pkg/chart"
)

//go:generate go tool stringer -type=Phase -trimprefix=Phase

// Phase is a state of the group's chart.
type Phase int

// Phases of a group.
const (
	PhaseNone      Phase = iota
	PhaseForming         // members are assigned
	PhaseLoading         // members were ordered to load
	PhaseCold            // whole, in cold start
	PhaseServing         // whole and warm
	PhaseDraining        // no new work
	PhaseDissolved       // members are free
)

// Events of the group's chart.
const (
	EventAssign   = "Assign"
	EventLoad     = "Load"
	EventLoaded   = "Loaded"
	EventWarm     = "Warm"
	EventDrain    = "Drain"
	EventDissolve = "Dissolve"
)

var groupChart = chart.Builtin("group")

// next returns the phase that the event leads to.
func (p Phase) next(event string) (Phase, bool) {
	state, ok := groupChart.Next(p.String(), event)
	if !ok {
		return p, false
	}
	for q := PhaseForming; q <= PhaseDissolved; q++ {
		if q.String() == state {
			return q, true
		}
	}
	return p, false
}

// Accepts reports whether the group's chart takes the event in the phase.
func (p Phase) Accepts(event string) bool {
	_, ok := p.next(event)
	return ok
}

func (s State) groupAssign(c *change, b GroupAssign) State {
	c.require("Group", b.Group)
	old, exists := s.groups[b.Group]
	if s.on(guardPresumes) {
		c.presumes(old.Epoch)
	}
	if exists && !old.Phase.Accepts(EventAssign) {
		c.refuse("Group", "group %q is %s and takes no new members", b.Group, old.Phase)
	}
	if len(b.Members) == 0 {
		c.refuse("Members", "group %q has no members", b.Group)
	}
	named := make(map[string]bool)
	for _, m := range b.Members {
		if named[m.Name] {
			c.refuse("Members", "%q is named twice", m.Name)
		}
		named[m.Name] = true
		s.checkMember(c, b, m)
	}
	s.memberOf = maps.Clone(s.memberOf)
	if s.memberOf == nil {
		s.memberOf = make(map[string]string)
	}
	for _, m := range old.Members {
		delete(s.memberOf, m.Name)
	}
	for _, m := range b.Members {
		s.memberOf[m.Name] = b.Group
	}
	s.groups = with(s.groups, b.Group, Group{
		Name:         b.Group,
		Model:        b.Model,
		ModelVersion: b.ModelVersion,
		FabricDomain: b.FabricDomain,
		Epoch:        c.at,
		Phase:        PhaseForming,
		Members:      b.Members,
	})
	return s
}

// checkMember refuses a backend server that the group may not have.
func (s State) checkMember(c *change, b GroupAssign, m Member) {
	c.require("Members.Name", m.Name)
	c.require("Members.BootID", m.BootID)
	if s.on(guardDomain) && m.FabricDomain != b.FabricDomain {
		c.refuse("Members", "%q is in fabric domain %q, the group in %q", m.Name, m.FabricDomain, b.FabricDomain)
	}
	if g, ok := s.memberOf[m.Name]; ok && g != b.Group && s.on(guardUnique) {
		c.refuse("Members", "%q is in group %q", m.Name, g)
	}
	if q, ok := s.quarantines[m.Name]; ok && s.on(guardQuarantine) {
		c.refuse("Members", "%q is in quarantine since %d: %s", m.Name, q.Offset, q.Reason)
	}
	if claim, ok := s.claims[m.Name]; ok && s.on(guardClaimApart) {
		c.refuse("Members", "the order to %q is claimed by %q at %d", m.Name, claim.Claimant.Name, claim.Offset)
	}
}

func (s State) groupPhase(c *change, b GroupPhase) State {
	g, ok := s.checkGroup(c, b.Group)
	if !ok {
		return s
	}
	next, ok := g.Phase.next(b.Event)
	if !ok || b.Event == EventAssign || b.Event == EventDissolve {
		c.refuse("Event", "group %q is %s and takes no event %q", b.Group, g.Phase, b.Event)
	}
	g.Phase = next
	s.groups = with(s.groups, b.Group, g)
	return s
}

func (s State) groupDissolve(c *change, b GroupDissolve) State {
	g, ok := s.checkGroup(c, b.Group)
	if !ok {
		return s
	}
	if !g.Phase.Accepts(EventDissolve) {
		c.refuse("Group", "group %q is %s and has to drain first", b.Group, g.Phase)
	}
	s.groups = without(s.groups, b.Group)
	for _, m := range g.Members {
		s.memberOf = without(s.memberOf, m.Name)
	}
	return s
}

func (s State) checkGroup(c *change, name string) (Group, bool) {
	g, ok := s.groups[name]
	if !ok {
		c.refuse("Group", "group %q does not exist", name)
		return g, false
	}
	c.presumes(g.Epoch)
	return g, true
}
