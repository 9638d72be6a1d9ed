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
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/listing"
	"github.com/chicorystall/chicorystall/pkg/position"
)

const (
	// maxReadWait is how long a read waits for a record. It bounds how old the proof
	// that the configuration is the newest can get.
	maxReadWait = 1500 * time.Millisecond
	// keeperReadWait replaces maxReadWait on a keeper.
	keeperReadWait = 600 * time.Millisecond
	// startReadWait replaces both before there is a configuration.
	startReadWait = 4 * time.Second
	// recoveryReadWait replaces both while entries are kept that lapsed during an
	// outage of the store.
	recoveryReadWait = 200 * time.Millisecond
	// minRelayAge is the least value of Settings.relayAge.
	minRelayAge = 1200 * time.Millisecond
	// relayCheckShare is the share of relayAge after which an instance that relies on
	// keepers checks again whether it must read the store itself, and relayCheckShareOfMany
	// that of each of more than fewInstances.
	relayCheckShare       = 12
	relayCheckShareOfMany = 5
	fewInstances          = 17
	// operatorPause is the pause after a read that returned operator's records, and
	// workersPause the one after a read that returned workers' entries. The latter
	// grows with the number of instances, since the store limits the calls of all
	// instances together. Its maximum is a fraction of the shortest time within
	// which requests to a leaving worker must stop.
	operatorPause           = 40 * time.Millisecond
	workersPause            = 300 * time.Millisecond
	workersPausePerInstance = 15 * time.Millisecond
	maxWorkersPause         = 800 * time.Millisecond
	// keeperPause replaces workersPause on a keeper, which acts on the entries. It
	// grows with the number of instances too, except while groups are forming.
	keeperPause            = 50 * time.Millisecond
	keeperPausePerInstance = 3 * time.Millisecond
	maxKeeperPause         = 200 * time.Millisecond
	// repairPausePerInstance replaces keeperPausePerInstance while groups are forming,
	// when each step follows a change of an entry.
	repairPausePerInstance = 400 * time.Microsecond
	// retryPause is the first pause after a failed call. It doubles with each failure
	// up to maxRetryPause; jitter shortens it by up to half.
	retryPause    = 60 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// minSuspension is the shortest suspension of the machine that is detected, by the
	// difference between a clock that runs on during a suspension and one that stops.
	minSuspension = 50 * time.Millisecond
	// lapseGrace is how long after an outage of the store the entries that lapsed
	// during it are kept, so that their workers can write them again.
	lapseGrace = 2 * time.Second
	// inServiceGrace is how long a restored store is not believed that a data centre is taken
	// out of service which was known to be in service. With the time until the read, it is
	// below that within which requests to a data centre that is taken out must stop.
	// outOfServiceGrace replaces it in the other case. The operator needs seconds to write
	// again what was lost.
	inServiceGrace    = 3 * time.Second
	outOfServiceGrace = 10 * time.Second
	// restoreHeartbeats is the time after a restore of the store, in heartbeats, after which
	// it has removed the entries of workers that don't write any more. An entry lapses after
	// three heartbeats.
	restoreHeartbeats = 5
	// lapseHeartbeats is the shortest outage of the store, in heartbeats, in which the
	// entry of a running worker can lapse. An entry lapses after three heartbeats, and
	// up to one may have passed since the last write when the outage begins.
	lapseHeartbeats = 2
)

// State holds what an instance knows about the store's content, from its own reads or
// from keepers' digests. Use NewState.
type State struct {
	platform       Platform
	log            *telemetry.Log
	onChange       func() // called after a change of configuration, data centres or list
	isKeeper       func() bool
	repairing      func() bool // whether groups are forming
	workersRelayed func() bool // whether keepers announce all data centres
	processes      func() int  // number of known instances
	relayAge       time.Duration
	news           chan struct{} // receives when a keeper has read records that this instance has not
	onRestore      func()        // if not nil, called after the first read of the operator's records since the store was restored
	// clock is boottime.Now, except in tests.
	clock func() time.Duration

	mu              sync.Mutex
	view            gateway.View
	configOffset    position.Position            // of the configuration in force
	operatorOffsets map[string]position.Position // of the newest decoded operator's record, by key
	unreadable      map[string]position.Position // of an operator's record that can't be decoded, by key, until a newer one can
	takenOut        map[string]bool              // data centres that are taken out of service
	peers           peerVersion                  // newest configuration of the peers
	firstRead       time.Duration                // start of the first read of the operator's records
	doubted         map[string]doubtedState      // by data centre
	operatorEra     int64                        // era of the last read of the operator's records
	operatorEnd     position.Position            // before which all operator's records are known
	operatorProof   time.Duration                // start of this instance's own read which showed that there were no others
	relayedEnd      position.Position            // highest operatorEnd received from a keeper
	relayedProof    time.Duration                // earliest time at which a keeper may have read that end
	list            listing.List                 // workers' entries
	listReadAt      time.Time                    // time of the last read of the workers' entries
	storeReachable  map[string]bool              // whether the last call succeeded, by feed
}

// NewState returns an empty state. WatchOperator and WatchWorkers keep it up to date.
func NewState(platform Platform, settings Settings, log *telemetry.Log, isKeeper, repairing, workersRelayed func() bool, processes func() int, onChange func()) *State {
	return &State{
		platform: platform, log: log, isKeeper: isKeeper, repairing: repairing, workersRelayed: workersRelayed, processes: processes, onChange: onChange,
		clock: boottime.Now, relayAge: settings.relayAge(), news: make(chan struct{}, 1),
		list: listing.New(listing.Rules{
			OutageThreshold: lapseHeartbeats * settings.HeartbeatInterval, Grace: lapseGrace, RestoreGrace: restoreHeartbeats * settings.HeartbeatInterval, MaxAnnouncementAge: settings.relayAge(), AgeTolerance: neighbour.Interval,
		}),
		operatorOffsets: map[string]position.Position{}, unreadable: map[string]position.Position{}, takenOut: map[string]bool{}, storeReachable: map[string]bool{},
	}
}

// View returns the configuration, by which requests are decided.
func (s *State) View() gateway.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// TakenOut reports whether a data centre is taken out of service.
func (s *State) TakenOut(dataCentre string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.believeDoubted()
	return s.takenOut[dataCentre]
}

// WatchOperator follows the feed of operator's records until the context ends.
func (s *State) WatchOperator(ctx context.Context) error {
	return s.watch(ctx, watcher{
		feed: s.platform.OperatorFeed, apply: s.applyOperator, relayed: s.operatorRelayed, readsFirst: true,
		pause: func() time.Duration { return operatorPause },
	})
}

// readWait returns how long a read waits for a record. It is shorter on a keeper,
// since other instances take its reads as proof that their configuration is the
// newest.
func (s *State) readWait() time.Duration {
	switch {
	case s.View().Catalog == nil:
		return startReadWait // there is no proof to keep up yet
	case s.KeepsLapsedEntries():
		return recoveryReadWait // the read must not delay the end of the grace for lapsed entries
	case s.isKeeper():
		return keeperReadWait
	}
	return maxReadWait
}

// operatorRelayed reports whether a keeper has proved within relayAge that this
// instance knows all operator's records.
func (s *State) operatorRelayed() bool {
	if s.isKeeper() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.operatorEnd >= s.relayedEnd && s.relayedProof > 0 && s.clock()-s.relayedProof < s.relayAge
}

// ApplyKeeperProof records that a keeper has read all operator's records, which end
// at a position. The keeper's read began no earlier than proof, on the clock of
// package boottime. If this instance knows all these records too, its configuration
// is proved to be the newest at that time.
func (s *State) ApplyKeeperProof(end position.Position, proof time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayedEnd = max(s.relayedEnd, end)
	if end > s.operatorEnd {
		select {
		case s.news <- struct{}{}:
		default:
		}
	}
	s.relayedProof = max(s.relayedProof, proof)
	if s.view.Catalog != nil && s.operatorEnd >= end {
		s.confirm(proof)
	}
}

// OperatorProgress returns the position before which all operator's records are known,
// and the start of this instance's read which showed that there were no others.
func (s *State) OperatorProgress() (end position.Position, proof time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.operatorEnd, s.operatorProof
}

// applyOperator applies the result of a read of the operator's records. It skips
// records that are older than the newest known one of their key, so that nothing is
// undone. A record that can't be decoded may be newer than the configuration in
// force. Until a newer record of its key is decoded, reads prove nothing.
//
// The first read after the store was restored from a copy may return older records than
// those that are known. A configuration of a lower version is never taken then, since the
// operator writes again what was lost.
func (s *State) applyOperator(b batch) {
	s.mu.Lock()
	restored := len(s.operatorOffsets) > 0 && b.end.Era() > s.operatorEra
	knownEra := s.operatorEra
	s.operatorEra = max(s.operatorEra, b.end.Era())
	s.believeDoubted()
	changed := false
	if b.full {
		changed = s.restoreDataCentres(b.records, restored)
		s.forgetUnreadable(b.records)
	}
	for _, r := range b.records {
		if newest, known := s.operatorOffsets[r.Key]; known && r.Offset <= newest {
			continue
		}
		decoded, err := s.platform.DecodeOperatorRecord(r)
		switch {
		case err != nil:
			s.log.Warn("operator's record can't be read", recordFields(r, telemetry.Fields{"key": r.Key, "error": err.Error()}))
			s.unreadable[r.Key] = max(s.unreadable[r.Key], r.Offset)
			continue
		case decoded.Catalog != nil && s.isOutdated(decoded.Catalog, r.Offset):
			s.log.Warn("older configuration is not taken", recordFields(r, telemetry.Fields{
				"version": decoded.Catalog.Version(), "in_force": s.view.Catalog.Version(),
			}))
		case decoded.Catalog != nil:
			s.view.Catalog, s.configOffset = decoded.Catalog, r.Offset
			changed = true
			s.log.Info("configuration in force", recordFields(r, telemetry.Fields{"version": decoded.Catalog.Version()}))
		case decoded.DataCentre != "" && restored && decoded.TakenOut != s.takenOut[decoded.DataCentre]:
			s.doubt(decoded.DataCentre, decoded.TakenOut)
		case decoded.DataCentre != "":
			s.takenOut[decoded.DataCentre] = decoded.TakenOut
			delete(s.doubted, decoded.DataCentre)
			changed = true
			s.log.Info("data centre", recordFields(r, telemetry.Fields{"data_centre": decoded.DataCentre, "taken_out": decoded.TakenOut}))
		}
		s.operatorOffsets[r.Key] = r.Offset
		if s.unreadable[r.Key] < r.Offset {
			delete(s.unreadable, r.Key)
		}
	}
	if restored {
		s.log.Warn("store restored", telemetry.Fields{
			"topic": s.platform.OperatorFeed.Name, "era": b.end.Era(), "known_era": knownEra, "end": b.end.Offset(), "known_end": s.operatorEnd.Offset(), "records": len(b.records),
		})
	}
	if s.firstRead == 0 {
		s.firstRead = b.began
	}
	if b.caughtUp && len(s.unreadable) == 0 {
		s.operatorEnd, s.operatorProof = b.end, b.began
		s.confirm(b.began)
	}
	s.mu.Unlock()
	if restored && s.onRestore != nil {
		s.onRestore()
	}
	if changed {
		s.onChange()
	}
}

// isOutdated reports whether a configuration is older than the one in force although its
// record comes later, as the store was restored in between.
func (s *State) isOutdated(c *catalog.Catalog, offset position.Position) bool {
	return s.view.Catalog != nil && c.Version() < s.view.Catalog.Version() && offset.Era() > s.configOffset.Era()
}

// recordFields adds the place of a record to the fields of a log line.
func recordFields(r Record, fields telemetry.Fields) telemetry.Fields {
	fields["era"], fields["offset"] = r.Offset.Era(), r.Offset.Offset()
	return fields
}

// forgetUnreadable forgets the records that could not be decoded and whose keys the store
// no longer has.
func (s *State) forgetUnreadable(records []Record) {
	for key := range s.unreadable {
		if !slices.ContainsFunc(records, func(r Record) bool { return r.Key == key }) {
			delete(s.unreadable, key)
		}
	}
}

// doubtedState is what a restored store says of a data centre, until it is believed.
type doubtedState struct {
	takenOut bool
	until    time.Duration
}

// doubt records that a restored store contradicts what was known of a data centre. The
// operator may write the newer record again. The caller holds the lock.
func (s *State) doubt(dataCentre string, takenOut bool) {
	grace := outOfServiceGrace
	if takenOut {
		grace = inServiceGrace
	}
	if s.doubted == nil {
		s.doubted = map[string]doubtedState{}
	}
	s.doubted[dataCentre] = doubtedState{takenOut: takenOut, until: s.clock() + grace}
	s.log.Info("restored store contradicts a data centre", telemetry.Fields{"data_centre": dataCentre, "taken_out": takenOut, "known": s.takenOut[dataCentre]})
}

// believeDoubted takes what the restored store says of data centres once that has been
// doubted for long enough. The caller holds the lock.
func (s *State) believeDoubted() {
	for dataCentre, d := range s.doubted {
		if s.clock() < d.until {
			continue
		}
		s.takenOut[dataCentre] = d.takenOut
		delete(s.doubted, dataCentre)
		s.log.Info("data centre", telemetry.Fields{"data_centre": dataCentre, "taken_out": d.takenOut})
	}
}

// restoreDataCentres puts data centres back into service whose key is no longer in
// the store, and reports whether there were any. If the store was restored, it only
// doubts that they are out of service.
func (s *State) restoreDataCentres(records []Record, storeRestored bool) bool {
	changed := false
	for dataCentre, takenOut := range s.takenOut {
		gone := !slices.ContainsFunc(records, func(r Record) bool {
			decoded, err := s.platform.DecodeOperatorRecord(r)
			return err == nil && decoded.DataCentre == dataCentre
		})
		switch {
		case !takenOut || !gone:
		case storeRestored:
			s.doubt(dataCentre, false)
		default:
			s.takenOut[dataCentre] = false
			changed = true
			s.log.Info("data centre", telemetry.Fields{"data_centre": dataCentre, "taken_out": false})
		}
	}
	return changed
}
