package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that should hold the duty, or "" if there are no members.
// A change of the members moves only the duties of the members that were added or
// removed.
func Owner(duty string, members []string) string {
	best := ""
	var bestWeight uint64
	for _, m := range members {
		if w := weight(duty, m); best == "" || w > bestWeight || w == bestWeight && m < best {
			best, bestWeight = m, w
		}
	}
	return best
}

// Rank returns the members in the order of preference for the duty: the first one is
// the Owner, and each further one is the Owner without those before it.
func Rank(duty string, members []string) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(duty, b), weight(duty, a)), cmp.Compare(a, b))
	})
	return ranked
}

func weight(duty, member string) uint64 {
	var h xxhash.Digest
	h.Reset()
	// Neither write can fail. The zero byte separates the two names.
	_, _ = h.WriteString(duty)
	_, _ = h.WriteString("\x00" + member)
	return h.Sum64()
}
