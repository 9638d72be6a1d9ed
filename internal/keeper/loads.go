package keeper

import (
	"slices"
	"time"
)

// loadBudget limits the rate at which a data centre's workers begin to load weights
// to the data centre's share of the rate that the shared store of weights allows.
type loadBudget struct {
	startTimes []time.Time
}

// unlimitedLoads is the number of loads that may begin at once before clients send
// requests; the store of weights does not limit the load rate then.
const unlimitedLoads = 1 << 10

// available returns how many loads may begin now. Within any window, the number of
// loads is limited to this data centre's share of rate times window.
func (b *loadBudget) available(now time.Time, rate float64, window time.Duration, dataCentres int, serving bool) int {
	if !serving || rate <= 0 {
		b.startTimes = nil
		return unlimitedLoads
	}
	b.startTimes = slices.DeleteFunc(b.startTimes, func(t time.Time) bool { return now.Sub(t) > window })
	share := rate * window.Seconds() / float64(max(dataCentres, 1))
	return max(int(share)-len(b.startTimes), 0)
}

func (b *loadBudget) spend(now time.Time, n int) {
	for range n {
		b.startTimes = append(b.startTimes, now)
	}
}
