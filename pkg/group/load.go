package group

import (
	"cmp"
	"slices"

	"github.com/chicorystall/chicorystall/pkg/placement"
)

// work is what a group still needs from its members.
type work struct {
	group   placement.Group
	loading int      // members that were ordered and are not ready
	waiting []int    // places of members that need an order
	idle    []string // members that cannot be ordered now
}

func (w work) left() int { return w.loading + len(w.waiting) + len(w.idle) }

// load moves groups through their phases and orders members to load. The group
// that lacks fewest members goes first, so that groups become whole one after
// the other while the weight store's rate is shared.
func (p *planner) load() {
	var list []work
	loading := 0
	for _, g := range p.in.State.Groups() {
		if g.Phase == placement.PhaseDraining || p.changes(g.Name) {
			continue
		}
		p.finishClaims(g)
		w := p.examineLoads(g)
		loading += w.loading
		list = append(list, w)
		p.advance(g, w)
	}
	slices.SortStableFunc(list, func(a, b work) int {
		return cmp.Or(a.left()-b.left(), cmp.Compare(a.group.Name, b.group.Name))
	})
	slots := p.maxLoads() - loading
	for _, w := range list {
		for _, rank := range w.waiting {
			if slots <= 0 {
				return
			}
			p.order(w.group, rank)
			slots--
		}
	}
}

// finishClaims orders members that are not fit to load, but whose order this
// process has claimed and not sent. Its outcome ends the claim, which would hold
// a new epoch up.
func (p *planner) finishClaims(g placement.Group) {
	for rank, m := range g.Members {
		claim, claimed := p.in.State.Claim(m.Name)
		fit := p.in.Reports[m.Name].BootID == m.BootID && !p.lost(m.Name)
		if claimed && !fit && claim.Claimant == p.in.Self && claim.Epoch == g.Epoch {
			p.order(g, rank)
		}
	}
}

// changes reports whether this decision gives the group a new epoch or phase.
func (p *planner) changes(group string) bool {
	for _, r := range p.decision.Records {
		if a, ok := r.Body.(placement.GroupAssign); ok && a.Group == group {
			return true
		}
	}
	return p.decided(group)
}

func (p *planner) examineLoads(g placement.Group) work {
	w := work{group: g}
	for rank, m := range g.Members {
		r := p.in.Reports[m.Name]
		_, quarantined := p.in.State.Quarantine(m.Name)
		switch {
		case r.BootID != m.BootID || quarantined || p.lost(m.Name):
			w.idle = append(w.idle, m.Name)
		case !matches(g, r):
			w.waiting = append(w.waiting, rank)
		case r.Loading:
			w.loading++
		}
	}
	return w
}

// matches reports whether the server obeyed the order of this epoch.
func matches(g placement.Group, r Report) bool {
	return r.Group == g.Name && r.Epoch == g.Epoch && r.Model == g.Model && r.ModelVersion == g.ModelVersion
}

// advance records the events of the group's chart that have come about.
func (p *planner) advance(g placement.Group, w work) {
	event := ""
	switch g.Phase {
	case placement.PhaseForming:
		if len(w.waiting) < len(g.Members) {
			event = placement.EventLoad
		}
	case placement.PhaseLoading:
		if p.Check.loaded(p.in.State, g, p.in.Reports, p.in.Now) == nil {
			event = placement.EventLoaded
		}
	case placement.PhaseCold:
		if p.Check.loaded(p.in.State, g, p.in.Reports, p.in.Now) == nil && !p.cold(g) {
			event = placement.EventWarm
		}
	}
	if event == "" {
		return
	}
	p.append(g.Epoch, placement.GroupPhase{Group: g.Name, Event: event})
	p.note(g.Name, "", "is %s, event %s", g.Phase, event)
}

func (p *planner) cold(g placement.Group) bool {
	return slices.ContainsFunc(g.Members, func(m placement.Member) bool { return p.in.Reports[m.Name].Cold })
}

// order sends a member its order, or claims it first.
func (p *planner) order(g placement.Group, rank int) {
	m := g.Members[rank]
	s := p.servers[m.Name]
	o := Order{
		Server:       m.Name,
		Address:      s.Address,
		BootID:       m.BootID,
		Group:        g.Name,
		Epoch:        g.Epoch,
		Model:        g.Model,
		ModelVersion: g.ModelVersion,
		Rank:         rank,
		Members:      g.Members,
		Fence:        g.Epoch,
	}
	if !p.on(guardFence) {
		o.Fence = 1 << 62
	}
	if s.ChecksFence || !p.on(guardClaim) {
		p.decision.Orders = append(p.decision.Orders, o)
		return
	}
	p.orderClaimed(g, o)
}

func (p *planner) orderClaimed(g placement.Group, o Order) {
	claim, claimed := p.in.State.Claim(o.Server)
	switch {
	case g.Ordered[o.Server] != 0:
	case !claimed:
		p.append(g.Epoch, placement.OrderClaim{Server: o.Server, Group: g.Name, Claimant: p.in.Self})
		p.note(g.Name, o.Server, "claims the order for epoch %d", g.Epoch)
	case claim.Claimant != p.in.Self:
	case p.in.Sent != nil && p.in.Sent(claim.Offset):
	default:
		o.Claim = claim.Offset
		p.decision.Orders = append(p.decision.Orders, o)
		p.note(g.Name, o.Server, "is ordered to load epoch %d", g.Epoch)
	}
}
