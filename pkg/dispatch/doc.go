// Package dispatch decides where a request runs, whether it waits, and when it
// is turned away.
//
// A Board holds the places that take requests (heads of groups, or backend
// servers of a plain service), what this instance and its neighbours have
// running there, and the requests that wait. It does no I/O and takes the time
// as an argument:
//
//	var b dispatch.Board
//	b.SetPlaces(now, places)
//	switch d := b.Offer(now, ticket); d.Verdict {
//	case dispatch.Run: // send it to d.Place
//	case dispatch.Wait: // Next hands it a place later, or Expired turns it away
//	case dispatch.Refuse: // tell the client to come back after d.RetryAfter
//	}
//
// Load patterns it answers: more work than places (the more urgent go first, and
// those that can't be on time any more wait behind all that can), uneven shares of clients at the instances
// of a data centre (places are counted over all instances), workers that fail
// part of what they get (they lose their share as their failures show), and
// workers in cold start (their rate is divided between all instances).
package dispatch

//go:generate go tool stringer -type=Verdict
