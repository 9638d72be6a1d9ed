package limit

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func newMembers(n int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{Name: fmt.Sprint("n", i), Boot: "1"}
	}
	return members
}

func TestSharesSumToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := Table{Epoch: 1, Members: newMembers(rapid.IntRange(1, 80).Draw(t, "members"))}
		table.Block = rapid.IntRange(0, 9).Draw(t, "block")
		limit := rapid.IntRange(0, 500).Draw(t, "limit")
		backend := rapid.String().Draw(t, "backend")
		sum := 0
		for rank, m := range table.Order(backend) {
			own := table.Share(backend, limit, m)
			sum += own
			at, _ := table.Rank(backend, m)
			if at != rank || own > table.Share(backend, limit+1, m) {
				t.Fatalf("member %v has rank %d instead of %d, or its share shrinks", m, at, rank)
			}
		}
		if sum != limit {
			t.Fatalf("shares sum to %d, not to %d", sum, limit)
		}
	})
}

func TestLimitOfOneGoesToOneMember(t *testing.T) {
	g := NewWithT(t)
	table := Table{Epoch: 1, Members: newMembers(9)}
	var shares []int
	for _, m := range table.Order("s1") {
		shares = append(shares, table.Share("s1", 1, m))
	}
	g.Expect(shares).To(Equal([]int{1, 0, 0, 0, 0, 0, 0, 0, 0}))
	g.Expect(table.Share("s1", 24, Member{Name: "stranger"})).To(BeZero())
}
