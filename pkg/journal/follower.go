package journal

import (
	"context"
	"sync"
	"time"
)

//go:generate go tool stringer -type=Source -trimprefix=Source

// Source is the origin of a follower's state.
type Source int

// Sources of a follower's state.
const (
	SourceNone Source = iota // no state yet
	SourceLog                // read from the log
	SourcePeer               // taken from a peer while the log was unavailable
)

// Status describes how far a follower has read its stream.
type Status struct {
	Offset  Offset    // newest entry that the state includes
	End     Offset    // newest entry known to exist
	Ready   bool      // the state may be used to serve requests
	Behind  bool      // newer entries may exist, since the log is unavailable or an entry was not applied
	Since   time.Time // when a state that is behind was last known to be the newest; zero if not behind or not known
	Source  Source    // where the state was last updated from
	Stopped error     // *FormatError of the entry after Offset, which this release cannot read
	Lost    bool      // entries after Offset expired, and no reachable peer has a state that includes them
}

// PeerState is the newest state that other instances have.
type PeerState struct {
	Offset Offset
	Data   []byte // snapshot of the state at Offset
	// Complete means that every other instance on the platform's list answered,
	// including those that send no heartbeats. Lost entries are skipped only
	// if it is set.
	Complete bool
	// NoneReady means that none of the instances that answered is ready itself.
	// The state is restored, but does not make the follower ready.
	NoneReady bool
}

// Follower applies the entries of one stream to a state that the caller holds.
// Apply, Restore and Snapshot are never called concurrently.
type Follower struct {
	Log    Log
	Stream string
	Writer string // name of this instance in the records it writes
	Format int    // highest record format that Apply knows

	// Apply applies the next entry to the state. It returns a *FormatError if
	// the entry has a newer format than Format.
	Apply func(Entry) error
	// Restore replaces the state by that of a snapshot taken at the offset.
	Restore func(data []byte, at Offset) error
	// Snapshot encodes the state.
	Snapshot func() ([]byte, error)
	// PeerState requests the newest state from other instances. The data may be
	// omitted if the state's offset is not above the given one. Nil means that
	// there are no peers.
	PeerState func(ctx context.Context, above Offset) (PeerState, error)
	// Due reports whether this instance writes the next snapshot, given the age
	// of the newest one and the number of entries since. With nil a snapshot is
	// due after 4096 entries, or at an age between a quarter and half of
	// Retention. That age differs between instances, so that usually only one
	// of them writes.
	Due func(age time.Duration, entries int) bool

	Retention time.Duration    // how long the log keeps entries; 0 means without limit
	RetryMin  time.Duration    // first delay after a failed read; 0 means 100 ms
	RetryMax  time.Duration    // maximum delay after failed reads; 0 means 2 s
	Wait      time.Duration    // how long a read waits for new entries; 0 means 5 s
	Now       func() time.Time // nil means time.Now
	Jitter    func() float64   // random number in [0,1); nil means math/rand

	mu                   sync.Mutex
	status               Status    // without Behind and Since, which the Status method computes
	unavailableSince     time.Time // when reads of the log began to fail; zero while they succeed
	lastPeerSync         time.Time // when ApplyFromPeer last reached the offset of a peer that was at the log's end
	snapshotTime         time.Time // the log's time of the newest valid snapshot, or else of the first entry
	snapshotOffset       Offset    // offset of the newest valid snapshot
	entriesSinceSnapshot int       // number of entries applied since the newest valid snapshot
	snapshotJitter       float64   // in [0,1); by this share of the minimum age, this instance's snapshot is due later
	lastSnapshotAttempt  time.Time // when this instance last tried to write a snapshot
	snapshotRequired     bool      // the state cannot be rebuilt from the log, so a snapshot is due at once
	skipLost             bool      // set by SkipLost
	disabledGuards       guardSet
}

// guardSet is a set of checks that tests disable to show that each is necessary.
type guardSet uint

const (
	guardNewerOnly        guardSet = 1 << iota // entries and states that are not newer than the own state are ignored
	guardSnapshotPosition                      // a snapshot is valid only if it includes all entries before it
	guardAllPeers                              // lost entries are skipped only after every listed peer answered
)

// Status returns the follower's current status.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.status
	unavailable := !f.unavailableSince.IsZero() && f.now().Sub(f.lastPeerSync) > f.maxWait()
	s.Behind = unavailable || s.Offset < s.End || s.Stopped != nil || s.Lost || !s.Ready
	if s.Behind {
		s.Since = f.behindSince()
	}
	return s
}

// behindSince returns when the state was last known to be the newest, or zero if
// that is not known.
func (f *Follower) behindSince() time.Time {
	if f.unavailableSince.After(f.lastPeerSync) {
		return f.unavailableSince
	}
	return f.lastPeerSync
}

// Run follows the stream until the context ends, and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	retry := f.newBackoff()
	for ctx.Err() == nil {
		if err := f.Step(ctx); err == nil {
			retry = f.newBackoff()
			continue
		}
		if err := sleep(ctx, retry.next()); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// SkipLost makes the follower skip entries that expired before it or a reachable
// peer read them. It is meant for an operator who knows that no instance has a
// state that includes them. Without it, the follower waits until every listed
// peer answers.
func (f *Follower) SkipLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.skipLost = true
}

// ApplyFromPeer applies entries received from a peer and returns the offset
// reached. Entries that the state includes already are ignored, and so are
// entries after a gap. The peer's status says whether it was at the log's end.
func (f *Follower) ApplyFromPeer(peer Status, entries []Entry) (Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.applyAll(entries)
	f.status.End = max(f.status.End, peer.Offset, peer.End)
	if !peer.Behind && f.status.Offset >= peer.End {
		f.lastPeerSync = f.now()
		f.status.Ready = true
	}
	if !f.unavailableSince.IsZero() {
		f.status.Source = SourcePeer
	}
	return f.status.Offset, err
}
