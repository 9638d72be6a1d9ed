// Package placement holds the replicated state machine of a data centre's
// placement stream.
//
// Every entry instance of the data centre applies the same log entries in the
// same order and so reaches the same State: the entry instances and the share
// table, the leases, the groups with their members and epochs, and the claims of
// orders to backend servers that do not check fencing numbers. A record takes
// effect only if Apply accepts it. The fencing number of a lease, claim or epoch
// is the offset of the record that granted it.
//
//	var s placement.State
//	for _, entry := range page.Entries {
//		var v placement.Verdict
//		s, v = s.Apply(entry)
//		log.Println(v)
//	}
//	table, _ := s.Table()
//
// The state machine uses no clock. It stores the duration of a lease for the
// processes that have to wait until the lease expires.
package placement
