// Package presence decides whether a backend server has ended or is only silent.
//
// A sound server may answer nothing for a second or so and go on. What depends on it is
// lost if it is taken for ended too early, and stands still if it is taken for silent too
// long. So facts that only an ended server explains are told from a lack of answers:
//
//	e := presence.Evidence{Unanswered: 2, SilentSince: now.Add(-400 * time.Millisecond)}
//	e.State(now) // Silent: it may go on
//	e.Refused = true
//	e.State(now) // Ended: no process listens at its address
package presence

//go:generate go tool stringer -type=State
