// Package lease spreads duties over live members and holds them by leases on
// the log.
//
// Owner chooses the member that should hold a duty, by rendezvous hashing. A
// Holder acquires the duty's lease on the placement stream, renews it before
// half of its duration has passed, and runs an act only while the lease has not
// lapsed by this process's monotonic clock:
//
//	if r, ok := holder.Step(state, alive); ok {
//		append(r) // then apply what the log returns, and call Step again
//	}
//	err := holder.Act(ctx, func(ctx context.Context, fence journal.Offset) error {
//		return send(ctx, fence)
//	})
//
// A lease keeps two instances from doing the same work. It does not make that
// work safe: a process may pause between the check and the act, so each act
// carries the lease's fencing number or a record that the log can refuse.
package lease
