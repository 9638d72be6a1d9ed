package group

import (
	"fmt"
	"time"

	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// planner makes one decision.
type planner struct {
	Controller
	in       Input
	desired  map[string]fleet.Group
	servers  map[string]fleet.BackendServer
	taken    map[string]bool // servers that this decision assigned
	blind    bool            // so few servers were heard that the fault is more likely this instance's own
	decision Decision
}

func (p *planner) append(presumes journal.Offset, body placement.Body) {
	p.decision.Records = append(p.decision.Records, placement.Record{
		ID:       p.NewID(),
		Presumes: presumes,
		Writer:   p.in.Self.Name,
		Body:     body,
	})
}

func (p *planner) note(group, server, format string, args ...any) {
	p.decision.Notes = append(p.decision.Notes, Note{group, server, fmt.Sprintf(format, args...)})
}

// removeEnded takes entry instances out that the platform lists as gone.
func (p *planner) removeEnded() {
	for _, ended := range p.in.GoneEntries {
		if !p.in.State.Member(ended) {
			continue
		}
		e, _ := p.in.State.Entry(ended.Name)
		p.append(e.Joined, placement.EntryGone{Process: ended})
		p.note("", "", "entry instance %q is gone", ended.Name)
	}
}

// settleClaims takes the claims over whose process no longer takes part.
func (p *planner) settleClaims() {
	for _, claim := range p.in.State.Claims() {
		if p.in.State.Member(claim.Claimant) {
			continue
		}
		p.append(claim.Offset, placement.OrderTakeover{Server: claim.Server})
		p.note(claim.Group, claim.Server, "claim %d of %q is taken over", claim.Offset, claim.Claimant.Name)
	}
}

// settleQuarantines ends each quarantine that a report disproves.
func (p *planner) settleQuarantines() {
	for _, q := range p.in.State.Quarantines() {
		r, ok := p.in.Reports[q.Server]
		if !ok {
			continue
		}
		obeyed := q.Epoch != 0 && r.Epoch == q.Epoch
		after := r.Observed >= q.Offset
		switch {
		case obeyed, after && q.BootID != "" && r.BootID != q.BootID:
			p.append(q.Offset, placement.Unquarantine{Server: q.Server, BootID: r.BootID, Observed: r.Observed, Epoch: r.Epoch})
			p.note("", q.Server, "quarantine ends: epoch %d, boot ID %q", r.Epoch, r.BootID)
		case after && q.BootID == "":
			p.append(q.Offset, placement.SetQuarantine{Server: q.Server, BootID: r.BootID, Observed: r.Observed})
			p.note("", q.Server, "quarantine holds for boot ID %q", r.BootID)
		}
	}
}

// drainUnwanted drains groups that are not desired in their present form, and
// dissolves the drained ones.
func (p *planner) drainUnwanted() {
	for _, g := range p.in.State.Groups() {
		if g.Phase == placement.PhaseDraining {
			p.dissolveIdle(g)
			continue
		}
		want, ok := p.desired[g.Name]
		if ok && want.Model == g.Model && want.ModelVersion == g.ModelVersion && len(want.Members) == len(g.Members) {
			continue
		}
		p.drain(g, "it is not desired in this form")
	}
}

func (p *planner) drain(g placement.Group, reason string) {
	p.append(g.Epoch, placement.GroupPhase{Group: g.Name, Event: placement.EventDrain})
	p.note(g.Name, "", "drains: %s", reason)
}

func (p *planner) dissolveIdle(g placement.Group) {
	open := p.in.InFlight[g.Name]
	for _, m := range g.Members {
		r := p.in.Reports[m.Name]
		if r.BootID == m.BootID && r.Group == g.Name && !p.lost(m.Name) {
			open += r.InFlight
		}
	}
	if open > 0 {
		return
	}
	p.append(g.Epoch, placement.GroupDissolve{Group: g.Name})
	p.note(g.Name, "", "dissolves with nothing in flight")
}

// lost reports whether the server is gone for good as far as can be known.
func (p *planner) lost(server string) bool {
	if p.in.GoneServers[server] {
		return true
	}
	return !p.blind && p.silence(server) > p.lostAfter()
}

// silence returns how long the server was not heard. One that was never heard
// is silent since this instance began to ask.
func (p *planner) silence(server string) time.Duration {
	heard := p.in.PollingSince
	if r, ok := p.in.Reports[server]; ok {
		heard = r.At
	}
	if heard.IsZero() {
		return 0
	}
	return p.in.Now.Sub(heard)
}

// leaving reports whether the server is about to stop, or no longer configured.
func (p *planner) leaving(server string) bool {
	_, configured := p.servers[server]
	return p.in.LeavingServers[server] || !configured
}

// hearsFew reports whether less than half of the servers were heard.
func (p *planner) hearsFew() bool {
	heard := 0
	for name := range p.servers {
		if p.in.Reports.fresh(name, p.in.Now, p.lostAfter()) {
			heard++
		}
	}
	return 2*heard < len(p.servers)
}

// apart reports whether the server is kept out of every group.
func (p *planner) apart(server string) bool {
	_, quarantined := p.in.State.Quarantine(server)
	_, claimed := p.in.State.Claim(server)
	return quarantined || claimed
}

// usable reports whether the server can be given to a group.
func (p *planner) usable(server string) bool {
	s, ok := p.servers[server]
	if !ok || s.Service != "" || p.taken[server] || p.leaving(server) || p.apart(server) || p.lost(server) {
		return false
	}
	return p.in.Reports.fresh(server, p.in.Now, p.Check.maxAge())
}

// free reports whether the server is usable and in no group.
func (p *planner) free(server string) bool {
	_, in := p.in.State.GroupOf(server)
	return !in && p.usable(server)
}
