package listing

import (
	"maps"
	"time"

	"github.com/chicorystall/chicorystall/pkg/position"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

const (
	// leftDuration is the time for which runs that left are remembered. It exceeds the age
	// of the copies from which the store is restored.
	leftDuration = time.Minute
	maxLeft      = 1024 // runs that are remembered
)

// departed is a run of a server that left.
type departed struct {
	run, seq int64             // of its last entry
	offset   position.Position // of its removal
	at       time.Duration
}

// isOlder reports whether a server wrote an entry before the one with a run and a sequence
// number.
func isOlder(s roster.Server, run, seq int64) bool {
	return roster.IsLaterRun(run, s.StartUnixMilli) || s.StartUnixMilli == run && s.EntrySeq < seq
}

// isCopyOf reports whether a record of a restored store is an older state of an entry.
func isCopyOf(e entry, r Record) bool {
	return r.Offset.Era() > e.offset.Era() && isOlder(r.Server, e.server.StartUnixMilli, e.server.EntrySeq)
}

// hadLeft reports whether a record of a restored store is of a run that had left, or may
// have, and that hasn't written since. The entry is the one that is known, if there is one.
func (d *editor) hadLeft(e entry, known bool, r Record) bool {
	if known && !e.lapsed && !e.withheld {
		return false
	}
	if e.lapsed && r.Offset.Era() > e.offset.Era() && isOlder(r.Server, e.server.StartUnixMilli, e.server.EntrySeq+1) {
		return true
	}
	g, ok := d.list.left[r.ID]
	return ok && r.Offset.Era() > g.offset.Era() && isOlder(r.Server, g.run, g.seq+1)
}

// recordLeft remembers a run whose entry is removed.
func (d *editor) recordLeft(s roster.Server, offset position.Position) {
	now := d.list.read.At
	d.list.left = maps.Clone(d.list.left)
	if d.list.left == nil {
		d.list.left = map[string]departed{}
	}
	maps.DeleteFunc(d.list.left, func(_ string, g departed) bool { return now-g.at > leftDuration })
	next := departed{run: s.StartUnixMilli, seq: s.EntrySeq, offset: offset, at: now}
	g, known := d.list.left[s.ID]
	if known && isOlder(s, g.run, g.seq) {
		next.run, next.seq = g.run, g.seq
	}
	if known || len(d.list.left) < maxLeft {
		d.list.left[s.ID] = next
	}
}

// forgetLeft forgets the departure of a server that registered again.
func (d *editor) forgetLeft(id string) {
	if _, ok := d.list.left[id]; ok {
		d.list.left = maps.Clone(d.list.left)
		delete(d.list.left, id)
	}
}

// forgetReturned forgets the departures of servers that a keeper lists later in the same era.
func (l *List) forgetReturned(t Announcement) {
	if len(l.left) == 0 {
		return
	}
	cloned := false
	for _, p := range t.Places {
		g, ok := l.left[p.ID]
		if !ok || t.End <= g.offset || t.End.Era() != g.offset.Era() {
			continue
		}
		if !cloned { // announcements come often, and few lists have such a server
			l.left, cloned = maps.Clone(l.left), true
		}
		delete(l.left, p.ID)
	}
}

// releaseWithheld takes the withheld entries as the store lists them, if it has answered
// for Rules.RestoreGrace.
func (d *editor) releaseWithheld(began time.Duration) {
	if d.list.withheld == 0 || began-max(d.list.eraAt, d.list.outageEnd) <= d.list.rules.RestoreGrace {
		return
	}
	for id, e := range d.list.entries {
		if e.withheld {
			e.withheld, e.server.Draining, d.rosterChanged = false, false, true
			d.list.entries[id] = e
			d.list.withheld--
			d.forgetLeft(id)
			d.addChange(Seen, e.server, e.offset, d.list.read)
		}
	}
}

// latestRemoval returns the latest position of the removal of an entry that isn't in a list
// that was read to its end. A restored store may just have lost the entry, which no record
// says and no keeper can have read.
func (d *editor) latestRemoval(end position.Position) position.Position {
	if d.list.restored && d.list.followedFrom == end {
		return end.Start() - 1
	}
	return end - 1
}
