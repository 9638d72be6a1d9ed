package replica

import (
	"context"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Options configure a replica.
type Options struct {
	Log    journal.Log
	Writer string // name of this entry instance in the records it writes
	// PeerState asks the peers for their newest state of a stream. They may leave it out
	// unless its offset is above the given one. Nil means that there are no peers.
	PeerState func(ctx context.Context, stream string, above journal.Offset) (journal.PeerState, error)
	// Retention is how long the log keeps entries; 0 means forever.
	Retention time.Duration
	// WritesSnapshots reports whether this instance writes the snapshots of a stream. Nil stands for
	// true.
	WritesSnapshots func(stream string) bool
}

// entriesPerSnapshot is the number of applied entries after which the next snapshot is
// written.
const entriesPerSnapshot = 256

// configureFollower configures the follower of a stream.
func (o Options) configureFollower(follower *journal.Follower, stream string, format int) {
	follower.Log = o.Log
	follower.Stream = stream
	follower.Writer = o.Writer
	follower.Format = format
	follower.Retention = o.Retention
	follower.Due = func(age time.Duration, entries int) bool {
		newestTooOld := o.Retention > 0 && age > o.Retention/4
		writesSnapshots := o.WritesSnapshots == nil || o.WritesSnapshots(stream)
		return writesSnapshots && (newestTooOld || entries >= entriesPerSnapshot)
	}
	if o.PeerState != nil {
		follower.PeerState = func(ctx context.Context, above journal.Offset) (journal.PeerState, error) {
			return o.PeerState(ctx, stream, above)
		}
	}
}
