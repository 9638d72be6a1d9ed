package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is one process of an entry instance. A restarted process has another
// boot ID and is another member.
type Member struct {
	Name string
	Boot string
}

// Table lists the members that share the limits of a data centre's backend servers.
type Table struct {
	Epoch   int64    // offset of the record that created the table; it only increases
	Members []Member // each appears once
	Former  []Member // members of earlier tables that are not known to be gone
	Block   int      // requests assigned to a member before the next one gets any; 0 means DefaultBlock
}

// DefaultBlock is the default of Table.Block. It is above 1 because a few members with
// larger shares more often have something to lend than many with small ones.
const DefaultBlock = 4

func (t Table) block() int {
	if t.Block > 0 {
		return t.Block
	}
	return DefaultBlock
}

// Share returns the member's part of a backend server's limit. The shares of
// all members sum to the limit, and no share shrinks when the limit grows.
func (t Table) Share(backend string, limit int, m Member) int {
	rank, ok := t.Rank(backend, m)
	if !ok {
		return 0
	}
	return share(limit, t.block(), len(t.Members), rank)
}

// Rank returns the member's position in the rendezvous order of the backend server,
// and whether it is in the table.
func (t Table) Rank(backend string, m Member) (int, bool) {
	if !slices.Contains(t.Members, m) {
		return 0, false
	}
	own := weight(backend, m)
	rank := 0
	for _, other := range t.Members {
		if ranksBefore(weight(backend, other), other, own, m) {
			rank++
		}
	}
	return rank, true
}

// Order returns the members in the rendezvous order of the backend server.
func (t Table) Order(backend string) []Member {
	order := slices.Clone(t.Members)
	slices.SortFunc(order, func(a, b Member) int {
		if a == b {
			return 0
		}
		if ranksBefore(weight(backend, a), a, weight(backend, b), b) {
			return -1
		}
		return 1
	})
	return order
}

// share returns the share of the member with the given rank. Each member gets one block
// in the order of rank, and the rest is split evenly. A share never shrinks when the
// limit grows.
func share(limit, block, members, rank int) int {
	first := min(block, max(limit-rank*block, 0))
	rest := limit - members*block
	if rest <= 0 {
		return first
	}
	return first + (rest+members-1-rank)/members
}

func weight(backend string, m Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{backend, "\x00", m.Name, "\x00", m.Boot} {
		d.WriteString(s) // xxhash never fails
	}
	return d.Sum64()
}

// ranksBefore reports whether a ranks before b. Members with equal weights are ordered
// by name and boot ID.
func ranksBefore(aw uint64, a Member, bw uint64, b Member) bool {
	if aw != bw {
		return aw > bw
	}
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Boot, b.Boot)) < 0
}
