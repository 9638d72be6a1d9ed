package claim

import (
	"fmt"
	"time"
)

// Kind is the kind of an outcome: whether a key ran, or whether the caller is to run it.
type Kind uint8

//go:generate go tool stringer -type=Kind

// The kinds of outcomes.
const (
	Unknown  Kind = iota // the key may have run and is not run again
	Run                  // the caller of Begin has the grant to run the key once
	Replay               // the key ran and its answer is known
	NotRun               // the key did not run, and the attempt in question never runs it
	Conflict             // the key belongs to a request with another digest
	Pending              // another attempt is still running the key
)

// Outcome is the outcome of a claim, as its claimant reports it to others.
type Outcome struct {
	Kind   Kind   // neither Run nor Conflict, except in a Decision
	Answer Answer // for Replay; has no body if Kept is false
	Reason string
}

// Decision is the result of Begin.
type Decision struct {
	Outcome
	Grant      *Grant        // for Run
	RetryAfter time.Duration // delay before the next attempt; 0 if another attempt can't change the outcome
}

// UnavailableError reports that the log did not decide a claim in time. The attempt never
// runs. Whether an earlier attempt of the same key ran is unknown.
type UnavailableError struct {
	Stream     string
	RetryAfter time.Duration
	Err        error
}

// Error names the stream and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("claim stream %s did not answer in time: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Outcome returns the outcome to report to the caller. The parameter first says that
// neither the caller nor any process of the system made an earlier attempt with the key.
func (e *UnavailableError) Outcome(first bool) Outcome {
	if first {
		return Outcome{Kind: NotRun, Reason: "claim log is unavailable"}
	}
	return Outcome{Kind: Unknown, Reason: "claim log is unavailable, an earlier attempt may have run"}
}

// FutureKeyError reports a key whose time is too far in the future: claims for it would
// be ignored as too early by the clock of the log. The key did not run in any process.
type FutureKeyError struct {
	Key    Key
	Ahead  time.Duration
	Margin time.Duration
}

// Error names the key and how far in the future it is.
func (e *FutureKeyError) Error() string {
	return fmt.Sprintf("key %s is %v ahead of the clock, %v is allowed", e.Key, e.Ahead, e.Margin)
}
