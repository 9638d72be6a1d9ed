package placement

// guard is a set of checks that tests switch off, to show that each matters.
type guard int

const (
	guardUnique      guard = 1 << iota // a member of one group joins no other
	guardDomain                        // members share a fabric domain
	guardSoleClaim                     // one open claim on a backend server
	guardClaimApart                    // a server with an open claim joins no group
	guardQuarantine                    // a server in quarantine joins no group and takes no order
	guardTakeover                      // only the claim of a process that is gone is taken over
	guardOneOrder                      // one confirmed order for a member and epoch
	guardPresumes                      // a group changes from the epoch that its writer knew
	guardUnknownHeld                   // an order of unknown outcome quarantines its server
	guardObserved                      // only an observation made during the quarantine ends it
)

// on reports whether the checks are in force.
func (s State) on(g guard) bool { return s.disabled&g == 0 }
