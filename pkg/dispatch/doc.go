// Package dispatch decides where a request runs, whether it waits and when it is
// refused.
//
// Its scheduler holds the places where requests can run (heads of groups, or backend
// servers of a plain service), the load of this instance and its peers there, and
// the waiting requests. It does no I/O and takes the time as an argument:
//
//	s.SetPlaces(now, places)
//	switch d := s.Offer(now, ticket); d.Verdict {
//	case dispatch.Run: // send it to d.Place
//	case dispatch.Wait: // it is assigned a place later, or expires
//	case dispatch.Refuse: // the client may retry after d.RetryAfter
//	}
//
// The scheduler handles these load patterns:
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
//go:generate go tool stringer -type=BarCause
