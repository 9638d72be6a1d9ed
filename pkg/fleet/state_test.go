package fleet

import (
	"encoding/json"
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

// applyRecord applies a record at the state's next offset.
func applyRecord(g Gomega, s State, r journal.Record) (State, Verdict) {
	data, err := r.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	return s.Apply(journal.Entry{Offset: s.Offset() + 1, Data: data})
}

// applyChange applies a change that presumes the versions of the state.
func applyChange(g Gomega, s State, writer string, c Change) (State, Verdict) {
	r, err := s.Record(journal.NewID(), writer, c)
	g.Expect(err).NotTo(HaveOccurred())
	return applyRecord(g, s, r)
}

// smallState returns the state after the import of smallFleet.
func smallState(g Gomega) State {
	c, findings := Parse("fleet.toml", []byte(smallFleet))
	g.Expect(findings.Err()).NotTo(HaveOccurred())
	s, v := applyChange(g, State{}, "import", PutFleet(c))
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
	g.Expect(s.LastChange()).To(Equal(Version{1, "import"}))
}

func TestRacingOperators(t *testing.T) {
	changedGroup := Group{Name: "g1", Model: "draft", DataCentre: "dc-a", Members: []string{"w1"}}
	tests := []struct {
		name          string
		first, second Change
		conflict      bool
	}{
		{"both use a preset", UsePreset("peak"), UsePreset("ordinary"), true},
		{"both change a group", PutGroup(changedGroup), RemoveGroup("g1"), true},
		{"drain and undrain", DrainDataCentre("dc-a"), UndrainDataCentre("dc-a"), true},
		{"remove and change a preset", RemovePreset("peak"), PutPreset(Preset{Name: "peak"}), true},
		{"import over a change", DrainDataCentre("dc-a"), PutFleet(Config{}), true},
		{"change over an import", PutFleet(machineFleet()), DrainDataCentre("dc-a"), true},
		{"two data centres", DrainDataCentre("dc-a"), DrainDataCentre("dc-b"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			base := smallState(g)
			s, v := applyChange(g, base, "ana", test.first)
			g.Expect(v.Err()).NotTo(HaveOccurred())
			r, err := base.Record("second", "boris", test.second)
			g.Expect(err).NotTo(HaveOccurred())
			_, v = applyRecord(g, s, r)
			winner, conflict := v.Conflict()
			g.Expect(conflict).To(Equal(test.conflict))
			g.Expect(v.Accepted).To(Equal(!test.conflict))
			if conflict {
				g.Expect(winner).To(Equal(Version{2, "ana"}))
				g.Expect(v.Err().Error()).To(ContainSubstring(`"ana" changed it at offset 2`))
			}
		})
	}
}

// TestRefused checks that invalid records are refused without a change of the
// configuration. Every release must refuse them.
func TestRefused(t *testing.T) {
	tests := []struct{ name, data, want string }{
		{"no record", `hello`, "decode record"},
		{"no format", `{"ID":"x","Kind":"PresetUse"}`, "has no format"},
		{"no ID", `{"Format":1,"Kind":"PresetUse"}`, "has no ID"},
		{"unknown kind", `{"Format":1,"ID":"x","Kind":"PresetSwap"}`, `kind "PresetSwap" does not exist in format 1`},
		{"unknown field of the envelope", `{"Format":1,"ID":"x","Kind":"PresetUse","Colour":1}`, `unknown field "Colour"`},
		{"unknown field of the body", `{"Format":1,"ID":"x","Kind":"PresetUse","Body":{"Name":"peak","Colour":1}}`, `unknown field "Colour"`},
		{"no body", `{"Format":1,"ID":"x","Kind":"PresetUse"}`, "decode body"},
		{"after its own offset", `{"Format":1,"ID":"x","Kind":"PresetUse","After":2}`, "is not before the record's own offset"},
		{"missing preset", `{"Format":1,"ID":"x","Kind":"PresetUse","Presumes":1,"Body":{"Name":"night"}}`, `preset "night" does not exist`},
		{"preset in force", `{"Format":1,"ID":"x","Kind":"PresetRemove","Presumes":1,"Body":{"Name":"ordinary"}}`, "is in force"},
		{"group in use", `{"Format":1,"ID":"x","Kind":"GroupRemove","Presumes":1,"Body":{"Name":"g1"}}`, `Preset.peak.Route.0.Groups.0: group "g1" does not exist`},
		{"old snapshot", `{"Format":1,"ID":"x","Kind":"Snapshot","Presumes":0,"Body":{}}`, "covers entries up to 0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			before := smallState(g)
			s, v := before.Apply(journal.Entry{Offset: 2, Data: []byte(test.data)})
			g.Expect(v.Accepted).To(BeFalse())
			g.Expect(v.Err().Error()).To(ContainSubstring(test.want))
			g.Expect(s.Offset()).To(Equal(journal.Offset(2)))
			g.Expect(s.Config()).To(Equal(before.Config()))
		})
	}
}

// TestLateCopy checks that a copy of a record is refused that arrives after the verdict
// about the first copy was dropped. Otherwise the copy would add the backend server
// again, which was removed in between.
func TestLateCopy(t *testing.T) {
	for _, test := range []struct {
		name     string
		disabled guardSet
		back     bool
	}{{"refused", 0, false}, {"without the guard", guardAge, true}} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			s := smallState(g)
			s.disabled = test.disabled
			spare := BackendServer{Name: "w9", DataCentre: "dc-b", FabricDomain: "r", Address: "127.0.2.9:1", MaxInFlight: 1}
			first, err := s.Record("first", "ana", PutBackendServer(spare))
			g.Expect(err).NotTo(HaveOccurred())
			s, _ = applyRecord(g, s, first)
			s, _ = applyChange(g, s, "ana", RemoveBackendServer("w9"))
			for range IDWindow {
				s, _ = s.Apply(journal.Entry{Offset: s.Offset() + 1})
			}
			s, _ = applyRecord(g, s, first)
			_, exists := s.Config().BackendServer("w9")
			g.Expect(exists).To(Equal(test.back))
		})
	}
}

// TestImportKeepsDrainMarksAndPreset imports a fleet into a running deployment. The drain
// marks and the preset in force must remain.
func TestImportKeepsDrainMarksAndPreset(t *testing.T) {
	g := NewWithT(t)
	s := smallState(g)
	s, _ = applyChange(g, s, "ana", DrainDataCentre("dc-b"))
	s, _ = applyChange(g, s, "ana", UsePreset("peak"))
	s, v := applyChange(g, s, "ana", PutFleet(machineFleet()))
	g.Expect(v.Err()).NotTo(HaveOccurred())
	d, _ := s.Config().DataCentre("dc-b")
	g.Expect(d.Drained).To(BeTrue())
	p, _ := s.Preset()
	g.Expect(p.Name).To(Equal("peak"))
}

func TestNewerSnapshot(t *testing.T) {
	g := NewWithT(t)
	_, err := Restore([]byte(`{"Format":2,"Other":1}`), 7)
	g.Expect(err).To(BeAssignableToTypeOf(&journal.FormatError{}))
}

// TestFieldSet checks the set of encoded fields. A change that adds a field must raise
// Format, so that both releases of a rolling update have the same state.
func TestFieldSet(t *testing.T) {
	g := NewWithT(t)
	full := Config{
		DataCentres:    []DataCentre{{}},
		ClientAccounts: []ClientAccount{{}},
		Services:       []Service{{}},
		BackendServers: []BackendServer{{}},
		Groups:         []Group{{}},
		Presets:        []Preset{{Routes: []Route{{}}}},
	}
	data, err := json.Marshal(full)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(Format).To(Equal(1))
	g.Expect(string(data)).To(Equal(`{"DataCentres":[{"Name":"","Drained":false}],` +
		`"ClientAccounts":[{"Name":"","Key":"","Weight":0}],` +
		`"Services":[{"Name":"","NonIdempotent":null,"RequestTimeout":0}],` +
		`"BackendServers":[{"Name":"","DataCentre":"","FabricDomain":"","Address":"","Service":"","ChecksFence":false,` +
		`"MaxInFlight":0,"MaxTokens":0,"ColdInFlight":0,"Accelerators":0}],` +
		`"Groups":[{"Name":"","Model":"","ModelVersion":"","DataCentre":"","Members":null}],` +
		`"Presets":[{"Name":"","Default":false,"Routes":[{"ClientAccounts":null,"Groups":null,"Priority":0}]}]}`))
}
