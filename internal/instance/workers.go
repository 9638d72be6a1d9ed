package instance

import (
	"context"
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
	"github.com/chicorystall/chicorystall/pkg/listing"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// List returns the workers and when their entries were last read.
func (s *State) List() (*roster.Roster, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current().Roster(), s.listed
}

// Listing returns what is believed of the workers' entries now.
func (s *State) Listing() listing.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current()
}

// current is Listing with the lock held.
func (s *State) current() listing.List {
	list, changes := s.list.WithoutExpired(s.clock())
	s.list = list
	s.note(changes)
	return list
}

// Returning reports whether entries of the list that are missing are kept, since
// the store was away until a moment ago.
func (s *State) Returning() bool { return s.Listing().HasLapsed() }

// Tell takes over a keeper's word on a data centre, and reports whether it has
// other places than before.
func (s *State) Tell(dataCentre string, t listing.Announcement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.list
	list, changes := was.WithAnnouncement(dataCentre, t)
	s.list = list
	s.note(changes)
	before, _ := was.Announcement(dataCentre)
	after, _ := list.Announcement(dataCentre)
	return list.Roster() != was.Roster() || !slices.EqualFunc(before.Places, after.Places, func(a, b dispatch.Place) bool {
		return a.ID == b.ID && a.Model == b.Model && a.Address == b.Address
	})
}

// Ended takes over that another worker answers at a worker's address. The places
// follow with their next turn.
func (s *State) Ended(worker roster.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, changes := s.list.WithoutEndedRun(worker, s.clock())
	s.list = list
	s.note(changes)
}

// WatchWorkers follows the workers' entries until the context ends.
func (s *State) WatchWorkers(ctx context.Context) error {
	return s.watch(ctx, watcher{feed: s.platform.ServerFeed, apply: s.applyWorkers, relayed: s.workersRelayed, rest: s.workersRest})
}

func (s *State) workersRest() time.Duration {
	switch {
	case !s.keeping():
		return min(max(workersPause, time.Duration(s.processes())*workersPauseEach), maxWorkersPause)
	case s.repairing():
		return keeperPause
	}
	return min(max(keeperPause, time.Duration(s.processes())*keeperPauseEach), maxKeeperPause)
}

// applyWorkers takes what a read of the workers' entries brought in.
func (s *State) applyWorkers(b batch) {
	now := time.Now()
	read := listing.Batch{Full: b.full, AfterFailure: b.resumed, End: b.end, Began: b.began, Ended: b.ended}
	for _, r := range b.records {
		record := listing.Record{ID: r.Key, Offset: r.Offset, Removed: len(r.Value) == 0}
		if !record.Removed {
			server, err := s.platform.DecodeServer(r.Key, r.Value, now)
			if err != nil {
				s.log.Debug("entry names no worker", telemetry.Fields{"offset": r.Offset, "error": err.Error()})
			}
			record.Server, record.Removed = server, err != nil
		}
		read.Records = append(read.Records, record)
	}
	s.mu.Lock()
	was := s.list.Roster()
	list, changes := s.list.WithRead(read)
	s.list, s.listed = list, now
	s.note(changes)
	s.mu.Unlock()
	if list.Roster() != was {
		s.onChange()
	}
}

// note logs what is believed of workers from now on. The lock is held.
func (s *State) note(changes []listing.Change) {
	for _, c := range changes {
		fields := telemetry.Fields{
			"worker": c.Server.ID, "offset": c.Offset, "source": c.By.Source.String(), "from": c.By.From, "end": c.By.End,
			"age_ms": (s.clock() - c.By.At).Milliseconds(),
		}
		if c.Event == listing.Seen {
			fields["service"], fields["data_centre"], fields["domain"] = c.Server.Service, c.Server.DataCentre, c.Server.Domain
			fields["draining"], fields["born"] = c.Server.Draining, c.Server.Born
			s.log.Info("worker seen", fields)
			continue
		}
		fields["group"], fields["reason"] = c.Server.Membership.Group, c.Event.String()
		if c.Event == listing.Lapsed {
			s.log.Info("worker kept", fields)
			continue
		}
		s.log.Info("worker gone", fields)
	}
}
