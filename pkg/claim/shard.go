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

// sweepsPerWindow is how often per Window the keys that are too old are removed from
// memory.
const sweepsPerWindow = 16

// Shard is the replicated state machine of one claim stream. Its state depends only on
// the entries and gaps that it was given. It has no clock, but uses the time stamps of the
// log, which must not go back by more than SkewMargin within a stream. The zero value is
// ready for a stream from its first offset.
type Shard struct {
	Window         time.Duration // keys older than this are unknown; 0 means DefaultWindow
	SkewMargin     time.Duration // maximum clock skew of a key's time; 0 means DefaultSkewMargin
	Retention      time.Duration // minimum time for which the log keeps an entry; 0 means unknown
	MaxAnswerBytes int           // total size of the bodies kept; 0 means DefaultMaxAnswerBytes

	disabledGuards guard

	nextOffset         journal.Offset // 0 until the first call of Apply or Skip
	newestTime         time.Time      // highest time of all entries
	sweptAt            time.Time
	coveredFrom        time.Time // keys with an earlier time may have been claimed in unread entries
	coverFromNextEntry bool      // unread entries precede the next one, whose time starts the coverage
	keys               map[Key]*keyState
	answers            []Key // keys with a kept body, oldest first
	answerBytes        int
	Malformed          int // number of entries that can't be parsed as a batch
}

// State is the state of a key according to the log.
type State uint8

//go:generate go tool stringer -type=State -trimprefix=State

// The states of a key.
const (
	StateFree      State = iota // no claim holds the key; it did not run
	StateRunning                // a claim holds the key
	StateComplete               // the key ran and has its answer
	StateAbandoned              // the key may have run
	StateExpired                // the key is older than OldestKeyTime, so its state is unknown
)

// KeyStatus is the state of a key and the claim that holds it, according to the log.
type KeyStatus struct {
	State    State
	Claim    ClaimID
	Claimant ClaimantID
	Digest   Digest
	Answer   Answer
	Reason   string
}

type keyState struct {
	KeyStatus
	decidedClaims []ClaimID // claims that won, lost or were released; none of them can win later
}

// Next returns the offset of the next entry to apply.
func (s *Shard) Next() journal.Offset { return max(s.nextOffset, 1) }

// OldestKeyTime returns the time before which the state of a key is unknown.
func (s *Shard) OldestKeyTime() time.Time {
	var floor time.Time
	if !s.newestTime.IsZero() {
		floor = s.newestTime.Add(-orDefault(s.Window, DefaultWindow))
	}
	if s.disabledGuards.has(guardCoverage) || floor.After(s.coveredFrom) {
		return floor
	}
	return s.coveredFrom
}

// Skip records that the log no longer has the entries before first, according to a read
// that ended at readAt by the clock of this process.
func (s *Shard) Skip(first journal.Offset, readAt time.Time) {
	if first <= s.Next() {
		return
	}
	s.nextOffset = first
	if s.Retention > 0 {
		s.setCoverage(readAt.Add(s.skewMargin() - s.Retention)) // the margin is for the skew between readAt and the log's clock
		return
	}
	s.coverFromNextEntry = true
}

// setCoverage records that entries before start may not have been read. A valid claim is
// less than SkewMargin before its key's time, so the state of keys from start plus
// SkewMargin on is known.
func (s *Shard) setCoverage(start time.Time) {
	from := start.Add(s.skewMargin())
	if from.After(s.coveredFrom) {
		s.coveredFrom = from
	}
}

// Apply applies one entry to the shard. Entries before Next change nothing. A gap before
// the entry has the effect of Skip. The only error is ErrNewerFormat, which leaves the
// shard unchanged.
func (s *Shard) Apply(e journal.Entry) error {
	if e.Offset < s.Next() {
		return nil
	}
	b, err := ParseBatch(e.Data)
	if isNewerFormat(err) {
		return fmt.Errorf("offset %d: %w", e.Offset, err)
	}
	if e.Offset > s.Next() || s.coverFromNextEntry {
		s.setCoverage(e.Time)
		s.coverFromNextEntry = false
	}
	s.nextOffset = e.Offset + 1
	if e.Time.After(s.newestTime) {
		s.newestTime = e.Time
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
	if r.Key.Time().Before(s.OldestKeyTime()) || s.isEarly(r.Key, e.Time) {
		return
	}
	switch r.Kind {
	case RecordClaim:
		s.applyClaim(claimant, r)
	case RecordRelease:
		s.applyRelease(r)
	case RecordComplete:
		if k := s.heldBy(r); k != nil {
			k.State = StateComplete
			s.keepAnswer(k, r)
		}
	case RecordAbandon:
		if k := s.heldBy(r); k != nil {
			k.State = StateAbandoned
			k.Reason = r.Reason
		}
	}
}

// isEarly reports whether an entry is too long before its key's time. Such a record is
// ignored entirely, since readers whose coverage starts later do not see it.
func (s *Shard) isEarly(key Key, at time.Time) bool {
	return key.Time().Sub(at) >= s.skewMargin() && !s.disabledGuards.has(guardEarlyClaim)
}

// applyClaim decides a claim, once per claim ID: either it holds the key from now on or it
// never will.
func (s *Shard) applyClaim(claimant ClaimantID, r Record) {
	k := s.ensureKey(r.Key)
	if k.hasDecided(r.Claim) && !s.disabledGuards.has(guardDecideOnce) {
		return
	}
	k.markDecided(r.Claim)
	if k.State != StateFree {
		return
	}
	k.KeyStatus = KeyStatus{State: StateRunning, Claim: r.Claim, Claimant: claimant, Digest: r.Digest}
}

// applyRelease frees the key if the claim holds it. In either case it marks the claim as
// decided, so that a claim which arrives after its own release can't win.
func (s *Shard) applyRelease(r Record) {
	k := s.ensureKey(r.Key)
	k.markDecided(r.Claim)
	holds := k.State == StateRunning && k.Claim == r.Claim
	if holds || s.disabledGuards.has(guardHolderRelease) {
		k.KeyStatus = KeyStatus{State: StateFree, Reason: r.Reason}
	}
}

// heldBy returns the state of the record's key if the record's claim holds it, or nil.
func (s *Shard) heldBy(r Record) *keyState {
	k := s.keys[r.Key]
	if k == nil || k.State != StateRunning || k.Claim != r.Claim {
		return nil
	}
	return k
}

func (s *Shard) ensureKey(key Key) *keyState {
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

// keepAnswer stores the answer of a record, and drops the oldest bodies while their total
// size is above MaxAnswerBytes.
func (s *Shard) keepAnswer(k *keyState, r Record) {
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
		s.dropBody(s.answers[0])
		s.answers = s.answers[1:]
	}
}

func (s *Shard) dropBody(key Key) {
	k := s.keys[key]
	if k == nil || !k.Answer.Kept {
		return
	}
	s.answerBytes -= len(k.Answer.Body)
	k.Answer = k.Answer.WithoutBody()
}

// sweep removes the keys before OldestKeyTime, at most sweepsPerWindow times per Window.
func (s *Shard) sweep() {
	interval := orDefault(s.Window, DefaultWindow) / sweepsPerWindow
	if s.newestTime.Sub(s.sweptAt) < interval {
		return
	}
	s.sweptAt = s.newestTime
	floor := s.OldestKeyTime()
	for key := range s.keys {
		if key.Time().Before(floor) {
			s.dropBody(key)
			delete(s.keys, key)
		}
	}
	s.answers = slices.DeleteFunc(s.answers, func(key Key) bool { return s.keys[key] == nil })
}

// Lookup returns the status of the key.
func (s *Shard) Lookup(key Key) KeyStatus {
	if key.Time().Before(s.OldestKeyTime()) {
		return KeyStatus{State: StateExpired}
	}
	if k := s.keys[key]; k != nil {
		return k.KeyStatus
	}
	return KeyStatus{}
}

// KeyCount returns the number of keys in memory.
func (s *Shard) KeyCount() int { return len(s.keys) }

// AnswerBytes returns the total size of the kept bodies.
func (s *Shard) AnswerBytes() int { return s.answerBytes }

func (s *Shard) skewMargin() time.Duration {
	return orDefault(s.SkewMargin, DefaultSkewMargin)
}

func (k *keyState) hasDecided(id ClaimID) bool { return slices.Contains(k.decidedClaims, id) }

func (k *keyState) markDecided(id ClaimID) {
	if !k.hasDecided(id) {
		k.decidedClaims = append(k.decidedClaims, id)
	}
}

func orDefault[T int | float64 | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}
