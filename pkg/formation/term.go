package formation

const (
	raiseBits   = 10
	counterBits = 14
	// successorRaises is how many terms a keeper without a grant skips when it begins.
	// It may raise its term less often than that before workers report its epochs.
	successorRaises = 16
)

// Term is a range of epochs that one keeper uses, one after the other. Terms are
// ordered by grant, then by raise. The zero value is the lowest term.
type Term struct {
	// Grant is a number that the keeper got from the store, which never gives a
	// number that isn't above all that it gave before; 0 means none.
	Grant int64
	// Raise orders the terms of keepers that can't reach the store and follow the
	// same grant.
	Raise int64
}

// TermOf returns the term that an epoch belongs to.
func TermOf(epoch int64) Term {
	return Term{Grant: epoch >> (raiseBits + counterBits), Raise: epoch >> counterBits & (1<<raiseBits - 1)}
}

// Base returns the epoch that all epochs of the term but the first are above. It is
// above all epochs of earlier terms.
func (t Term) Base() int64 { return (t.Grant<<raiseBits + t.Raise) << counterBits }

// Raised returns the next term with the same grant, or with the next one if there is none.
func (t Term) Raised() Term { return t.raisedBy(1) }

// Successor returns the term with which a keeper begins that has no grant, if t is the
// highest term that it knows.
func (t Term) Successor() Term { return t.raisedBy(successorRaises) }

func (t Term) raisedBy(n int64) Term { return TermOf(t.Base() + n<<counterBits) }

// Before reports whether the term's epochs are below those of another term.
func (t Term) Before(other Term) bool { return t.Base() < other.Base() }
