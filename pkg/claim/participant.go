package claim

import (
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/cockroachdb/errors"
)

// phase is the state of an attempt of this process.
type phase uint8

const (
	phaseWaiting   phase = iota // its claim is not decided yet
	phaseWon                    // its claim holds the key, so it may run
	phaseLost                   // another claim holds the key
	phaseExpired                // the key is too old
	phaseGivenUp                // ended before its claim was decided; it never runs
	phaseReleased               // won, did not run
	phaseCompleted              // won, ran, and has its answer
	phaseAbandoned              // won, may have run, has no answer
)

// attempt is one attempt of this process to run a key.
type attempt struct {
	key    Key
	claim  ClaimID
	digest Digest

	phase        phase
	used         bool
	claimSent    bool           // the claim record was part of an append
	recordOffset journal.Offset // of the phase's record; 0 if it has to be appended
	answer       Answer
	reason       string
	settled      chan struct{} // closed when the phase is no longer phaseWaiting
	recorded     chan struct{} // closed when the log needs no more records of the attempt
}

// phaseRecord returns the record for the attempt's phase, and false if the phase needs
// none.
func (a *attempt) phaseRecord() (Record, bool) {
	r := Record{Key: a.key, Claim: a.claim}
	switch a.phase {
	case phaseWaiting:
		r.Kind, r.Digest = RecordClaim, a.digest
	case phaseGivenUp, phaseReleased:
		r.Kind, r.Reason = RecordRelease, a.reason
	case phaseCompleted:
		r.Kind, r.Answer = RecordComplete, &a.answer
	case phaseAbandoned:
		r.Kind, r.Reason = RecordAbandon, a.reason
	default:
		return Record{}, false
	}
	return r, true
}

// setPhase changes the phase. The record of the new phase is not in the log yet.
func (a *attempt) setPhase(p phase) {
	if a.phase == phaseWaiting {
		close(a.settled)
	}
	a.phase = p
	a.recordOffset = 0
}

// participant is the state of one process for one claim stream: the shard and its own
// attempts. It does no I/O and has no clock.
type participant struct {
	shard          Shard
	attempts       []*attempt // those that may run or of which the log needs more records
	disabledGuards guard
}

func (p *participant) begin(key Key, digest Digest, id ClaimID) *attempt {
	a := &attempt{
		key: key, claim: id, digest: digest,
		settled:  make(chan struct{}),
		recorded: make(chan struct{}),
	}
	p.attempts = append(p.attempts, a)
	return a
}

// sentRecord identifies a record in an append by its attempt and the phase that it is for.
type sentRecord struct {
	attempt *attempt
	phase   phase
}

// nextBatch returns the records to append next: up to an estimated size of maxBytes, but
// at least one. A record whose append had an unknown outcome is repeated, which is safe
// because a shard decides a claim ID only once.
func (p *participant) nextBatch(maxBytes int) ([]Record, []sentRecord) {
	var (
		records []Record
		sent    []sentRecord
		size    int
	)
	for _, a := range p.attempts {
		r, ok := a.phaseRecord()
		if !ok || a.recordOffset != 0 {
			continue
		}
		size += recordBytes(r)
		if size > maxBytes && len(records) > 0 {
			break
		}
		a.claimSent = true
		records = append(records, r)
		sent = append(sent, sentRecord{a, a.phase})
	}
	return records, sent
}

// hasUnappended reports whether nextBatch would return records.
func (p *participant) hasUnappended() bool {
	return slices.ContainsFunc(p.attempts, func(a *attempt) bool {
		_, ok := a.phaseRecord()
		return ok && a.recordOffset == 0
	})
}

// recordAppended records that the log appended the records at the offset.
func (p *participant) recordAppended(sent []sentRecord, at journal.Offset) {
	for _, record := range sent {
		if record.attempt.phase != record.phase {
			continue
		}
		record.attempt.recordOffset = at
		if record.phase == phaseWaiting && p.disabledGuards.has(guardReadBack) {
			record.attempt.setPhase(phaseWon)
		}
	}
}

// apply applies one entry to the shard and settles the attempts that it decides.
func (p *participant) apply(e journal.Entry) error {
	if err := p.shard.Apply(e); err != nil {
		return err
	}
	p.settleAttempts()
	return nil
}

// skip records that the log no longer has the entries before first.
func (p *participant) skip(first journal.Offset, readAt time.Time) {
	p.shard.Skip(first, readAt)
	p.settleAttempts()
}

func (p *participant) settleAttempts() {
	p.attempts = slices.DeleteFunc(p.attempts, p.settleAttempt)
}

// settleAttempt updates the phase of an attempt from the shard, and reports whether the
// log needs no more records of it.
func (p *participant) settleAttempt(a *attempt) bool {
	if a.recordOffset < p.shard.Next() {
		a.recordOffset = 0 // already applied; if it had no effect it was too early and is appended again
	}
	status := p.shard.Lookup(a.key)
	holds := status.State == StateRunning && status.Claim == a.claim
	decided := status.State == StateExpired || p.shard.isDecided(a.key, a.claim)
	switch a.phase {
	case phaseWaiting:
		switch {
		case holds:
			a.setPhase(phaseWon)
			return false
		case status.State == StateExpired:
			a.setPhase(phaseExpired)
		case decided:
			a.setPhase(phaseLost)
		default:
			return false
		}
	case phaseWon:
		return false
	default:
		if holds || !decided {
			return false
		}
	}
	close(a.recorded)
	return true
}

// isDecided reports whether the claim has won or lost the key, or was released.
func (s *Shard) isDecided(key Key, id ClaimID) bool {
	k := s.keys[key]
	return k != nil && k.hasDecided(id)
}

// decidesWithoutClaim reports whether a decision is valid without a new claim. The shard
// may lag behind the log, so NotRun needs a claim: only once the shard has applied that
// claim is it certain that the key did not run before Begin was called.
func (p *participant) decidesWithoutClaim(d Decision) bool {
	return d.Kind != NotRun || p.disabledGuards.has(guardFreshRead)
}

// giveUp ends an attempt whose claim is not decided, and reports whether it did. The
// attempt never runs after that, even if the log grants its claim later.
func (p *participant) giveUp(a *attempt, reason string) bool {
	if a.phase != phaseWaiting {
		return false
	}
	if p.disabledGuards.has(guardGivenUp) {
		return true
	}
	a.reason = reason
	a.setPhase(phaseGivenUp)
	if !a.claimSent {
		p.removeAttempt(a)
	}
	return true
}

func (p *participant) removeAttempt(a *attempt) {
	p.attempts = slices.DeleteFunc(p.attempts, func(b *attempt) bool { return a == b })
	close(a.recorded)
}

// Errors of a Grant.
var (
	ErrGrantUsed  = errors.New("grant has been used")
	ErrGrantEnded = errors.New("grant has ended")
)

// use marks the attempt's request as sent.
func (p *participant) use(a *attempt) error {
	if a.phase != phaseWon {
		return ErrGrantEnded
	}
	if a.used && !p.disabledGuards.has(guardSingleUse) {
		return ErrGrantUsed
	}
	a.used = true
	return nil
}

// end moves a won attempt to its final phase.
func (p *participant) end(a *attempt, final phase, answer Answer, reason string) error {
	if a.phase != phaseWon {
		return ErrGrantEnded
	}
	a.answer = answer
	a.reason = reason
	a.setPhase(final)
	return nil
}

// outcome returns the outcome of a claim for another process that found it in the log.
func (p *participant) outcome(key Key, id ClaimID) Outcome {
	for _, a := range p.attempts {
		if a.claim == id {
			return a.outcome()
		}
	}
	return p.loggedOutcome(key, id)
}

func (a *attempt) outcome() Outcome {
	switch a.phase {
	case phaseWaiting, phaseWon:
		return Outcome{Kind: Pending}
	case phaseGivenUp, phaseReleased, phaseLost:
		return Outcome{Kind: NotRun, Reason: a.reason}
	case phaseCompleted:
		return Outcome{Kind: Replay, Answer: a.answer}
	default:
		return Outcome{Kind: Unknown, Reason: a.reason}
	}
}

// loggedOutcome returns the outcome of a claim for which this process has no attempt in
// memory.
func (p *participant) loggedOutcome(key Key, id ClaimID) Outcome {
	status := p.shard.Lookup(key)
	switch {
	case status.State == StateComplete && status.Claim == id:
		return Outcome{Kind: Replay, Answer: status.Answer}
	case status.State == StateRunning && status.Claim == id, status.State == StateAbandoned && status.Claim == id:
		return Outcome{Kind: Unknown, Reason: "claimant has no memory of the claim"}
	case status.State != StateExpired && p.shard.isDecided(key, id):
		return Outcome{Kind: NotRun, Reason: status.Reason}
	default:
		return Outcome{Kind: Unknown, Reason: "claim is not known"}
	}
}

// recordBaseBytes is the approximate size of an encoded record without its body.
const recordBaseBytes = 320

func recordBytes(r Record) int {
	if r.Answer == nil {
		return recordBaseBytes
	}
	return recordBaseBytes + len(r.Answer.Body)*4/3
}

func isNewerFormat(err error) bool { return errors.Is(err, ErrNewerFormat) }
