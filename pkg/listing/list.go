package listing

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/roster"
)

// Rules are what a list goes by.
type Rules struct {
	// OutageThreshold is the shortest absence of the store in which entries of living
	// servers lapse.
	OutageThreshold time.Duration
	// Grace is how long after the store's return such entries may be missing.
	Grace time.Duration
	// MaxAnnouncementAge is how old a keeper's word may be to go before a newer read: a keeper
	// knows of a change of its groups before the list does.
	MaxAnnouncementAge time.Duration
	// AgeTolerance is a difference of age that may come from the way of a word.
	AgeTolerance time.Duration
	// Disabled are guards that are switched off, in tests only.
	Disabled Guard
}

// List is what is believed of the servers' entries. It is immutable. Use New.
type List struct {
	rules   Rules
	read    Statement
	entries map[string]entry
	told    map[string]Announcement // by data centre
	gone    map[string]Departure    // told of, by records that the own reads may not have
	recent  []recent                // read here
	roster  *roster.Roster

	kept     int           // entries that have lapsed
	answered time.Duration // when the store is known to have answered anyone last
	since    int64         // offset from which on the list was followed without an absence
	returned time.Duration // when the store was back from its last absence
	known    int64         // how far anyone that is heard had read when that absence began
	before   int           // entries when it began
	missing  int           // of these, those that were removed since
	regained int           // of those, the ones that came back
}

// entry is a server's entry and the record that it came from.
type entry struct {
	server roster.Server
	offset int64
	lapsed bool // removed, perhaps only since the store was away
}

// recent is a server that left, and when that was read.
type recent struct {
	Departure
	at time.Duration
}

const (
	// tellFor is how long a server that left is told of: some words may be lost.
	tellFor = 2 * time.Second
	// maxTold bounds the servers that are told of, maxGone those kept that were told of.
	maxTold = 64
	maxGone = 1024
)

// New returns an empty list.
func New(rules Rules) List { return List{rules: rules} }

// Rules returns what the list goes by.
func (l List) Rules() Rules { return l.rules }

// Record is a record of the list: an entry, or a removal.
type Record struct {
	ID      string
	Offset  int64
	Removed bool
	Server  roster.Server
}

// Batch is what one read of the list brought.
type Batch struct {
	Records      []Record
	Full         bool // has a record of each server, so that others are gone
	AfterFailure bool // the read before it failed
	End          int64
	Began        time.Duration // of the read
	Ended        time.Duration // when the store had answered, at the earliest
}

// Event is what a change did to an entry.
type Event int

// The events.
const (
	Seen    Event = iota // it is new, or says something else than before
	Lapsed               // it was removed, and is kept for a while
	Removed              // its server has left
	Missing              // it lapsed and did not come back
	Ended                // another server answers at its address
)

// Change is a change of what is believed of a server.
type Change struct {
	Event  Event
	Server roster.Server
	Offset int64
	By     Statement
}

// LastRead returns this instance's own last read.
func (l List) LastRead() Statement { return l.read }

// FollowedFrom returns the offset from which on the list was followed while the store
// answered.
func (l List) FollowedFrom() int64 { return l.since }

// RecentDepartures returns the servers that lately left, the newest first.
func (l List) RecentDepartures(now time.Duration) []Departure {
	var gone []Departure
	for _, r := range slices.Backward(l.recent) {
		if now-r.at > tellFor || len(gone) == maxTold {
			break
		}
		gone = append(gone, r.Departure)
	}
	return gone
}

// Roster returns the servers that the own reads know of.
func (l List) Roster() *roster.Roster { return l.roster }

// HasLapsed reports whether entries that have lapsed are kept.
func (l List) HasLapsed() bool { return l.kept > 0 }

// WithRead returns the list after a read.
func (l List) WithRead(b Batch) (List, []Change) {
	first := l.read == Statement{}
	known := l.furthest()
	l.read = Statement{Source: OwnRead, End: max(l.read.End, b.End), At: max(l.read.At, b.Ended)}
	switch {
	case first:
		l.since = b.End
	case b.AfterFailure && (b.Began-l.answered >= l.rules.OutageThreshold || !l.rules.on(GuardPeerAnswers)):
		// Nobody that is heard had an answer for so long that entries may have lapsed.
		l.returned, l.since, l.known = b.Ended, b.End, known
		l.before, l.missing, l.regained = len(l.entries), l.kept, 0
	}
	l.answered = max(l.answered, b.Ended)
	d := l.edit()
	d.apply(b)
	return d.done()
}

// WithAnnouncement returns the list after a keeper's word on a data centre. The word is
// left out when another keeper has told what is newer.
func (l List) WithAnnouncement(dataCentre string, t Announcement) (List, []Change) {
	l.answered = max(l.answered, t.At)
	if old, ok := l.told[dataCentre]; !ok || !l.newer(old.Statement, Statement{End: t.End, At: t.At + l.rules.AgeTolerance}) {
		l.told = maps.Clone(l.told)
		if l.told == nil {
			l.told = map[string]Announcement{}
		}
		l.told[dataCentre] = t
	}
	if !l.HasLapsed() && !slices.ContainsFunc(t.Departures, l.isNew) {
		return l, nil
	}
	d := l.edit()
	d.takeGone(t)
	for id, e := range d.list.entries {
		if e.lapsed && d.list.settled(e.offset) {
			d.remove(id, Removed, t.Statement)
		}
	}
	return d.done()
}

// WithoutEndedRun returns the list after another server answered at a server's
// address: that start of it has ended, whatever its entry says.
func (l List) WithoutEndedRun(s roster.Server, at time.Duration) (List, []Change) {
	e, ok := l.entries[s.ID]
	if !ok || !e.server.SameRun(s) || e.server.Address != s.Address {
		return l, nil
	}
	d := l.edit()
	d.remove(s.ID, Ended, Statement{Source: Answer, End: e.offset + 1, At: at})
	return d.done()
}

// newer reports whether a statement goes before another one.
func (l List) newer(s, than Statement) bool {
	if !l.rules.on(GuardOffsetOrder) {
		return s.At > than.At
	}
	return s.Newer(than)
}

// isNew reports whether neither a read nor a word has told of a record yet.
func (l List) isNew(g Departure) bool {
	return g.Offset >= l.read.End && g.Offset > l.gone[g.ID].Offset
}

// WithoutExpired returns the list at a time: entries that lapsed are given up.
func (l List) WithoutExpired(now time.Duration) (List, []Change) {
	if now-l.returned <= l.rules.Grace || !l.HasLapsed() {
		return l, nil
	}
	d := l.edit()
	for id, e := range l.entries {
		if e.lapsed {
			d.remove(id, Missing, l.read)
		}
	}
	return d.done()
}

// Announcement returns the last word on a data centre.
func (l List) Announcement(dataCentre string) (Announcement, bool) {
	t, ok := l.told[dataCentre]
	return t, ok
}

// PreferredAnnouncements returns the words that go before the own reads, by data centre.
func (l List) PreferredAnnouncements(now time.Duration) map[string]Announcement {
	words := map[string]Announcement{}
	for dataCentre, t := range l.told {
		if now-t.At < l.rules.MaxAnnouncementAge || l.newer(t.Statement, l.read) {
			words[dataCentre] = t
		}
	}
	return words
}

// Refutes reports whether a server is known to be draining or gone by a record
// that a statement can't rest on, since its source had not read so far.
func (l List) Refutes(id string, s Statement) bool {
	if !l.rules.on(GuardOffsetOrder) {
		return false
	}
	if g, ok := l.gone[id]; ok && s.End > 0 && s.End <= g.Offset {
		return true
	}
	if s.End == 0 || l.read.End <= s.End {
		return false
	}
	e, ok := l.entries[id]
	return !ok || e.server.Draining
}

// settled reports whether a keeper has read the removal at an offset while the
// store answered it.
func (l List) settled(offset int64) bool {
	for _, t := range l.told {
		if l.rules.on(GuardKeeperRead) && t.FollowedFrom <= offset && offset < t.End {
			return true
		}
	}
	return false
}

// furthest returns how far anyone is known to have read.
func (l List) furthest() int64 {
	end := l.read.End
	for _, t := range l.told {
		end = max(end, t.End)
	}
	return end
}
