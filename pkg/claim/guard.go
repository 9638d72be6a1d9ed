package claim

// guard is a bit set of the checks which ensure that a key runs at most once. Tests
// disable a check to show that the test oracle finds the fault that it prevents.
type guard uint8

const (
	guardReadBack      guard = 1 << iota // a request runs only after its claim was read back
	guardHolderRelease                   // only a release by the claim that holds the key frees it
	guardCoverage                        // keys that may have been claimed in unread entries are unknown
	guardSingleUse                       // a grant can be used once
	guardGivenUp                         // a claim that was given up is never granted
	guardDecideOnce                      // a claim ID is decided once
	guardFreshRead                       // NotRun is returned only if the log was read past the attempt's own claim
	guardEarlyClaim                      // a claim too long before its key's time is ignored
)

func (g guard) has(other guard) bool { return g&other != 0 }
