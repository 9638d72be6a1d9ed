package group

import (
	"fmt"
	"time"

	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// planner computes one decision.
type planner struct {
	Controller
	input      Input
	desired    map[string]fleet.Group
	servers    map[string]fleet.BackendServer
	assigned   map[string]bool // servers that this decision assigns to a group
	fewReports bool            // result of fewServersReport
	decision   Decision
}

func (p *planner) addRecord(presumes journal.Offset, body placement.Body) {
	p.decision.Records = append(p.decision.Records, placement.Record{
		ID:       p.NewID(),
		Presumes: presumes,
		Writer:   p.input.Self.Name,
		Body:     body,
	})
}

func (p *planner) addNote(group, server, format string, args ...any) {
	p.decision.Notes = append(p.decision.Notes, Note{group, server, fmt.Sprintf(format, args...)})
}

// removeGoneEntries removes the entry instances that the platform lists as gone.
func (p *planner) removeGoneEntries() {
	for _, ended := range p.input.GoneEntries {
		if !p.input.State.HasJoined(ended) {
			continue
		}
		e, _ := p.input.State.Entry(ended.Name)
		p.addRecord(e.Joined, placement.EntryGone{Process: ended})
		p.addNote("", "", "the platform lists entry instance %q as gone", ended.Name)
	}
}

// takeOverClaims takes over the claims of processes that are no longer in the
// placement.
func (p *planner) takeOverClaims() {
	for _, claim := range p.input.State.Claims() {
		if p.input.State.HasJoined(claim.Claimant) {
			continue
		}
		p.addRecord(claim.Offset, placement.OrderTakeover{Server: claim.Server})
		p.addNote(claim.Group, claim.Server, "claim %d of entry instance %q is taken over", claim.Offset, claim.Claimant.Name)
	}
}

// updateQuarantines ends each quarantine whose server reports that it applied the
// order of unknown outcome, or has another boot ID than the quarantined run. If the
// quarantine has no boot ID yet, it records the reported one.
func (p *planner) updateQuarantines() {
	for _, q := range p.input.State.Quarantines() {
		r, ok := p.input.Reports[q.Server]
		if !ok {
			continue
		}
		applied := q.Epoch != 0 && r.Epoch == q.Epoch
		observedSince := r.Observed >= q.Offset
		switch {
		case applied, observedSince && q.BootID != "" && r.BootID != q.BootID:
			p.addRecord(q.Offset, placement.Unquarantine{Server: q.Server, BootID: r.BootID, Observed: r.Observed, Epoch: r.Epoch})
			p.addNote("", q.Server, "quarantine ends: the server reports epoch %d and boot ID %q", r.Epoch, r.BootID)
		case observedSince && q.BootID == "":
			p.addRecord(q.Offset, placement.SetQuarantine{Server: q.Server, BootID: r.BootID, Observed: r.Observed})
			p.addNote("", q.Server, "quarantine applies to boot ID %q", r.BootID)
		}
	}
}

// drainUndesired drains groups whose model, version or size differs from the desired
// one or that are not desired at all, and dissolves the drained ones.
func (p *planner) drainUndesired() {
	for _, g := range p.input.State.Groups() {
		if g.Phase == placement.PhaseDraining {
			p.dissolveIfIdle(g)
			continue
		}
		want, ok := p.desired[g.Name]
		if ok && want.Model == g.Model && want.ModelVersion == g.ModelVersion && len(want.Members) == len(g.Members) {
			continue
		}
		p.drain(g, "it is not desired with this model, version and size")
	}
}

func (p *planner) drain(g placement.Group, reason string) {
	p.addRecord(g.Epoch, placement.GroupPhase{Group: g.Name, Event: placement.EventDrain})
	p.addNote(g.Name, "", "drains: %s", reason)
}

func (p *planner) dissolveIfIdle(g placement.Group) {
	inFlight := p.input.InFlight[g.Name]
	for _, m := range g.Members {
		r := p.input.Reports[m.Name]
		if r.BootID == m.BootID && r.Group == g.Name && !p.lost(m.Name) {
			inFlight += r.InFlight
		}
	}
	if inFlight > 0 {
		return
	}
	p.addRecord(g.Epoch, placement.GroupDissolve{Group: g.Name})
	p.addNote(g.Name, "", "dissolves: no request is in flight")
}

// lost reports whether the server is assumed to be gone for good: the platform lists
// it as gone, or it has not reported for too long while at least half of the servers
// did.
func (p *planner) lost(server string) bool {
	if p.input.GoneServers[server] {
		return true
	}
	return !p.fewReports && p.sinceLastReport(server) > p.lostAfter()
}

// sinceLastReport returns the age of the server's last report. For a server without
// a report it counts from when this instance began to poll.
func (p *planner) sinceLastReport(server string) time.Duration {
	lastReport := p.input.PollingSince
	if r, ok := p.input.Reports[server]; ok {
		lastReport = r.At
	}
	if lastReport.IsZero() {
		return 0
	}
	return p.input.Now.Sub(lastReport)
}

// leaving reports whether the server is about to stop or no longer configured.
func (p *planner) leaving(server string) bool {
	_, configured := p.servers[server]
	return p.input.LeavingServers[server] || !configured
}

// fewServersReport reports whether less than half of the servers have a recent
// report. Then the fault is more likely at this entry instance, and no server counts
// as lost unless the platform lists it as gone.
func (p *planner) fewServersReport() bool {
	reporting := 0
	for name := range p.servers {
		if p.input.Reports.fresh(name, p.input.Now, p.lostAfter()) {
			reporting++
		}
	}
	return 2*reporting < len(p.servers)
}

// excluded reports whether the log refuses to assign the server to a group, because
// it is in quarantine or its order is claimed.
func (p *planner) excluded(server string) bool {
	_, quarantined := p.input.State.Quarantine(server)
	_, claimed := p.input.State.Claim(server)
	return quarantined || claimed
}

// usable reports whether the server can be assigned to a group.
func (p *planner) usable(server string) bool {
	s, ok := p.servers[server]
	if !ok || s.Service != "" || p.assigned[server] || p.leaving(server) || p.excluded(server) || p.lost(server) {
		return false
	}
	return p.input.Reports.fresh(server, p.input.Now, p.Check.maxAge())
}

// free reports whether the server is usable and in no group.
func (p *planner) free(server string) bool {
	_, assigned := p.input.State.GroupOf(server)
	return !assigned && p.usable(server)
}
