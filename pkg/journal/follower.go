package journal

import (
	"context"
	"sync"
	"time"
)

//go:generate go tool stringer -type=Source -trimprefix=Source

// Source says where a follower's state comes from.
type Source int

// Sources of a state.
const (
	SourceNone Source = iota // no state yet
	SourceLog                // read from the log
	SourcePeer               // taken from a peer while the log was away
)

// Status is the position of a follower.
type Status struct {
	Offset  Offset    // newest entry that the state includes
	End     Offset    // newest entry known to exist
	Ready   bool      // the state may be served from
	Behind  bool      // newer entries may exist: the log is away, or an entry was not applied
	Since   time.Time // when Behind became true, zero when it is not
	Source  Source    // where the state came from last
	Stopped error     // *FormatError of the entry after Offset, which this release cannot read
	Lost    bool      // entries after Offset expired, and nothing reachable has their state
}

// PeerState is the newest state that other instances hold.
type PeerState struct {
	Offset Offset
	Data   []byte // snapshot of the state at Offset
	// Complete means that every other instance on the platform's list answered,
	// also those that do not send heartbeats. Without it lost entries are not
	// skipped.
	Complete bool
	// NoneReady means that no instance that answered is ready itself. Its state
	// is taken, but does not make the follower ready.
	NoneReady bool
}

// Follower folds one stream into a state that the caller holds. Apply, Restore
// and Snapshot are never called at the same time.
type Follower struct {
	Log    Log
	Stream string
	Writer string // name of this instance in the records it writes
	Format int    // highest record format that Apply knows

	// Apply folds the next entry. It returns a *FormatError when it cannot read it.
	Apply func(Entry) error
	// Restore replaces the state by the one of a snapshot.
	Restore func(data []byte, at Offset) error
	// Snapshot encodes the state.
	Snapshot func() ([]byte, error)
	// PeerState asks other instances for their newest state. The data may be
	// left out when the offset is not above the given one. Nil stands for no
	// peers.
	PeerState func(ctx context.Context, above Offset) (PeerState, error)
	// Due reports whether this instance writes the next snapshot, given the age
	// of the newest one and the number of entries since. Nil stands for 4096
	// entries, or an age between a quarter and half of Retention that differs
	// from instance to instance, so that mostly one of them writes.
	Due func(age time.Duration, entries int) bool

	Retention time.Duration    // how long the log keeps entries, 0 for always
	RetryMin  time.Duration    // first pause after a failed read, 0 counts as 100 ms
	RetryMax  time.Duration    // longest pause after failed reads, 0 counts as 2 s
	Wait      time.Duration    // how long a read waits for entries, 0 counts as 5 s
	Now       func() time.Time // nil stands for time.Now
	Jitter    func() float64   // in [0,1), nil stands for math/rand

	mu         sync.Mutex
	status     Status    // but for Behind and Since, which Status computes
	awaySince  time.Time // when reads of the log began to fail, zero while they work
	peerEnd    time.Time // when a peer at the log's end last handed its entries over
	newest     time.Time // log's time of the newest valid snapshot, or of the first entry
	snapshotAt Offset    // of the newest valid snapshot
	entries    int       // folded since the newest valid snapshot
	spread     float64   // in [0,1), share by which this instance waits longer
	tried      time.Time // when this instance last tried to write a snapshot
	writeBack  bool      // the log no longer gives the state, so write it whoever is due
	skipLost   bool      // an operator said that nobody holds the lost entries' state
	disabled   guardSet
}

// guardSet are the checks that tests switch off to see that they matter.
type guardSet uint

const (
	guardNewest   guardSet = 1 << iota // newest offset wins
	guardSnapshot                      // a snapshot stands for all entries before it
	guardComplete                      // lost entries are skipped only when no peer has them
)

// Status returns the follower's position.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.status
	away := !f.awaySince.IsZero() && f.now().Sub(f.peerEnd) > f.wait()
	s.Behind = away || s.Offset < s.End || s.Stopped != nil || s.Lost || !s.Ready
	if s.Behind {
		s.Since = f.behindSince()
	}
	return s
}

// behindSince returns when the state was last known to be the newest one.
func (f *Follower) behindSince() time.Time {
	if f.awaySince.After(f.peerEnd) {
		return f.awaySince
	}
	return f.peerEnd
}

// Run follows the stream until the context ends, and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	pauses := f.retry()
	for ctx.Err() == nil {
		if err := f.Step(ctx); err == nil {
			pauses = f.retry()
			continue
		}
		if err := sleep(ctx, pauses.next()); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// SkipLost lets the follower go on after entries that expired before anyone
// reachable read them. Call it on an operator's word that no instance holds
// their state; without it the follower waits until every listed peer answers.
func (f *Follower) SkipLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.skipLost = true
}

// Offer folds entries that a peer hands over, and returns the offset reached.
// Entries may come twice; those after a gap are left out. The peer's own status
// tells whether it stood at the log's end.
func (f *Follower) Offer(peer Status, entries []Entry) (Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.foldAll(entries)
	f.status.End = max(f.status.End, peer.Offset, peer.End)
	if !peer.Behind && f.status.Offset >= peer.End {
		f.peerEnd = f.now()
		f.status.Ready = true
	}
	if !f.awaySince.IsZero() {
		f.status.Source = SourcePeer
	}
	return f.status.Offset, err
}
