// Package journal reads and writes the platform's append-only log.
//
// A Writer appends records and finds out about those whose answer was lost. A
// Follower folds one stream into the caller's state:
//
//	follower := journal.Follower{
//		Log:      log,
//		Stream:   "config",
//		Format:   1,
//		Apply:    apply,    // folds one entry
//		Restore:  restore,  // takes the state of a snapshot
//		Snapshot: snapshot, // encodes the state
//	}
//	err := follower.Run(ctx)
//
// A snapshot is a record that stands for all entries before it, and for no
// others: its Presumes is the offset right before its own. When other entries
// came between, the snapshot is stale and changes nothing. A valid one is the
// stream's state at its offset for every replica.
//
// When entries expired that a follower has not read, it takes the newest
// snapshot of the log, else the newest state of its peers, and writes that back.
// If no peer has the state of the lost entries, they are skipped once every
// listed peer has said so; until then the follower goes on with what it has and
// says that it is behind. The newest state is lost only when all instances that
// hold it are gone while the log no longer gives it.
package journal
