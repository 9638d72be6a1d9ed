package neighbour

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// maxWeight is the largest weight of an instance.
const maxWeight = 63

// Weight returns the weight of a machine with a processor of so many cores and a link of
// so many megabits per second. The heaviest instance of a data centre is its keeper, which
// as a relay needs more of both than the others.
func Weight(cores, linkMegabits float64) int {
	const milli = 1000
	return min(bits.Len(uint(max(cores, 0)*milli))+bits.Len(uint(max(linkMegabits, 0))), maxWeight)
}

// rankOf returns an instance's place in the choice of its data centre's keeper. The lowest
// rank is chosen: the greatest weight, and among those the lowest hash.
func rankOf(dataCentre, instance string, weight int) uint64 {
	const weightBits = 6
	return uint64(maxWeight-weight)<<(64-weightBits) | keeperRank(dataCentre, instance)>>weightBits
}

// keeperRank returns the hash by which instances of equal weight are ranked.
func keeperRank(dataCentre, instance string) uint64 {
	return xxhash.Sum64String(dataCentre + "/" + instance)
}
