// Package journal reads and writes the platform's append-only log.
//
// A Writer appends records and, if the response to an append was lost, reads the
// log to find out whether the record is there. A Follower applies one stream to
// the caller's state:
//
//	follower := journal.Follower{
//		Log:      log,
//		Stream:   "config",
//		Format:   1,
//		Apply:    apply,    // applies one entry to the state
//		Restore:  restore,  // replaces the state by that of a snapshot
//		Snapshot: snapshot, // encodes the state
//	}
//	err := follower.Run(ctx)
//
// A snapshot is a record that replaces all entries before it. It is valid only
// if its Presumes is the offset right before its own. If other entries were
// appended in between, the snapshot is stale and changes nothing. A valid
// snapshot is the stream's state at its offset for every replica.
//
// When entries expired before a follower read them, it restores the newest
// snapshot on the log, or else the newest state of its peers, which it then
// writes to the log as a snapshot. If no peer has a state that includes the lost
// entries, they are skipped once every listed peer has answered. Until then the
// follower keeps its state and reports that it is behind. The newest state is
// lost only if all instances that hold it are gone and it can no longer be
// restored from the log.
package journal
