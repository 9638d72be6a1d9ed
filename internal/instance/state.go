package instance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/internal/boottime"
	"github.com/chicorystall/chicorystall/internal/gateway"
	"github.com/chicorystall/chicorystall/internal/neighbour"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/listing"
)

const (
	// watchWait is how long a read waits for a record. It bounds the age of the
	// proof that the configuration is the newest.
	watchWait = 1500 * time.Millisecond
	// keeperWait takes the place of watchWait at a keeper.
	keeperWait = 600 * time.Millisecond
	// returnWait takes the place of both right after the store was away.
	returnWait = 200 * time.Millisecond
	// relayTrust is the age up to which a keeper's word takes the place of a read.
	relayTrust = 1200 * time.Millisecond
	// relayCheck is how often an instance looks whether it must read itself.
	relayCheck = 100 * time.Millisecond
	// operatorPause parts two reads while the operator writes much, workersPause
	// while the workers do. The latter grows with the number of instances, whose
	// calls are limited together, up to a part of the shortest time in which work
	// to a leaving worker must stop.
	operatorPause    = 40 * time.Millisecond
	workersPause     = 300 * time.Millisecond
	workersPauseEach = 15 * time.Millisecond
	maxWorkersPause  = 800 * time.Millisecond
	// keeperPause takes the place of workersPause at a keeper, which acts on them;
	// it grows with the number of instances as well, but not while groups form.
	keeperPause     = 50 * time.Millisecond
	keeperPauseEach = 3 * time.Millisecond
	maxKeeperPause  = 200 * time.Millisecond
	// retryPause is the shortest pause after a call that failed; it has jitter
	// and doubles up to maxRetryPause.
	retryPause    = 60 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// suspendedFor is a difference of the clocks with and without the time that
	// the machine was suspended which shows that it was.
	suspendedFor = 50 * time.Millisecond
	// returnGrace is how long after the store's return entries that lapsed
	// meanwhile may still be missing.
	returnGrace = 2 * time.Second
	// silentBeats is how many heartbeats the store is away at least when the entry
	// of a living worker lapses: it does after three, of which one may have been due.
	silentBeats = 2
)

// State holds what an instance knows from the store. Use NewState.
type State struct {
	platform       Platform
	log            *telemetry.Log
	onChange       func()
	keeping        func() bool
	repairing      func() bool
	workersRelayed func() bool
	processes      func() int // instances, as far as known
	// clock returns the time on the clock of package boottime.
	clock func() time.Duration

	mu           sync.Mutex
	view         gateway.View
	offsets      map[string]int64 // newest record of each key of the operator
	unread       map[string]int64 // records of the operator that can't be read, none newer is known
	closed       map[string]bool  // data centres that are taken out
	operatorEnd  int64            // offset up to which the operator's records are known
	operatorRead time.Duration    // when this instance's own read began that showed that these were all
	relayedEnd   int64            // newest end that a keeper told of
	relayedProof time.Duration    // when that was read, at the earliest
	list         listing.List     // the workers' entries
	listed       time.Time        // when they were last read
	storeOK      map[string]bool
}

// NewState returns a state that its watches keep up to date.
func NewState(platform Platform, heartbeat time.Duration, log *telemetry.Log, keeping, repairing, workersRelayed func() bool, processes func() int, onChange func()) *State {
	return &State{
		platform: platform, log: log, keeping: keeping, repairing: repairing, workersRelayed: workersRelayed, processes: processes, onChange: onChange,
		clock: boottime.Now,
		list: listing.New(listing.Rules{
			OutageThreshold: silentBeats * heartbeat, Grace: returnGrace, MaxAnnouncementAge: relayTrust, AgeTolerance: neighbour.Interval,
		}),
		offsets: map[string]int64{}, unread: map[string]int64{}, closed: map[string]bool{}, storeOK: map[string]bool{},
	}
}

// View returns what requests are decided on.
func (s *State) View() gateway.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Closed reports whether a data centre is taken out.
func (s *State) Closed(dataCentre string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed[dataCentre]
}

// WatchOperator follows the operator's topic until the context ends.
func (s *State) WatchOperator(ctx context.Context) error {
	return s.watch(ctx, watcher{
		feed: s.platform.OperatorFeed, apply: s.applyOperator, relayed: s.operatorRelayed,
		rest: func() time.Duration { return operatorPause },
	})
}

// wait is how long a read waits for a record. A keeper's reads are the others'
// proof that the configuration is the newest.
func (s *State) wait() time.Duration {
	switch {
	case s.Returning():
		return returnWait // what is kept until then must not be kept longer
	case s.keeping():
		return keeperWait
	}
	return watchWait
}

// operatorRelayed reports whether a keeper has shown a moment ago that the
// operator's records that are known here are all.
func (s *State) operatorRelayed() bool {
	if s.keeping() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.operatorEnd >= s.relayedEnd && s.relayedProof > 0 && s.clock()-s.relayedProof < relayTrust
}

// Relay takes over from a keeper that the operator's records end at an offset,
// as was read no earlier than proof on the clock of package boottime.
func (s *State) Relay(end int64, proof time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayedEnd = max(s.relayedEnd, end)
	s.relayedProof = max(s.relayedProof, proof)
	if s.view.Catalog != nil && s.operatorEnd >= end {
		s.view.ConfirmedAt = max(s.view.ConfirmedAt, proof)
	}
}

// Operator returns the offset up to which the operator's records are known, and
// when the read began that showed that these were all.
func (s *State) Operator() (end int64, proof time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.operatorEnd, s.operatorRead
}

// applyOperator takes the operator's records in. What is older than what is
// known of its key is left out, so that nothing goes back. What can't be read may
// be newer than what is in force, so nothing is proven until a newer record is read.
func (s *State) applyOperator(b batch) {
	s.mu.Lock()
	changed := false
	if b.full {
		changed = s.reopen(b.records)
	}
	for _, r := range b.records {
		if newest, known := s.offsets[r.Key]; known && r.Offset <= newest {
			continue
		}
		notice, err := s.platform.DecodeOperatorRecord(r)
		switch {
		case err != nil:
			s.log.Warn("operator's record can't be read", telemetry.Fields{"key": r.Key, "offset": r.Offset, "error": err.Error()})
			s.unread[r.Key] = max(s.unread[r.Key], r.Offset)
			continue
		case notice.Catalog != nil:
			s.view.Catalog = notice.Catalog
			changed = true
			s.log.Info("configuration in force", telemetry.Fields{"version": notice.Catalog.Version(), "offset": r.Offset})
		case notice.DataCentre != "":
			s.closed[notice.DataCentre] = notice.TakenOut
			changed = true
			s.log.Info("data centre", telemetry.Fields{"data_centre": notice.DataCentre, "taken_out": notice.TakenOut, "offset": r.Offset})
		}
		s.offsets[r.Key] = r.Offset
		if s.unread[r.Key] < r.Offset {
			delete(s.unread, r.Key)
		}
	}
	if b.whole && len(s.unread) == 0 {
		s.operatorEnd, s.operatorRead = b.end, b.began
		s.view.ConfirmedAt = max(s.view.ConfirmedAt, b.began)
	}
	s.mu.Unlock()
	if changed {
		s.onChange()
	}
}

// reopen takes data centres back whose key is gone from the store.
func (s *State) reopen(records []Record) bool {
	changed := false
	for dataCentre, closed := range s.closed {
		gone := !slices.ContainsFunc(records, func(r Record) bool {
			notice, err := s.platform.DecodeOperatorRecord(r)
			return err == nil && notice.DataCentre == dataCentre
		})
		if closed && gone {
			s.closed[dataCentre] = false
			changed = true
			s.log.Info("data centre", telemetry.Fields{"data_centre": dataCentre, "taken_out": false})
		}
	}
	return changed
}
