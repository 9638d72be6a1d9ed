package group

// guard is a set of checks that tests switch off, to show that each matters.
type guard int

const (
	guardFresh      guard = 1 << iota // reports have a greatest age
	guardBoot                         // members run with the boot ID that was assigned
	guardEpoch                        // members report the group's epoch
	guardQuarantine                   // a group with a member in quarantine is not whole
	guardClaim                        // an order without fencing is claimed first
	guardOnce                         // a claimed order is sent once
	guardUnknown                      // an unknown outcome is recorded as such
	guardFence                        // orders carry the epoch as their fencing number
)

func (c Check) on(g guard) bool      { return c.disabled&g == 0 }
func (c Controller) on(g guard) bool { return c.disabled&g == 0 }
func (i *Issuer) on(g guard) bool    { return i.disabled&g == 0 }
