package keeper

import (
	"slices"
	"time"
)

// loadBudget keeps the loads of a data centre's share within the rate of the
// store of weights.
type loadBudget struct {
	begun []time.Time
}

// unlimitedLoads is how many loads may begin at once before clients send
// requests; the store of weights does not count them.
const unlimitedLoads = 1 << 10

// available returns how many loads may begin now. A window holds this data
// centre's share of what the rate allows in it.
func (b *loadBudget) available(now time.Time, rate float64, window time.Duration, dataCentres int, serving bool) int {
	if !serving || rate <= 0 {
		b.begun = nil
		return unlimitedLoads
	}
	b.begun = slices.DeleteFunc(b.begun, func(t time.Time) bool { return now.Sub(t) > window })
	share := rate * window.Seconds() / float64(max(dataCentres, 1))
	return max(int(share)-len(b.begun), 0)
}

func (b *loadBudget) spend(now time.Time, n int) {
	for range n {
		b.begun = append(b.begun, now)
	}
}
