package group

import (
	"cmp"
	"slices"

	"github.com/chicorystall/chicorystall/pkg/placement"
)

// loadProgress lists the members of a group that have not loaded its model yet.
type loadProgress struct {
	group       placement.Group
	loading     int      // number of members that are loading the model
	unordered   []int    // ranks of the members that need an order
	unavailable []string // members that can't take an order now
}

func (p loadProgress) missing() int { return p.loading + len(p.unordered) + len(p.unavailable) }

// load advances groups through their phases and orders members to load. It starts
// with the group with the fewest members missing, so that groups become whole one
// after another, since all loads share the bandwidth of the weight store.
func (p *planner) load() {
	var groups []loadProgress
	loading := 0
	for _, g := range p.input.State.Groups() {
		if g.Phase == placement.PhaseDraining || p.changesGroup(g.Name) {
			continue
		}
		p.finishClaims(g)
		progress := p.examineLoads(g)
		loading += progress.loading
		groups = append(groups, progress)
		p.advance(g, progress)
	}
	slices.SortStableFunc(groups, func(a, b loadProgress) int {
		return cmp.Or(a.missing()-b.missing(), cmp.Compare(a.group.Name, b.group.Name))
	})
	slots := p.maxLoads() - loading
	for _, group := range groups {
		for _, rank := range group.unordered {
			if slots <= 0 {
				return
			}
			p.order(group.group, rank)
			slots--
		}
	}
}

// finishClaims orders members that can't load now, but whose order this process has
// claimed and not sent. The outcome of the order ends the claim, which would
// otherwise block a new epoch.
func (p *planner) finishClaims(g placement.Group) {
	for rank, m := range g.Members {
		claim, claimed := p.input.State.Claim(m.Name)
		canLoad := p.input.Reports[m.Name].BootID == m.BootID && !p.lost(m.Name)
		if claimed && !canLoad && claim.Claimant == p.input.Self && claim.Epoch == g.Epoch {
			p.order(g, rank)
		}
	}
}

// changesGroup reports whether this decision gives the group a new epoch or phase
// event.
func (p *planner) changesGroup(group string) bool {
	for _, r := range p.decision.Records {
		if a, ok := r.Body.(placement.GroupAssign); ok && a.Group == group {
			return true
		}
	}
	return p.changesPhase(group)
}

func (p *planner) examineLoads(g placement.Group) loadProgress {
	progress := loadProgress{group: g}
	for rank, m := range g.Members {
		r := p.input.Reports[m.Name]
		_, quarantined := p.input.State.Quarantine(m.Name)
		switch {
		case r.BootID != m.BootID || quarantined || p.lost(m.Name):
			progress.unavailable = append(progress.unavailable, m.Name)
		case !appliedOrder(g, r):
			progress.unordered = append(progress.unordered, rank)
		case r.Loading:
			progress.loading++
		}
	}
	return progress
}

// appliedOrder reports whether the server has applied the order of the group's
// epoch.
func appliedOrder(g placement.Group, r Report) bool {
	return r.Group == g.Name && r.Epoch == g.Epoch && r.Model == g.Model && r.ModelVersion == g.ModelVersion
}

// advance records the next event of the group's state chart, if its condition
// holds.
func (p *planner) advance(g placement.Group, progress loadProgress) {
	event := ""
	switch g.Phase {
	case placement.PhaseForming:
		if len(progress.unordered) < len(g.Members) {
			event = placement.EventLoad
		}
	case placement.PhaseLoading:
		if p.Check.checkLoaded(p.input.State, g, p.input.Reports, p.input.Now) == nil {
			event = placement.EventLoaded
		}
	case placement.PhaseCold:
		if p.Check.checkLoaded(p.input.State, g, p.input.Reports, p.input.Now) == nil && !p.anyCold(g) {
			event = placement.EventWarm
		}
	}
	if event == "" {
		return
	}
	p.addRecord(g.Epoch, placement.GroupPhase{Group: g.Name, Event: event})
	p.addNote(g.Name, "", "in phase %s, event %s", g.Phase, event)
}

func (p *planner) anyCold(g placement.Group) bool {
	return slices.ContainsFunc(g.Members, func(m placement.Member) bool { return p.input.Reports[m.Name].Cold })
}

// order adds the order for a member to the decision, or the claim of the order if
// the server doesn't check fencing numbers and there is no claim yet.
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
	if s.ChecksFence || !p.on(guardClaimFirst) {
		p.decision.Orders = append(p.decision.Orders, o)
		return
	}
	p.orderClaimed(g, o)
}

func (p *planner) orderClaimed(g placement.Group, o Order) {
	claim, claimed := p.input.State.Claim(o.Server)
	switch {
	case g.Ordered[o.Server] != 0:
	case !claimed:
		p.addRecord(g.Epoch, placement.OrderClaim{Server: o.Server, Group: g.Name, Claimant: p.input.Self})
		p.addNote(g.Name, o.Server, "claims the order for epoch %d", g.Epoch)
	case claim.Claimant != p.input.Self:
	case p.input.Sent != nil && p.input.Sent(claim.Offset):
	default:
		o.Claim = claim.Offset
		p.decision.Orders = append(p.decision.Orders, o)
		p.addNote(g.Name, o.Server, "sends the claimed order to load epoch %d", g.Epoch)
	}
}
