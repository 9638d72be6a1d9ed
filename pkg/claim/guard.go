package claim

// guard is a bit for one of the checks that keep a key to one run. Tests switch
// a check off to show that the oracle finds what it prevents.
type guard uint8

const (
	guardReadBack      guard = 1 << iota // run only after the claim was read back
	guardWinnerRelease                   // only the winner's release frees a key
	guardCoverage                        // keys older than what was read are unknown
	guardSingleUse                       // a grant is used once
	guardGivenUp                         // a claim given up is never granted
	guardOneVerdict                      // a claim ID gets one verdict
	guardFreshRead                       // "not run" only from a fold past the own claim
	guardLogClock                        // a claim far before its key's time is refused
)

func (g guard) has(other guard) bool { return g&other != 0 }
