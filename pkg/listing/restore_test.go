package listing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/dispatch"
	"github.com/chicorystall/chicorystall/pkg/position"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

func at(era, offset int64) position.Position {
	p, err := position.At(era, offset)
	if err != nil {
		panic(err)
	}
	return p
}

// The copy from which the store is restored has older entries than those that are known.
func TestEntriesAfterARestore(t *testing.T) {
	const grace, restoreGrace = 2 * time.Second, 5 * time.Second
	known := roster.Server{ID: "w", Address: "new", StartUnixMilli: 20, EntrySeq: 8}
	draining := known
	draining.Draining, draining.EntrySeq = true, 9
	older := func(change func(*roster.Server)) roster.Server {
		s := roster.Server{ID: "w", Address: "old", StartUnixMilli: 20, EntrySeq: 5}
		change(&s)
		return s
	}
	copied := func(s roster.Server) []Record { return []Record{{ID: "w", Offset: at(2, 3), Server: s}} }
	for _, c := range []struct {
		name         string
		known        roster.Server
		copied       []Record // in the first read after the restore
		later        []Record
		wantAddress  string // "" if it isn't listed
		wantDraining bool
	}{
		{"an older state of the run", known, copied(older(func(*roster.Server) {})), nil, "new", false},
		{"an earlier run", known, copied(older(func(s *roster.Server) { s.StartUnixMilli, s.EntrySeq = 10, 99 })), nil, "new", false},
		{"a later run", known, copied(older(func(s *roster.Server) { s.StartUnixMilli, s.EntrySeq = 30, 1 })), nil, "old", false},
		{"a later state of the run", known, copied(older(func(s *roster.Server) { s.EntrySeq = 10 })), nil, "old", false},
		{"a state from before it drained", draining, copied(older(func(*roster.Server) {})), nil, "new", true},
		{"the run is written again", known, copied(older(func(*roster.Server) {})), []Record{{ID: "w", Offset: at(2, 9), Server: older(func(s *roster.Server) { s.EntrySeq = 11 })}}, "old", false},
		{"it is removed after the restore", known, copied(older(func(*roster.Server) {})), []Record{{ID: "w", Offset: at(2, 9), Removed: true}}, "", false},
		{"the copy lacks it, for a while", known, nil, nil, "new", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l, _ := New(Rules{OutageThreshold: 2 * time.Second, Grace: grace, RestoreGrace: restoreGrace}).WithRead(Batch{
				Records: []Record{{ID: "w", Offset: at(1, 7), Server: c.known}}, Full: true, End: at(1, 8), Ended: time.Hour,
			})
			l, _ = l.WithRead(Batch{Records: c.copied, Full: true, End: at(2, 4), AfterFailure: true, Began: time.Hour + time.Second, Ended: time.Hour + time.Second})
			if c.later != nil {
				l, _ = l.WithRead(Batch{Records: c.later, End: at(2, 10), Began: time.Hour + 2*time.Second, Ended: time.Hour + 2*time.Second})
			}
			s, listed := l.Roster().Server("w")
			g.Expect(listed).To(Equal(c.wantAddress != ""))
			g.Expect(s.Address).To(Equal(c.wantAddress))
			g.Expect(s.Draining).To(Equal(c.wantDraining))
			l, _ = l.WithoutExpired(time.Hour + time.Second + grace + 1)
			_, listed = l.Roster().Server("w")
			g.Expect(listed).To(Equal(c.wantAddress != "" && c.copied != nil), "entries that the copy lacks are kept for a while only")
		})
	}
}

// A keeper's word confirmed that an entry was removed which the copy just lacks.
func TestKeeperDoesNotConfirmWhatACopyLacks(t *testing.T) {
	g := NewWithT(t)
	l, _ := New(Rules{OutageThreshold: time.Second, Grace: 2 * time.Second}).WithRead(Batch{
		Records: []Record{{ID: "w", Offset: at(1, 7)}}, Full: true, End: at(1, 8), Ended: time.Hour,
	})
	l, _ = l.WithAnnouncement("a", Announcement{Statement: Statement{End: at(2, 6), At: time.Hour + 1}, FollowedFrom: at(2, 2)})
	l, _ = l.WithRead(Batch{Full: true, End: at(2, 5), Began: time.Hour + 2, Ended: time.Hour + 2})
	g.Expect(l.HasLapsed()).To(BeTrue())
	l, _ = l.WithAnnouncement("a", Announcement{Statement: Statement{End: at(2, 7), At: time.Hour + 3}, FollowedFrom: at(2, 2)})
	g.Expect(l.Roster().Len()).To(Equal(1))
}

// A removal of the new era is no lapse.
func TestRemovalAfterARestoreIsNotKept(t *testing.T) {
	g := NewWithT(t)
	records := func(offset position.Position) []Record {
		var list []Record
		for n, id := range []string{"v", "w", "x"} {
			list = append(list, Record{ID: id, Offset: offset + position.Position(n), Server: roster.Server{ID: id}})
		}
		return list
	}
	l, _ := New(Rules{OutageThreshold: time.Second, Grace: 2 * time.Second}).WithRead(Batch{Records: records(at(1, 1)), Full: true, End: at(1, 4), Ended: time.Hour})
	l, _ = l.WithRead(Batch{Records: records(at(2, 1)), Full: true, End: at(2, 4), Began: time.Hour + 1, Ended: time.Hour + 1})
	l, changes := l.WithRead(Batch{Records: []Record{{ID: "w", Offset: at(2, 4), Removed: true}}, End: at(2, 5), Began: time.Hour + 2, Ended: time.Hour + 2})
	g.Expect(l.Roster().Len()).To(Equal(2))
	g.Expect(changes).To(HaveExactElements(HaveField("Event", Removed)))
}

// A worker that lapsed and came back before the restore hasn't left.
func TestServerThatCameBackBeforeARestoreIsNotRefuted(t *testing.T) {
	left, _ := New(Rules{RestoreGrace: time.Minute}).WithRead(Batch{
		Records: []Record{{ID: "w", Offset: at(1, 7), Server: roster.Server{ID: "w"}}}, Full: true, End: at(1, 8), Ended: time.Hour,
	})
	left, _ = left.WithRead(Batch{Records: []Record{{ID: "w", Offset: at(1, 8), Removed: true}}, End: at(1, 9), Ended: time.Hour + 1})
	afterwards := Statement{End: at(2, 5), At: time.Hour + 5}
	for _, c := range []struct {
		name string
		back func(List) List
		want bool // refuted
	}{
		{"it didn't come back", func(l List) List { return l }, true},
		{"this instance read it", func(l List) List {
			l, _ = l.WithRead(Batch{Records: []Record{{ID: "w", Offset: at(1, 9), Server: roster.Server{ID: "w"}}}, End: at(1, 10), Ended: time.Hour + 2})
			return l
		}, false},
		{"a keeper read it", func(l List) List {
			l, _ = l.WithAnnouncement("a", Announcement{Statement: Statement{End: at(1, 10), At: time.Hour + 2}, Places: []dispatch.Place{{ID: "w"}}})
			return l
		}, false},
		{"a keeper lists it that has not read the removal", func(l List) List {
			l, _ = l.WithAnnouncement("a", Announcement{Statement: Statement{End: at(1, 8), At: time.Hour + 2}, Places: []dispatch.Place{{ID: "w"}}})
			return l
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, _ := c.back(left).WithAnnouncement("a", Announcement{Statement: afterwards})
			NewWithT(t).Expect(l.Refutes("w", 0, afterwards)).To(Equal(c.want))
		})
	}
}
