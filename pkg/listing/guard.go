package listing

// Guard is a set of parts of the rules that tests disable to show that they are needed.
type Guard uint

const (
	GuardOffsetOrder   Guard = 1 << iota // a higher position takes precedence over a later time
	GuardPeerAnswers                     // no grace if the store answered another instance during the outage
	GuardMajority                        // no grace unless most entries were removed
	GuardKeeperRead                      // no grace for a removal that a keeper read while the store answered it
	GuardBeforeOutage                    // no grace for entries that were removed before the store outage
	GuardAfterRecovery                   // no grace for entries that were removed after most servers had registered again
	GuardDepartures                      // keepers announce departures of workers of all data centres
)

func (r Rules) enabled(g Guard) bool { return r.Disabled&g == 0 }
