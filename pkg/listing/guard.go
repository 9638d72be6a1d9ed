package listing

// Guard is a part of the rules that tests switch off, to show that it is needed.
type Guard uint

// The guards.
const (
	GuardOffsetOrder   Guard = 1 << iota // who has read further goes before who has read later
	GuardPeerAnswers                     // no grace where somebody had an answer of the store
	GuardMajority                        // no grace unless most entries went
	GuardKeeperRead                      // a keeper that read a removal while it had the store ends the grace
	GuardBeforeOutage                    // no grace for what went before the store was away
	GuardAfterRecovery                   // no grace for what went after most had come back
	GuardDepartures                      // a keeper names workers of all data centres that left
)

func (r Rules) on(g Guard) bool { return r.Disabled&g == 0 }
