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

// Roster returns the workers and the time at which their entries were last read.
func (s *State) Roster() (*roster.Roster, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentList().Roster(), s.listReadAt
}

// List returns what is known about the workers' entries now.
func (s *State) List() listing.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentList()
}

// currentList is like List, but the caller must hold the lock.
func (s *State) currentList() listing.List {
	list, changes := s.list.WithoutExpired(s.clock())
	s.list = list
	s.logChanges(changes)
	return list
}

// KeepsLapsedEntries reports whether the list still has entries that lapsed during
// an outage of the store which ended a short time ago.
func (s *State) KeepsLapsedEntries() bool { return s.List().HasLapsed() }

// ApplyAnnouncement applies a keeper's announcement about a data centre and reports
// whether the roster or the data centre's places have changed.
func (s *State) ApplyAnnouncement(dataCentre string, announcement listing.Announcement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.list
	list, changes := previous.WithAnnouncement(dataCentre, announcement)
	s.list = list
	s.logChanges(changes)
	before, _ := previous.Announcement(dataCentre)
	after, _ := list.Announcement(dataCentre)
	return list.Roster() != previous.Roster() || !slices.EqualFunc(before.Places, after.Places, func(a, b dispatch.Place) bool {
		return a.ID == b.ID && a.Model == b.Model && a.Address == b.Address && a.Run == b.Run
	})
}

// MarkReplaced removes a worker from the list, since another worker answers at its
// address. The places are updated when they are next rebuilt.
func (s *State) MarkReplaced(worker roster.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, changes := s.list.WithoutEndedRun(worker, s.clock())
	s.list = list
	s.logChanges(changes)
}

// WatchWorkers follows the feed of workers' entries until the context ends.
func (s *State) WatchWorkers(ctx context.Context) error {
	return s.watch(ctx, watcher{feed: s.platform.ServerFeed, apply: s.applyWorkers, relayed: s.workersRelayed, pause: s.workersReadPause})
}

func (s *State) workersReadPause() time.Duration {
	switch {
	case !s.isKeeper():
		return min(max(workersPause, time.Duration(s.processes())*workersPausePerInstance), maxWorkersPause)
	case s.repairing():
		return min(max(keeperPause, time.Duration(s.processes())*repairPausePerInstance), maxKeeperPause)
	}
	return min(max(keeperPause, time.Duration(s.processes())*keeperPausePerInstance), maxKeeperPause)
}

// applyWorkers applies the result of a read of the workers' entries.
func (s *State) applyWorkers(b batch) {
	now := time.Now()
	read := listing.Batch{Full: b.full, AfterFailure: b.resumed, End: b.end, Began: b.began, Ended: b.ended}
	for _, r := range b.records {
		record := listing.Record{ID: r.Key, Offset: r.Offset, Removed: len(r.Value) == 0}
		if !record.Removed {
			server, err := s.platform.DecodeServer(r.Key, r.Value, now)
			if err != nil {
				s.log.Debug("entry names no worker", recordFields(r, telemetry.Fields{"error": err.Error()}))
			}
			record.Server, record.Removed = server, err != nil
		}
		read.Records = append(read.Records, record)
	}
	s.mu.Lock()
	previous := s.list.Roster()
	list, changes := s.list.WithRead(read)
	s.list, s.listReadAt = list, now
	s.logChanges(changes)
	s.mu.Unlock()
	if list.Roster() != previous {
		s.onChange()
	}
}

// logChanges logs changes of the list. The caller must hold the lock.
func (s *State) logChanges(changes []listing.Change) {
	for _, c := range changes {
		fields := telemetry.Fields{
			"worker": c.Server.ID, "era": c.Offset.Era(), "offset": c.Offset.Offset(), "source": c.By.Source.String(), "from": c.By.From, "end": c.By.End.Offset(),
			"age_ms": (s.clock() - c.By.At).Milliseconds(),
		}
		if c.Event == listing.Seen {
			fields["service"], fields["data_centre"], fields["domain"] = c.Server.Service, c.Server.DataCentre, c.Server.Domain
			fields["draining"], fields["born"] = c.Server.Draining, c.Server.StartUnixMilli
			s.log.Info("worker seen", fields)
			continue
		}
		fields["group"], fields["reason"] = c.Server.Membership.Group, c.Event.String()
		if c.Event == listing.Lapsed || c.Event == listing.Withheld {
			s.log.Info("worker kept", fields)
			continue
		}
		s.log.Info("worker gone", fields)
	}
}
