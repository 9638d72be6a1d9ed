package formation_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/formation"
)

func TestTermsAreOrderedByGrantThenRaise(t *testing.T) {
	for _, c := range []struct {
		name           string
		earlier, later formation.Term
	}{
		{"the next grant", formation.Term{Grant: 6}, formation.Term{Grant: 7}},
		{"a grant after many raises", formation.Term{Grant: 6, Raise: 1023}, formation.Term{Grant: 7}},
		{"raised", formation.Term{Grant: 6, Raise: 3}, formation.Term{Grant: 6, Raise: 3}.Raised()},
		{"a successor after as many raises as fit", raised(formation.Term{Grant: 6}, 15), formation.Term{Grant: 6}.Successor()},
		{"raised beyond the last raise", formation.Term{Grant: 6, Raise: 1023}, formation.Term{Grant: 6, Raise: 1023}.Raised()},
		{"from nothing", formation.Term{}, formation.Term{}.Successor()},
		{"after epochs of older releases", formation.TermOf(18_139), formation.Term{Grant: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.earlier.Before(c.later)).To(BeTrue())
			g.Expect(c.later.Before(c.earlier)).To(BeFalse())
			g.Expect(formation.TermOf(c.earlier.Base())).To(Equal(c.earlier))
			g.Expect(formation.TermOf(c.later.Base() - 1).Before(c.later)).To(BeTrue())
			g.Expect(formation.TermOf(c.later.Base()+10_000)).To(Equal(c.later), "a term has room for epochs")
		})
	}
}

func raised(t formation.Term, times int) formation.Term {
	for range times {
		t = t.Raised()
	}
	return t
}
