package listing

import (
	"maps"
	"slices"

	"github.com/chicorystall/chicorystall/pkg/position"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// editor builds a new list from a copy of another one.
type editor struct {
	list          List
	changes       []Change
	rosterChanged bool
}

func (l List) edit() *editor {
	l.entries = maps.Clone(l.entries)
	if l.entries == nil {
		l.entries = map[string]entry{}
	}
	return &editor{list: l, rosterChanged: l.roster == nil}
}

// finish returns the new list and its changes.
func (d *editor) finish() (List, []Change) {
	if d.rosterChanged {
		servers := make([]roster.Server, 0, len(d.list.entries))
		for _, e := range d.list.entries {
			servers = append(servers, e.server)
		}
		d.list.roster = roster.New(servers)
	}
	return d.list, d.changes
}

// removal is the removal of a server's entry by its newest record.
type removal struct {
	offset        position.Position
	missing       bool // there is no such record, the entry is not in the list that was read
	afterRecovery bool // before it, this server or most of the lapsed ones had registered again
}

// applyRead applies a read of the list. Only the newest record of each server
// counts, since a read after an outage may contain both an entry and its removal.
func (d *editor) applyRead(b Batch) {
	newest := make(map[string]Record, len(b.Records))
	removals, registered := map[string]removal{}, map[string]bool{}
	for _, r := range b.Records { // sorted by offset, unless the batch is full
		if last, ok := newest[r.ID]; ok && last.Offset >= r.Offset {
			continue
		}
		if last, ok := newest[r.ID]; ok && r.Removed && !last.Removed {
			d.recordLeft(last.Server, r.Offset)
		}
		newest[r.ID] = r
		e, listed := d.list.entries[r.ID]
		_, removed := removals[r.ID]
		switch {
		case r.Removed && listed && (!e.lapsed || registered[r.ID]) && r.Offset > e.offset:
			removals[r.ID] = removal{offset: r.Offset, afterRecovery: registered[r.ID] || 2*d.list.registeredAgain > d.list.removedSinceOutage}
			if !registered[r.ID] {
				d.list.removedSinceOutage++
			}
		case !r.Removed && !registered[r.ID] && (removed || listed && e.lapsed):
			d.list.registeredAgain++
			registered[r.ID] = true
			delete(removals, r.ID)
		case !r.Removed:
			delete(removals, r.ID)
		}
	}
	for id, e := range d.list.entries {
		if _, ok := newest[id]; b.Full && !ok && !e.lapsed {
			removals[id] = removal{offset: d.latestRemoval(b.End), missing: true}
			d.list.removedSinceOutage++
		}
	}
	for id, r := range newest {
		old, known := d.list.entries[id]
		if r.Removed || known && r.Offset <= old.offset {
			continue
		}
		if known && !old.lapsed && isCopyOf(old, r) {
			old.offset = r.Offset
			d.list.entries[id] = old
			continue
		}
		if g, announced := d.list.announced[id]; announced && r.Offset < g.Offset {
			if !g.Draining {
				continue
			}
			r.Server.Draining = true
		}
		withheld := !r.Server.Draining && d.hadLeft(old, known, r)
		if withheld {
			d.list.withheld++
			if old.lapsed {
				d.recordLeft(old.server, old.offset)
			}
			r.Server.Draining = true
		}
		if r.Server.Draining && !withheld && !(known && old.server.Draining) {
			d.recordDeparture(Departure{ID: id, Offset: r.Offset, Draining: true})
		}
		if old.lapsed {
			d.list.lapsedEntries--
		}
		if old.withheld {
			d.list.withheld--
		}
		d.list.entries[id] = entry{server: r.Server, offset: r.Offset, withheld: withheld}
		d.rosterChanged = true
		if !withheld {
			d.forgetLeft(id)
		}
		if withheld {
			d.addChange(Withheld, r.Server, r.Offset, d.list.read)
		} else if !known || old.lapsed || old.server.Draining != r.Server.Draining || !old.server.SameRun(r.Server) {
			d.addChange(Seen, r.Server, r.Offset, d.list.read)
		}
	}
	d.applyRemovals(removals)
	d.releaseWithheld(b.Began)
	d.pruneAnnounced()
}

// applyDepartures removes the servers that a keeper announced to have left, and marks
// those that it announced to be draining, unless a later record is known.
func (d *editor) applyDepartures(t Announcement) {
	d.list.announced = maps.Clone(d.list.announced)
	if d.list.announced == nil {
		d.list.announced = map[string]Departure{}
	}
	for _, g := range t.Departures {
		if !d.list.isNew(g) || !d.list.rules.enabled(GuardDepartures) {
			continue
		}
		d.list.announced[g.ID] = g
		e, ok := d.list.entries[g.ID]
		switch {
		case !ok || e.offset >= g.Offset:
		case !g.Draining:
			e.offset = g.Offset
			d.list.entries[g.ID] = e
			d.remove(g.ID, Removed, t.Statement)
		case !e.server.Draining:
			e.server.Draining, d.rosterChanged = true, true
			d.list.entries[g.ID] = e
			d.addChange(Seen, e.server, g.Offset, t.Statement)
		}
	}
	d.pruneAnnounced()
}

// pruneAnnounced drops the announced departures that this instance has read by now,
// and the oldest of the rest if there are more than maxKeptDepartures.
func (d *editor) pruneAnnounced() {
	if len(d.list.announced) == 0 {
		return
	}
	var offsets []position.Position
	for _, g := range d.list.announced {
		offsets = append(offsets, g.Offset)
	}
	slices.Sort(offsets)
	oldest := offsets[max(len(offsets)-maxKeptDepartures, 0)]
	d.list.announced = maps.Clone(d.list.announced)
	maps.DeleteFunc(d.list.announced, func(_ string, g Departure) bool { return g.Offset < d.list.read.End || g.Offset < oldest })
}

// recordDeparture records that a server left, so that it is announced to the peers.
func (d *editor) recordDeparture(g Departure) {
	kept := slices.DeleteFunc(slices.Clone(d.list.departures), func(r recentDeparture) bool { return d.list.read.At-r.readAt > announceDuration })
	d.list.departures = append(kept, recentDeparture{Departure: g, readAt: d.list.read.At})
}

// applyRemovals applies the removals of a read. During the grace after a store
// outage, removals count as lapses if most entries were removed, since no server
// could renew its entry then. If only a few were removed, their owners removed them.
// The same holds for entries that were removed before the outage, or after the server
// itself or most of the lapsed ones had registered again.
func (d *editor) applyRemovals(removals map[string]removal) {
	duringGrace := d.list.outageEnd > 0 && d.list.read.At-d.list.outageEnd <= d.list.rules.Grace
	mayBeOneOfMany := duringGrace && d.list.mayLapse && (2*d.list.removedSinceOutage > d.list.entriesBeforeOutage || !d.list.rules.enabled(GuardMajority))
	for id, r := range removals {
		e := d.list.entries[id]
		e.offset = r.offset
		d.list.entries[id] = e
		afterRecovery := r.afterRecovery && d.list.rules.enabled(GuardAfterRecovery)
		mayBeLapse := mayBeOneOfMany || duringGrace && d.list.restored && r.missing
		beforeOutage := r.offset < d.list.endBeforeOutage && d.list.rules.enabled(GuardBeforeOutage)
		if !mayBeLapse || afterRecovery || beforeOutage || d.list.removalConfirmed(r.offset) {
			d.remove(id, Removed, d.list.read)
			continue
		}
		e.lapsed = true
		d.list.lapsedEntries++
		d.list.entries[id] = e
		d.addChange(Lapsed, e.server, r.offset, d.list.read)
	}
	for id, e := range d.list.entries {
		if e.lapsed && !duringGrace {
			d.remove(id, Missing, d.list.read)
		}
	}
}

func (d *editor) remove(id string, event Event, by Statement) {
	e := d.list.entries[id]
	delete(d.list.entries, id)
	d.rosterChanged = true
	if e.lapsed {
		d.list.lapsedEntries--
	}
	if e.withheld {
		d.list.withheld--
	}
	d.recordLeft(e.server, e.offset)
	if event != Ended { // no record of the list states it
		d.recordDeparture(Departure{ID: id, Offset: e.offset})
	}
	d.addChange(event, e.server, e.offset, by)
}

func (d *editor) addChange(event Event, s roster.Server, offset position.Position, by Statement) {
	d.changes = append(d.changes, Change{Event: event, Server: s, Offset: offset, By: by})
}
