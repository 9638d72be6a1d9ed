package replica

import (
	"context"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Options set up a replica.
type Options struct {
	Log    journal.Log
	Writer string // name of this entry instance in the records it writes
	// PeerState asks other entry instances for their newest state of a stream.
	PeerState func(ctx context.Context, stream string, above journal.Offset) (journal.PeerState, error)
	// Retention is how long the log keeps entries, 0 for always.
	Retention time.Duration
	// WritesSnapshots reports whether this instance is the one that writes snapshots.
	WritesSnapshots func(stream string) bool
}

// snapshotEntries is how many entries are folded before the next snapshot.
const snapshotEntries = 256

// follow sets up the follower of a stream.
func (o Options) follow(follower *journal.Follower, stream string, format int) {
	follower.Log = o.Log
	follower.Stream = stream
	follower.Writer = o.Writer
	follower.Format = format
	follower.Retention = o.Retention
	follower.Due = func(age time.Duration, entries int) bool {
		old := o.Retention > 0 && age > o.Retention/4
		mine := o.WritesSnapshots == nil || o.WritesSnapshots(stream)
		return mine && (old || entries >= snapshotEntries)
	}
	if o.PeerState != nil {
		follower.PeerState = func(ctx context.Context, above journal.Offset) (journal.PeerState, error) {
			return o.PeerState(ctx, stream, above)
		}
	}
}
