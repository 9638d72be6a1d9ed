package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that should hold the duty, or "" without members.
// A change of the members moves only the duties of those that came or went.
func Owner(duty string, members []string) string {
	best := ""
	var most uint64
	for _, m := range members {
		if w := weight(duty, m); best == "" || w > most || w == most && m < best {
			best, most = m, w
		}
	}
	return best
}

// Rank returns the members in the order in which they should hold the duty.
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
	// Neither Write can fail. The zero byte keeps the two names apart.
	_, _ = h.WriteString(duty)
	_, _ = h.WriteString("\x00" + member)
	return h.Sum64()
}
