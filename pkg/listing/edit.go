package listing

import (
	"maps"
	"slices"

	"github.com/chicorystall/chicorystall/pkg/roster"
)

// edit makes a list from another one.
type edit struct {
	list    List
	changes []Change
	changed bool
}

func (l List) edit() *edit {
	l.entries = maps.Clone(l.entries)
	if l.entries == nil {
		l.entries = map[string]entry{}
	}
	return &edit{list: l, changed: l.roster == nil}
}

func (d *edit) done() (List, []Change) {
	if d.changed {
		servers := make([]roster.Server, 0, len(d.list.entries))
		for _, e := range d.list.entries {
			servers = append(servers, e.server)
		}
		d.list.roster = roster.New(servers)
	}
	return d.list, d.changes
}

// removal is the newest record of a server, if it was removed.
type removal struct {
	offset int64
	late   bool // it, or most that lapsed, had come back before
}

// apply takes a read in. Of each server only the newest record counts: a read
// that follows an absence may hold both an entry and its removal.
func (d *edit) apply(b Batch) {
	newest := make(map[string]Record, len(b.Records))
	gone, back := map[string]removal{}, map[string]bool{}
	for _, r := range b.Records { // in the order of their offsets, unless all are there
		if last, ok := newest[r.ID]; ok && last.Offset >= r.Offset {
			continue
		}
		newest[r.ID] = r
		e, listed := d.list.entries[r.ID]
		_, removed := gone[r.ID]
		switch {
		case r.Removed && listed && (!e.lapsed || back[r.ID]) && r.Offset > e.offset:
			gone[r.ID] = removal{offset: r.Offset, late: back[r.ID] || 2*d.list.regained > d.list.missing}
			if !back[r.ID] {
				d.list.missing++
			}
		case !r.Removed && !back[r.ID] && (removed || listed && e.lapsed):
			d.list.regained++
			back[r.ID] = true
			delete(gone, r.ID)
		case !r.Removed:
			delete(gone, r.ID)
		}
	}
	for id, e := range d.list.entries {
		if _, ok := newest[id]; b.Full && !ok && !e.lapsed {
			gone[id] = removal{offset: b.End - 1} // at the latest
			d.list.missing++
		}
	}
	for id, r := range newest {
		old, known := d.list.entries[id]
		if r.Removed || known && r.Offset <= old.offset {
			continue
		}
		if g, told := d.list.gone[id]; told && r.Offset < g.Offset {
			if !g.Draining {
				continue
			}
			r.Server.Draining = true
		}
		if r.Server.Draining && !(known && old.server.Draining) {
			d.recall(Departure{ID: id, Offset: r.Offset, Draining: true})
		}
		if old.lapsed {
			d.list.kept--
		}
		d.list.entries[id] = entry{server: r.Server, offset: r.Offset}
		d.changed = true
		if !known || old.lapsed || old.server.Draining != r.Server.Draining || !old.server.SameRun(r.Server) {
			d.note(Seen, r.Server, r.Offset, d.list.read)
		}
	}
	d.takeOut(gone)
	d.forget()
}

// takeGone takes servers out that a keeper has read to have left, unless a later
// record is known.
func (d *edit) takeGone(t Announcement) {
	d.list.gone = maps.Clone(d.list.gone)
	if d.list.gone == nil {
		d.list.gone = map[string]Departure{}
	}
	for _, g := range t.Departures {
		if !d.list.isNew(g) || !d.list.rules.on(GuardDepartures) {
			continue
		}
		d.list.gone[g.ID] = g
		e, ok := d.list.entries[g.ID]
		switch {
		case !ok || e.offset >= g.Offset:
		case !g.Draining:
			e.offset = g.Offset
			d.list.entries[g.ID] = e
			d.remove(g.ID, Removed, t.Statement)
		case !e.server.Draining:
			e.server.Draining, d.changed = true, true
			d.list.entries[g.ID] = e
			d.note(Seen, e.server, g.Offset, t.Statement)
		}
	}
	d.forget()
}

// forget drops what was told of and is known from reads by now, and the oldest of
// the rest if they are many.
func (d *edit) forget() {
	if len(d.list.gone) == 0 {
		return
	}
	var offsets []int64
	for _, g := range d.list.gone {
		offsets = append(offsets, g.Offset)
	}
	slices.Sort(offsets)
	oldest := offsets[max(len(offsets)-maxGone, 0)]
	d.list.gone = maps.Clone(d.list.gone)
	maps.DeleteFunc(d.list.gone, func(_ string, g Departure) bool { return g.Offset < d.list.read.End || g.Offset < oldest })
}

// recall notes that a server left, for the others to be told.
func (d *edit) recall(g Departure) {
	kept := slices.DeleteFunc(slices.Clone(d.list.recent), func(r recent) bool { return d.list.read.At-r.at > tellFor })
	d.list.recent = append(kept, recent{Departure: g, at: d.list.read.At})
}

// takeOut takes removals in. In the time after the store was away they are taken
// as lapses if most entries went, since all servers were silent then; a few that
// went were removed by their owners, and so were those that went before the
// absence or after the return.
func (d *edit) takeOut(gone map[string]removal) {
	returning := d.list.returned > 0 && d.list.read.At-d.list.returned <= d.list.rules.Grace
	lapse := returning && (2*d.list.missing > d.list.before || !d.list.rules.on(GuardMajority))
	for id, r := range gone {
		e := d.list.entries[id]
		e.offset = r.offset
		d.list.entries[id] = e
		late := r.late && d.list.rules.on(GuardAfterRecovery)
		early := r.offset < d.list.known && d.list.rules.on(GuardBeforeOutage)
		if !lapse || late || early || d.list.settled(r.offset) {
			d.remove(id, Removed, d.list.read)
			continue
		}
		e.lapsed = true
		d.list.kept++
		d.list.entries[id] = e
		d.note(Lapsed, e.server, r.offset, d.list.read)
	}
	for id, e := range d.list.entries {
		if e.lapsed && !returning {
			d.remove(id, Missing, d.list.read)
		}
	}
}

func (d *edit) remove(id string, event Event, by Statement) {
	e := d.list.entries[id]
	delete(d.list.entries, id)
	d.changed = true
	if e.lapsed {
		d.list.kept--
	}
	if event != Ended { // no record says so
		d.recall(Departure{ID: id, Offset: e.offset})
	}
	d.note(event, e.server, e.offset, by)
}

func (d *edit) note(event Event, s roster.Server, offset int64, by Statement) {
	d.changes = append(d.changes, Change{Event: event, Server: s, Offset: offset, By: by})
}
