package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Defaults of Shard.
const (
	DefaultWindow         = 24 * time.Hour
	DefaultSkewMargin     = time.Minute
	DefaultMaxAnswerBytes = 8 << 20
)

// sweepsPerWindow sets how often old keys are removed from memory.
const sweepsPerWindow = 16

// Shard is the replicated state machine of one claim stream. Apply is its only
// way to learn; it has no clock, and judges by the time stamps of the log, which
// may not fall within a stream by more than SkewMargin. The zero value is ready
// for a stream from its first offset.
type Shard struct {
	Window         time.Duration // keys older than this are unknown; 0 means DefaultWindow
	SkewMargin     time.Duration // how far a key's time may be off; 0 means DefaultSkewMargin
	Retention      time.Duration // the log keeps each entry at least this long; 0 means not known
	MaxAnswerBytes int           // bodies kept for all keys; 0 means DefaultMaxAnswerBytes

	disabled guard

	next        journal.Offset // 0 until the first entry or skip
	newest      time.Time      // of all entries
	swept       time.Time
	covered     time.Time // keys before it may have been claimed in entries that were not read
	skipped     bool      // the next entry begins the coverage
	keys        map[Key]*keyState
	answers     []Key // keys with a kept body, oldest first
	answerBytes int
	Malformed   int // entries that hold no batch
}

// State is what the log says about a key.
type State uint8

//go:generate go tool stringer -type=State -trimprefix=State

// The states of a key.
const (
	StateFree      State = iota // no claim holds it: it did not run
	StateRunning                // a claim holds it
	StateComplete               // it ran and has its answer
	StateAbandoned              // it may have run
	StateExpired                // too old for what was read of the stream
)

// Holding is what the log says about a key and the claim that holds it.
type Holding struct {
	State    State
	Claim    ClaimID
	Claimant ClaimantID
	Digest   Digest
	Answer   Answer
	Reason   string
}

type keyState struct {
	Holding
	seen []ClaimID // every claim ID that has its verdict
}

// Next returns the offset that the shard wants next.
func (s *Shard) Next() journal.Offset { return max(s.next, 1) }

// Floor returns the oldest time of a key that the shard can judge.
func (s *Shard) Floor() time.Time {
	var floor time.Time
	if !s.newest.IsZero() {
		floor = s.newest.Add(-orDefault(s.Window, DefaultWindow))
	}
	if s.disabled.has(guardCoverage) || floor.After(s.covered) {
		return floor
	}
	return s.covered
}

// Skip tells the shard that the stream no longer keeps the entries before first,
// as seen in a read that ended at readAt.
func (s *Shard) Skip(first journal.Offset, readAt time.Time) {
	if first <= s.Next() {
		return
	}
	s.next = first
	if s.Retention > 0 {
		s.cover(readAt.Add(s.skewMargin() - s.Retention)) // readAt is not of the log's clock
		return
	}
	s.skipped = true
}

// cover notes that entries before start may have been missed. A valid claim
// stands less than SkewMargin before its key's time, so keys from then on are known.
func (s *Shard) cover(start time.Time) {
	at := start.Add(s.skewMargin())
	if at.After(s.covered) {
		s.covered = at
	}
}

// Apply folds one entry. Entries before Next change nothing. A gap is like a
// Skip. The error is ErrNewerFormat; the shard then stays before the entry.
func (s *Shard) Apply(e journal.Entry) error {
	if e.Offset < s.Next() {
		return nil
	}
	b, err := ParseBatch(e.Data)
	if isNewer(err) {
		return fmt.Errorf("offset %d: %w", e.Offset, err)
	}
	if e.Offset > s.Next() || s.skipped {
		s.cover(e.Time)
		s.skipped = false
	}
	s.next = e.Offset + 1
	if e.Time.After(s.newest) {
		s.newest = e.Time
	}
	if err != nil {
		s.Malformed++
		return nil
	}
	for _, r := range b.Records {
		s.applyRecord(e, b.Claimant, r)
	}
	s.sweep()
	return nil
}

func (s *Shard) applyRecord(e journal.Entry, claimant ClaimantID, r Record) {
	if r.Key.Time().Before(s.Floor()) || s.isEarly(r.Key, e.Time) {
		return
	}
	switch r.Kind {
	case RecordClaim:
		s.applyClaim(claimant, r)
	case RecordRelease:
		s.applyRelease(r)
	case RecordComplete:
		if k := s.running(r); k != nil {
			k.State = StateComplete
			s.keep(k, r)
		}
	case RecordAbandon:
		if k := s.running(r); k != nil {
			k.State = StateAbandoned
			k.Reason = r.Reason
		}
	}
}

// isEarly reports whether an entry stands too far before its key's time. Such a
// record leaves no trace, since readers whose coverage begins later miss it.
func (s *Shard) isEarly(key Key, at time.Time) bool {
	return key.Time().Sub(at) >= s.skewMargin() && !s.disabled.has(guardLogClock)
}

// applyClaim gives a claim ID its only verdict: it holds the key or never will.
func (s *Shard) applyClaim(claimant ClaimantID, r Record) {
	k := s.key(r.Key)
	if k.hasSeen(r.Claim) && !s.disabled.has(guardOneVerdict) {
		return
	}
	k.see(r.Claim)
	if k.State != StateFree {
		return
	}
	k.Holding = Holding{State: StateRunning, Claim: r.Claim, Claimant: claimant, Digest: r.Digest}
}

// applyRelease frees the key if the claim holds it. The claim ID is spent either
// way, so that a claim that arrives after its own release can't win.
func (s *Shard) applyRelease(r Record) {
	k := s.key(r.Key)
	k.see(r.Claim)
	holds := k.State == StateRunning && k.Claim == r.Claim
	if holds || s.disabled.has(guardWinnerRelease) {
		k.Holding = Holding{State: StateFree, Reason: r.Reason}
	}
}

// running returns the state of the record's key if its claim holds the key.
func (s *Shard) running(r Record) *keyState {
	k := s.keys[r.Key]
	if k == nil || k.State != StateRunning || k.Claim != r.Claim {
		return nil
	}
	return k
}

func (s *Shard) key(key Key) *keyState {
	k := s.keys[key]
	if k != nil {
		return k
	}
	if s.keys == nil {
		s.keys = map[Key]*keyState{}
	}
	k = &keyState{}
	s.keys[key] = k
	return k
}

// keep stores an answer and drops the oldest bodies above the bound.
func (s *Shard) keep(k *keyState, r Record) {
	if r.Answer == nil {
		return
	}
	k.Answer = *r.Answer
	if !k.Answer.Kept {
		return
	}
	s.answers = append(s.answers, r.Key)
	s.answerBytes += len(k.Answer.Body)
	for s.answerBytes > orDefault(s.MaxAnswerBytes, DefaultMaxAnswerBytes) {
		s.dropAnswer(s.answers[0])
		s.answers = s.answers[1:]
	}
}

func (s *Shard) dropAnswer(key Key) {
	k := s.keys[key]
	if k == nil || !k.Answer.Kept {
		return
	}
	s.answerBytes -= len(k.Answer.Body)
	k.Answer = k.Answer.WithoutBody()
}

// sweep forgets keys that are too old to be asked for.
func (s *Shard) sweep() {
	every := orDefault(s.Window, DefaultWindow) / sweepsPerWindow
	if s.newest.Sub(s.swept) < every {
		return
	}
	s.swept = s.newest
	floor := s.Floor()
	for key := range s.keys {
		if key.Time().Before(floor) {
			s.dropAnswer(key)
			delete(s.keys, key)
		}
	}
	s.answers = slices.DeleteFunc(s.answers, func(key Key) bool { return s.keys[key] == nil })
}

// Lookup returns what the log says about the key.
func (s *Shard) Lookup(key Key) Holding {
	if key.Time().Before(s.Floor()) {
		return Holding{State: StateExpired}
	}
	if k := s.keys[key]; k != nil {
		return k.Holding
	}
	return Holding{}
}

// Keys returns how many keys are in memory.
func (s *Shard) Keys() int { return len(s.keys) }

// AnswerBytes returns the bytes of all kept bodies.
func (s *Shard) AnswerBytes() int { return s.answerBytes }

func (s *Shard) skewMargin() time.Duration {
	return orDefault(s.SkewMargin, DefaultSkewMargin)
}

func (k *keyState) hasSeen(id ClaimID) bool { return slices.Contains(k.seen, id) }

func (k *keyState) see(id ClaimID) {
	if !k.hasSeen(id) {
		k.seen = append(k.seen, id)
	}
}

func orDefault[T int | float64 | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}
