package fleet

import (
	"testing"

	"github.com/chicorystall/chicorystall/pkg/journal"
	. "github.com/onsi/gomega"
)

// smallFleet is a valid fleet file.
const smallFleet = `
[[DataCentre]]
Name = "dc-a"

[[DataCentre]]
Name = "dc-b"

[[ClientAccount]]
Name = "library"
Key = "key-library"

[[Service]]
Name = "orders"
NonIdempotent = ["POST /orders"]
RequestTimeout = "5s"

[[BackendServer]]
Name = "w1"
DataCentre = "dc-a"
FabricDomain = "rack-1"
Address = "127.0.1.1:9000"
MaxInFlight = 8

[[BackendServer]]
Name = "w2"
DataCentre = "dc-a"
FabricDomain = "rack-1"
Address = "127.0.1.2:9000"
MaxInFlight = 8

[[Group]]
Name = "g1"
Model = "draft"
DataCentre = "dc-a"
Members = ["w1", "w2"]

[[Preset]]
Name = "ordinary"
Default = true
[[Preset.Route]]
ClientAccounts = ["*"]
Groups = ["g1"]

[[Preset]]
Name = "peak"
[[Preset.Route]]
ClientAccounts = ["library"]
Groups = ["g1"]
`

// fold appends a record to a one-writer stream and folds it.
func fold(g Gomega, s State, r journal.Record) (State, Verdict) {
	data, err := r.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	return s.Apply(journal.Entry{Offset: s.Offset() + 1, Data: data})
}

// change folds a change that presumes the state it is made on.
func change(g Gomega, s State, writer string, c Change) (State, Verdict) {
	r, err := s.Record(journal.NewID(), writer, c)
	g.Expect(err).NotTo(HaveOccurred())
	return fold(g, s, r)
}

// smallState returns the state after the import of smallFleet.
func smallState(g Gomega) State {
	c, findings := Parse("fleet.toml", []byte(smallFleet))
	g.Expect(findings.Err()).NotTo(HaveOccurred())
	s, v := change(g, State{}, "import", PutFleet(c))
	g.Expect(v.Err()).NotTo(HaveOccurred())
	return s
}

func TestImport(t *testing.T) {
	g := NewWithT(t)
	s := smallState(g)
	p, ok := s.Preset()
	g.Expect(ok).To(BeTrue())
	g.Expect(p.Name).To(Equal("ordinary"))
	g.Expect(s.Offset()).To(Equal(journal.Offset(1)))
	g.Expect(s.Changed()).To(Equal(Version{1, "import"}))
}
