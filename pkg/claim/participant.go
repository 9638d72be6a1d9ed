package claim

import (
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/cockroachdb/errors"
)

// phase is how far an attempt of this process has come.
type phase uint8

const (
	phaseWaiting   phase = iota // its claim has no verdict yet
	phaseWon                    // it may run
	phaseLost                   // another claim holds the key
	phaseExpired                // the key is too old
	phaseGivenUp                // told that it never runs, before a verdict
	phaseReleased               // won, and never ran
	phaseCompleted              // won, ran, has its answer
	phaseAbandoned              // won, may have run
)

// attempt is one try of this process to run a key.
type attempt struct {
	key    Key
	claim  ClaimID
	digest Digest

	phase   phase
	used    bool
	sent    bool           // a claim record went into an append
	landed  journal.Offset // of the record that the phase wants, 0 if it is to be appended
	answer  Answer
	reason  string
	settled chan struct{} // closed when the phase is no longer waiting
	written chan struct{} // closed when the log needs nothing more from it
}

// record returns the record that the attempt wants in the log now.
func (a *attempt) record() (Record, bool) {
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

// enter moves the attempt to a phase, whose record is not in the log yet.
func (a *attempt) enter(p phase) {
	if a.phase == phaseWaiting {
		close(a.settled)
	}
	a.phase = p
	a.landed = 0
}

// participant is what one process knows of one claim stream: the folded stream
// and its own attempts. It does no I/O, and has no clock.
type participant struct {
	shard    Shard
	attempts []*attempt // those that the log still needs something from, or that run
	disabled guard
}

func (p *participant) begin(key Key, digest Digest, id ClaimID) *attempt {
	a := &attempt{
		key: key, claim: id, digest: digest,
		settled: make(chan struct{}),
		written: make(chan struct{}),
	}
	p.attempts = append(p.attempts, a)
	return a
}

// flight is a record that goes into an append, and the phase that wanted it.
type flight struct {
	attempt *attempt
	phase   phase
}

// batch returns the records to append next, at most maxBytes of them by estimate
// but at least one. It repeats a record whose append had an unknown outcome:
// the shard folds a claim ID only once.
func (p *participant) batch(maxBytes int) ([]Record, []flight) {
	var (
		records []Record
		flights []flight
		size    int
	)
	for _, a := range p.attempts {
		r, ok := a.record()
		if !ok || a.landed != 0 {
			continue
		}
		size += recordBytes(r)
		if size > maxBytes && len(records) > 0 {
			break
		}
		a.sent = true
		records = append(records, r)
		flights = append(flights, flight{a, a.phase})
	}
	return records, flights
}

// hasWork reports whether batch would return records.
func (p *participant) hasWork() bool {
	return slices.ContainsFunc(p.attempts, func(a *attempt) bool {
		_, ok := a.record()
		return ok && a.landed == 0
	})
}

// appended notes that the log took the records at the offset.
func (p *participant) appended(flights []flight, at journal.Offset) {
	for _, f := range flights {
		if f.attempt.phase != f.phase {
			continue
		}
		f.attempt.landed = at
		if f.phase == phaseWaiting && p.disabled.has(guardReadBack) {
			f.attempt.enter(phaseWon)
		}
	}
}

// apply folds one entry and settles the attempts that it decides.
func (p *participant) apply(e journal.Entry) error {
	if err := p.shard.Apply(e); err != nil {
		return err
	}
	p.settle()
	return nil
}

// skip notes that entries before first are gone.
func (p *participant) skip(first journal.Offset, readAt time.Time) {
	p.shard.Skip(first, readAt)
	p.settle()
}

func (p *participant) settle() {
	p.attempts = slices.DeleteFunc(p.attempts, p.settleOne)
}

// settleOne compares an attempt with the log and reports whether the log needs
// nothing more from it.
func (p *participant) settleOne(a *attempt) bool {
	if a.landed < p.shard.Next() {
		a.landed = 0 // folded: what has no effect by then was too early and goes again
	}
	h := p.shard.Lookup(a.key)
	holds := h.State == StateRunning && h.Claim == a.claim
	decided := h.State == StateExpired || p.shard.spent(a.key, a.claim)
	switch a.phase {
	case phaseWaiting:
		switch {
		case holds:
			a.enter(phaseWon)
			return false
		case h.State == StateExpired:
			a.enter(phaseExpired)
		case decided:
			a.enter(phaseLost)
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
	close(a.written)
	return true
}

// spent reports whether the claim ID has had its verdict.
func (s *Shard) spent(key Key, id ClaimID) bool {
	k := s.keys[key]
	return k != nil && k.hasSeen(id)
}

// known reports whether a decision holds without a new claim. The fold may lag
// behind the log, so a key that looks as if it did not run still needs a claim:
// only a fold past that claim proves that nothing ran before Begin was called.
func (p *participant) known(d Decision) bool {
	return d.Kind != NotRun || p.disabled.has(guardFreshRead)
}

// giveUp ends an attempt that waits for its verdict, and reports whether it did.
// From then on the attempt never runs, whatever the log says later.
func (p *participant) giveUp(a *attempt, reason string) bool {
	if a.phase != phaseWaiting {
		return false
	}
	if p.disabled.has(guardGivenUp) {
		return true
	}
	a.reason = reason
	a.enter(phaseGivenUp)
	if !a.sent {
		p.forget(a)
	}
	return true
}

func (p *participant) forget(a *attempt) {
	p.attempts = slices.DeleteFunc(p.attempts, func(b *attempt) bool { return a == b })
	close(a.written)
}

// Errors of a Grant.
var (
	ErrGrantUsed  = errors.New("grant has been used")
	ErrGrantEnded = errors.New("grant has ended")
)

// use spends the right to send the request.
func (p *participant) use(a *attempt) error {
	if a.phase != phaseWon {
		return ErrGrantEnded
	}
	if a.used && !p.disabled.has(guardSingleUse) {
		return ErrGrantUsed
	}
	a.used = true
	return nil
}

// end moves a won attempt to its last phase.
func (p *participant) end(a *attempt, last phase, answer Answer, reason string) error {
	if a.phase != phaseWon {
		return ErrGrantEnded
	}
	a.answer = answer
	a.reason = reason
	a.enter(last)
	return nil
}

// outcome answers another process that found the claim in the log.
func (p *participant) outcome(key Key, id ClaimID) Outcome {
	for _, a := range p.attempts {
		if a.claim == id {
			return a.outcome()
		}
	}
	return p.logged(key, id)
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

// logged is the outcome of a claim that this process has no attempt for.
func (p *participant) logged(key Key, id ClaimID) Outcome {
	h := p.shard.Lookup(key)
	switch {
	case h.State == StateComplete && h.Claim == id:
		return Outcome{Kind: Replay, Answer: h.Answer}
	case h.State == StateRunning && h.Claim == id, h.State == StateAbandoned && h.Claim == id:
		return Outcome{Kind: Unknown, Reason: "claimant has no memory of the claim"}
	case h.State != StateExpired && p.shard.spent(key, id):
		return Outcome{Kind: NotRun, Reason: h.Reason}
	default:
		return Outcome{Kind: Unknown, Reason: "claim is not known"}
	}
}

// recordBaseBytes is about the size of an encoded record without its body.
const recordBaseBytes = 320

func recordBytes(r Record) int {
	if r.Answer == nil {
		return recordBaseBytes
	}
	return recordBaseBytes + len(r.Answer.Body)*4/3
}

func isNewer(err error) bool { return errors.Is(err, ErrNewerFormat) }
