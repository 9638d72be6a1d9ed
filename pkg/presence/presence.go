package presence

import "time"

// State is what is concluded about a run of a backend server.
type State int

const (
	Present State = iota // nothing says that it doesn't run
	Silent               // it has not answered lately, but may be sound and go on
	Ended                // it has ended, or was silent for too long to wait for it
)

const (
	// minUnanswered is the number of unanswered probes after which a server is silent.
	minUnanswered = 2
	// silenceLimit is how long a server may be silent before it counts as ended.
	silenceLimit = 1500 * time.Millisecond
)

// Evidence is what is known about a run of a backend server. The zero value is that of one
// that has answered its last probe.
type Evidence struct {
	Unanswered  int       // probes since its last answer
	SilentSince time.Time // when the first of them was sent
	Refused     bool      // the last of them was refused, as no process listens at its address
	Replaced    bool      // the last of them was answered by another server or run
	// Unreachable is set if no connection could be opened for the last of them. A server
	// that is only silent still accepts connections.
	Unreachable bool
	// Draining is set if it said that it leaves. It stops listening before its work is done.
	Draining bool
	// Responding is set if others have lately had an answer of it, or events of its group,
	// to which all members of the group contribute.
	Responding bool
	// Stalled is set if the streams of its group made no progress somewhere since its last
	// answer.
	Stalled bool
}

// State returns the conclusion from the evidence.
func (e Evidence) State(now time.Time) State {
	switch {
	case e.Unanswered == 0, e.Unanswered < minUnanswered && !e.Stalled:
		return Present
	case e.Replaced:
		return Ended
	case (e.Refused || e.Unreachable) && !e.Draining && (e.Stalled || !e.Responding):
		return Ended
	case !e.Responding && now.Sub(e.SilentSince) > silenceLimit:
		return Ended
	}
	return Silent
}
