package position_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/position"
)

func TestAt(t *testing.T) {
	for _, c := range []struct {
		era, offset int64
		valid       bool
	}{
		{0, 0, true},
		{0, 15, true},
		{1, 0, true},
		{position.MaxEra, position.MaxOffset, true},
		{-1, 0, false},
		{0, -1, false},
		{position.MaxEra + 1, 0, false},
		{0, position.MaxOffset + 1, false},
	} {
		t.Run(fmt.Sprint(c.era, " ", c.offset), func(t *testing.T) {
			g := NewWithT(t)
			p, err := position.At(c.era, c.offset)
			g.Expect(err == nil).To(Equal(c.valid))
			if !c.valid {
				return
			}
			g.Expect(p.Era()).To(Equal(c.era))
			g.Expect(p.Offset()).To(Equal(c.offset))
			g.Expect(p.Start()).To(And(BeNumerically("<=", p), BeNumerically(">=", 0)))
		})
	}
}

func TestPositionsOfALaterEraAreLater(t *testing.T) {
	g := NewWithT(t)
	before, err := position.At(1, position.MaxOffset)
	g.Expect(err).NotTo(HaveOccurred())
	after, err := position.At(2, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after).To(BeNumerically(">", before))
	g.Expect(after.Start()).To(Equal(after))
}

func ExamplePosition_String() {
	p, _ := position.At(2, 15)
	fmt.Println(position.Position(15), p, p+1)
	// Output: 15 2/15 2/16
}
