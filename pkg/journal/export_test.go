package journal

// Guards of a Follower, for tests that switch them off.
const (
	GuardNewest   = guardNewest
	GuardSnapshot = guardSnapshot
	GuardComplete = guardComplete
)

// Guard is a set of guards.
type Guard = guardSet

// Disable switches guards off.
func (f *Follower) Disable(g Guard) { f.disabled = g }
