package journal

// Guards of a Follower, which tests can disable.
const (
	GuardNewerOnly        = guardNewerOnly
	GuardSnapshotPosition = guardSnapshotPosition
	GuardAllPeers         = guardAllPeers
)

// Guard is a set of guards.
type Guard = guardSet

// Disable disables the guards in g.
func (f *Follower) Disable(g Guard) { f.disabledGuards = g }
