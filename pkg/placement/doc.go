// Package placement holds the replicated state machine of a data centre's
// placement stream.
//
// Every entry instance of the data centre applies the same entries in the same
// order and so reaches the same State: the entry instances and the share table,
// leases, the groups with their members and epochs, and the claims of orders to
// engines that do not check fencing numbers. A record takes effect only when
// Apply accepts it. The offset of the record that granted a right is the
// right's fencing number.
//
//	var s placement.State
//	for _, entry := range page.Entries {
//		var v placement.Verdict
//		s, v = s.Apply(entry)
//		log.Println(v)
//	}
//	table, _ := s.Table()
//
// No clock takes part: a lease's duration is carried for those who wait for it.
package placement
