package placement

// guardSet is a set of checks that tests disable to show that each is necessary.
type guardSet int

const (
	guardSingleGroup    guardSet = 1 << iota // a backend server is a member of at most one group
	guardFabricDomain                        // all members of a group are in its fabric domain
	guardSingleClaim                         // a backend server has at most one open claim
	guardClaimedServer                       // a backend server with an open claim joins no group
	guardQuarantine                          // a backend server in quarantine joins no group and gets no order
	guardTakeover                            // only the claim of a process that is gone can be taken over
	guardSingleOrder                         // a member gets no further order in the epoch after one was confirmed
	guardGroupPresumes                       // a new assignment presumes the group's current epoch
	guardUnknownOutcome                      // an order whose outcome is unknown quarantines its backend server
	guardObservation                         // an observation from before the quarantine neither updates nor ends it
)

// enforces reports whether all checks in g are enabled.
func (s State) enforces(g guardSet) bool { return s.disabledGuards&g == 0 }
