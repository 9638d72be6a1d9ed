package claim

import (
	"fmt"
	"time"
)

// Kind says what is to be done, or what became of a key.
type Kind uint8

//go:generate go tool stringer -type=Kind

// The kinds of outcomes.
const (
	Unknown  Kind = iota // may have run; it is not run again
	Run                  // the caller of Begin holds the grant to run it, once
	Replay               // ran; the answer is at hand
	NotRun               // did not run, and no attempt that was asked about will
	Conflict             // the key belongs to a request with another digest
	Pending              // another attempt still runs it
)

// Outcome is what became of a claim, as its claimant tells others.
type Outcome struct {
	Kind   Kind   // never Run or Conflict
	Answer Answer // for Replay; without a body if Kept is false
	Reason string
}

// Decision is the result of Begin.
type Decision struct {
	Outcome
	Grant      *Grant        // for Run
	RetryAfter time.Duration // when to ask again; 0 means that asking again is no use
}

// UnavailableError reports that the log could not be asked in time. The attempt
// never runs. Whether an earlier attempt of the same key ran is not known.
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

// Outcome returns what may be told to the caller. first says that no earlier
// attempt of the key was made, by the caller or by any process of the system.
func (e *UnavailableError) Outcome(first bool) Outcome {
	if first {
		return Outcome{Kind: NotRun, Reason: "claim log is unavailable"}
	}
	return Outcome{Kind: Unknown, Reason: "claim log is unavailable, an earlier attempt may have run"}
}

// FutureKeyError reports a key whose time is so far ahead that the log's clock
// refuses every claim for it. The key did not run anywhere.
type FutureKeyError struct {
	Key    Key
	Ahead  time.Duration
	Margin time.Duration
}

// Error names the key and how far ahead it is.
func (e *FutureKeyError) Error() string {
	return fmt.Sprintf("key %s is %v ahead of the clock, %v is allowed", e.Key, e.Ahead, e.Margin)
}
