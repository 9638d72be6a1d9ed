package group

// guard is a set of safety checks. Tests disable single checks to show that each is
// needed.
type guard int

const (
	guardReportAge      guard = 1 << iota // reports older than Check.MaxAge don't count
	guardBootID                           // members and responses have the boot ID that was assigned
	guardEpoch                            // members and responses have the group's epoch
	guardQuarantine                       // a group with a member in quarantine is not whole
	guardClaimFirst                       // an order to a server that ignores fencing numbers needs a claim
	guardSendOnce                         // a claimed order is sent at most once
	guardUnknownOutcome                   // an order of unknown outcome is not recorded as not sent
	guardFence                            // orders carry the epoch as their fencing number
)

func (c Check) on(g guard) bool      { return c.disabled&g == 0 }
func (c Controller) on(g guard) bool { return c.disabled&g == 0 }
func (i *Issuer) on(g guard) bool    { return i.disabled&g == 0 }
