package listing

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/position"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// Rules are the parameters for merging the sources of a list.
type Rules struct {
	// OutageThreshold is the shortest store outage in which entries of running servers can
	// lapse.
	OutageThreshold time.Duration
	// Grace is the time after a store outage for which lapsed entries are kept.
	Grace time.Duration
	// MaxAnnouncementAge is the age up to which an announcement takes precedence over a newer read,
	// since a keeper knows about changes of its groups before the list shows them.
	MaxAnnouncementAge time.Duration
	// RestoreGrace is the time after a restore of the store for which servers that are known
	// to have left stay so although the store lists them. By then the store has removed the
	// entries of those that don't write any more.
	RestoreGrace time.Duration
	// AgeTolerance is the difference in age between announcements that transmission may cause.
	AgeTolerance time.Duration
	// Disabled holds the guards that have no effect. Only tests set it.
	Disabled Guard
}

// List is an immutable view of the servers' entries, merged from all sources. Use
// New to create one.
type List struct {
	rules         Rules
	read          Statement               // the last read of this instance
	entries       map[string]entry        // by server ID
	announcements map[string]Announcement // by data centre
	announced     map[string]Departure    // announced by keepers and perhaps not read here yet, by server ID
	departures    []recentDeparture       // read here, in the order of reading
	roster        *roster.Roster

	lapsedEntries       int               // number of lapsed entries
	storeAnsweredAt     time.Duration     // latest time at which the store is known to have answered any instance
	followedFrom        position.Position // from which on the list was followed without a store outage
	outageEnd           time.Duration     // end of the last store outage
	endBeforeOutage     position.Position // highest end that this instance or a keeper had read when that outage began
	entriesBeforeOutage int               // number of entries when that outage began
	removedSinceOutage  int               // number of these that were lapsed already or were removed since
	registeredAgain     int               // number of the lapsed or removed ones that registered again

	mayLapse bool                // that outage lasted long enough for entries of running servers to lapse
	restored bool                // it ended with a restore of the store from a copy
	era      int64               // latest era that this instance or a keeper has read
	eraAt    time.Duration       // when that was first known to have begun
	left     map[string]departed // runs that left, by server ID
	withheld int                 // number of withheld entries
}

// entry is a server's entry and the position of its record.
type entry struct {
	server   roster.Server
	offset   position.Position
	withheld bool // listed by a restored store although its server had left; kept as draining for Rules.RestoreGrace
	lapsed   bool // removed, perhaps only because of a store outage; kept for Rules.Grace
}

// recentDeparture is the departure of a server and the time at which it was read.
type recentDeparture struct {
	Departure
	readAt time.Duration
}

const (
	// announceDuration is the time for which a departure is announced, repeatedly since
	// some digests may be lost.
	announceDuration = 2 * time.Second
	// maxAnnounced bounds the departures that this instance announces, and
	// maxKeptDepartures those that it keeps from the announcements of others.
	maxAnnounced      = 64
	maxKeptDepartures = 1024
)

// New returns an empty list.
func New(rules Rules) List { return List{rules: rules} }

// Rules returns the rules of the list.
func (l List) Rules() Rules { return l.rules }

// Record is a record of the platform's list: an entry or the removal of one.
type Record struct {
	ID      string
	Offset  position.Position
	Removed bool
	Server  roster.Server
}

// Batch is the result of one read of the list.
type Batch struct {
	Records      []Record
	Full         bool              // contains the records of all servers; any other server is gone
	AfterFailure bool              // the previous read failed
	End          position.Position // after the last record that was read
	Began        time.Duration     // start of the read
	Ended        time.Duration     // lower bound of the time at which the store answered
}

// Event is the kind of a change.
type Event int

const (
	Seen     Event = iota // the entry is new or changed
	Lapsed                // the entry was removed, perhaps because of a store outage, and is kept for Rules.Grace
	Removed               // the entry was removed because its server left
	Missing               // the entry lapsed, and its server did not register again within Rules.Grace
	Ended                 // another server answers at its address
	Withheld              // a restored store lists it, although its server had left
)

// Change is a change of a server's entry in a List.
type Change struct {
	Event  Event
	Server roster.Server
	Offset position.Position
	By     Statement // the statement that it follows from
}

// LastRead returns the statement of this instance's last read.
func (l List) LastRead() Statement { return l.read }

// FollowedFrom returns the position from which on this instance followed the list without a
// store outage.
func (l List) FollowedFrom() position.Position { return l.followedFrom }

// RecentDepartures returns the departures to announce to the peers, the newest first.
func (l List) RecentDepartures(now time.Duration) []Departure {
	var gone []Departure
	for _, r := range slices.Backward(l.departures) {
		if now-r.readAt > announceDuration || len(gone) == maxAnnounced {
			break
		}
		gone = append(gone, r.Departure)
	}
	return gone
}

// Roster returns the servers whose entries this instance has read and that have not
// left, including lapsed ones.
func (l List) Roster() *roster.Roster { return l.roster }

// HasLapsed reports whether the list contains lapsed entries.
func (l List) HasLapsed() bool { return l.lapsedEntries > 0 }

// WithRead returns the list after a read by this instance, and the changes.
func (l List) WithRead(b Batch) (List, []Change) {
	first := l.read == Statement{}
	highestEnd := l.highestEnd()
	l.read = Statement{Source: OwnRead, End: max(l.read.End, b.End), At: max(l.read.At, b.Ended)}
	l.noteEra(Statement{End: b.End, At: b.Ended})
	// The store is not known to have answered any instance for long enough that entries may
	// have lapsed.
	mayLapse := b.AfterFailure && (b.Began-l.storeAnsweredAt >= l.rules.OutageThreshold || !l.rules.enabled(GuardPeerAnswers))
	restored := b.End.Era() > l.followedFrom.Era()
	switch {
	case first:
		l.followedFrom = b.End
	case mayLapse || restored:
		l.mayLapse, l.restored = mayLapse, restored
		l.outageEnd, l.followedFrom, l.endBeforeOutage = b.Ended, b.End, highestEnd
		if restored {
			l.endBeforeOutage = 0 // no record of the era before is read any more
		}
		l.entriesBeforeOutage, l.removedSinceOutage, l.registeredAgain = len(l.entries), l.lapsedEntries, 0
	}
	l.storeAnsweredAt = max(l.storeAnsweredAt, b.Ended)
	d := l.edit()
	d.applyRead(b)
	return d.finish()
}

// WithAnnouncement returns the list after a keeper's announcement about a data centre, and
// the changes. The announced places are ignored if another announcement is newer.
func (l List) WithAnnouncement(dataCentre string, t Announcement) (List, []Change) {
	l.storeAnsweredAt = max(l.storeAnsweredAt, t.At)
	l.noteEra(t.Statement)
	l.forgetReturned(t)
	if old, ok := l.announcements[dataCentre]; !ok || !l.newer(old.Statement, Statement{End: t.End, At: t.At + l.rules.AgeTolerance}) {
		l.announcements = maps.Clone(l.announcements)
		if l.announcements == nil {
			l.announcements = map[string]Announcement{}
		}
		l.announcements[dataCentre] = t
	}
	if !l.HasLapsed() && !slices.ContainsFunc(t.Departures, l.isNew) {
		return l, nil
	}
	d := l.edit()
	d.applyDepartures(t)
	for id, e := range d.list.entries {
		if e.lapsed && d.list.removalConfirmed(e.offset) {
			d.remove(id, Removed, t.Statement)
		}
	}
	return d.finish()
}

// WithoutEndedRun returns the list after another server answered at the address of s.
// It removes the entry of s, since that run of s has ended.
func (l List) WithoutEndedRun(s roster.Server, at time.Duration) (List, []Change) {
	e, ok := l.entries[s.ID]
	if !ok || !e.server.SameRun(s) || e.server.Address != s.Address {
		return l, nil
	}
	d := l.edit()
	d.remove(s.ID, Ended, Statement{Source: Answer, End: e.offset + 1, At: at})
	return d.finish()
}

// newer reports whether s takes precedence over another statement by the rules.
func (l List) newer(s, than Statement) bool {
	if !l.rules.enabled(GuardOffsetOrder) {
		return s.At > than.At
	}
	return s.Newer(than)
}

// isNew reports whether neither a read nor an announcement contained a departure yet.
func (l List) isNew(g Departure) bool {
	return g.Offset >= l.read.End && g.Offset > l.announced[g.ID].Offset
}

// WithoutExpired returns the list without its lapsed entries if their grace has ended.
func (l List) WithoutExpired(now time.Duration) (List, []Change) {
	if now-l.outageEnd <= l.rules.Grace || !l.HasLapsed() {
		return l, nil
	}
	d := l.edit()
	for id, e := range l.entries {
		if e.lapsed {
			d.remove(id, Missing, l.read)
		}
	}
	return d.finish()
}

// Announcement returns the newest announcement about a data centre.
func (l List) Announcement(dataCentre string) (Announcement, bool) {
	t, ok := l.announcements[dataCentre]
	return t, ok
}

// PreferredAnnouncements returns the announcements that take precedence over the own reads, by data
// centre.
func (l List) PreferredAnnouncements(now time.Duration) map[string]Announcement {
	announcements := map[string]Announcement{}
	for dataCentre, t := range l.announcements {
		if now-t.At < l.rules.MaxAnnouncementAge || l.newer(t.Statement, l.read) {
			announcements[dataCentre] = t
		}
	}
	return announcements
}

// Refutes reports whether a run of a server is draining or gone according to a record that
// the source of a statement had not read yet, or that the store lost when it was restored.
func (l List) Refutes(id string, run int64, s Statement) bool {
	if !l.rules.enabled(GuardOffsetOrder) {
		return false
	}
	if g, ok := l.left[id]; ok && s.End.Era() > g.offset.Era() && s.At-l.eraAt <= l.rules.RestoreGrace && !roster.IsLaterRun(run, g.run) {
		return true
	}
	if g, ok := l.announced[id]; ok && s.End > 0 && s.End <= g.Offset {
		return true
	}
	if s.End == 0 || l.read.End <= s.End {
		return false
	}
	e, ok := l.entries[id]
	return !ok || e.server.Draining
}

// removalConfirmed reports whether a keeper has read the removal at a position without
// a store outage, so that the removal is not a lapse.
func (l List) removalConfirmed(offset position.Position) bool {
	for _, t := range l.announcements {
		if l.rules.enabled(GuardKeeperRead) && t.FollowedFrom <= offset && offset < t.End {
			return true
		}
	}
	return false
}

// noteEra records that a source has read an era of the list. The receiver is a copy.
func (l *List) noteEra(s Statement) {
	if s.End.Era() > l.era {
		l.era, l.eraAt = s.End.Era(), s.At
	}
}

// highestEnd returns the highest end that this instance or a keeper has read.
func (l List) highestEnd() position.Position {
	end := l.read.End
	for _, t := range l.announcements {
		end = max(end, t.End)
	}
	return end
}
