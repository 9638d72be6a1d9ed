// Package lease distributes duties over the live members, which hold them by leases
// on the log.
//
// Owner chooses the member that should hold a duty, by rendezvous hashing. A Holder
// acquires the duty's lease on the placement stream, renews it once half of its
// duration has passed, and runs a function only while the lease has not lapsed by
// this process's monotonic clock:
//
//	if r, ok := holder.Step(state, alive); ok {
//		append(r) // then apply the entries that the log returns, and call Step again
//	}
//	err := holder.Act(ctx, func(ctx context.Context, fence journal.Offset) error {
//		return send(ctx, fence)
//	})
//
// A lease keeps two instances from doing the same work at the same time, but it is
// not sufficient for safety: a process may pause between the check of the lease and
// the action. So each action carries the lease's fencing number, or is a record that
// the log can refuse.
package lease
