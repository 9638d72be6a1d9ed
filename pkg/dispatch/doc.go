// Package dispatch decides where a request runs, whether it waits and when it is
// refused.
//
// A Board holds the places where requests can run (heads of groups, or backend
// servers of a plain service), the load of this instance and its peers there, and
// the waiting requests. It does no I/O and takes the time as an argument:
//
//	var b dispatch.Board
//	b.SetPlaces(now, places)
//	switch d := b.Offer(now, ticket); d.Verdict {
//	case dispatch.Run: // send it to d.Place
//	case dispatch.Wait: // a later call of Next assigns it a place, or Expired returns it to be refused
//	case dispatch.Refuse: // tell the client to retry after d.RetryAfter
//	}
//
// A Board handles these load patterns:
//
//   - More requests than free slots: requests run in order of priority, but those
//     that can no longer meet their latency objective wait behind those that can.
//   - Clients that are spread unevenly over the instances of a data centre: the
//     load of all instances counts.
//   - Workers that fail some of their requests: they get fewer requests while they
//     fail.
//   - Workers in cold start: all instances share their limited request rate.
package dispatch

//go:generate go tool stringer -type=Verdict
