package fleet

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestParse(t *testing.T) {
	g := NewWithT(t)
	c, findings := Parse("fleet.toml", []byte(smallFleet))
	g.Expect(findings.Err()).NotTo(HaveOccurred())
	b, _ := c.BackendServer("w1")
	g.Expect(b).To(Equal(BackendServer{
		Name: "w1", DataCentre: "dc-a", FabricDomain: "rack-1", Address: "127.0.1.1:9000", MaxInFlight: 8,
	}))
	s, _ := c.Service("orders")
	g.Expect(s.RequestTimeout.String()).To(Equal("5s"))
	p, _ := c.Preset("peak")
	g.Expect(p.Routes).To(Equal([]Route{{ClientAccounts: []string{"library"}, Groups: []string{"g1"}}}))
}

// invalidEdits are edits that make smallFleet invalid, with the expected findings.
var invalidEdits = []struct {
	name, old, new string
	want           []string
}{
	{"syntax", `Name = "dc-b"`, `Name = `, []string{"f:6:8: unexpected character U+000A at start of value"}},
	{"unknown key", `MaxInFlight = 8`, `MaxInflight = 8`, []string{
		`f:17:3: BackendServer.0.MaxInFlight: is missing, so the backend server would get no request`,
		`f:22:1: BackendServer.0.MaxInflight: unknown key, did you mean "MaxInFlight"`,
	}},
	{"unknown table", `[[Service]]`, `[[Servlet]]`, []string{`f:12:3: Servlet: unknown key`}},
	{"wrong type", `MaxInFlight = 8`, `MaxInFlight = "8"`, []string{
		`f:22:1: BackendServer.0.MaxInFlight: is the string "8", want a whole number`,
	}},
	{"negative limit", `MaxInFlight = 8`, "MaxInFlight = 8\nMaxTokens = -1", []string{
		`f:23:1: BackendServer.0.MaxTokens: is -1, want 0 or more`,
	}},
	{"duration without a unit", `"5s"`, `5`, []string{
		`f:15:1: Service.0.RequestTimeout: is 5, want a duration with a unit, such as "2s"`,
	}},
	{"duration with a wrong unit", `"5s"`, `"5 sec"`, []string{
		`f:15:1: Service.0.RequestTimeout: duration "5 sec" needs a number and a unit, such as "2s"`,
	}},
	{"negative duration", `"5s"`, `"-5s"`, []string{`f:15:1: Service.0.RequestTimeout: duration "-5s" is negative`}},
	{"duplicate name", `Name = "dc-b"`, `Name = "dc-a"`, []string{`f:6:1: DataCentre.1.Name: "dc-a" is used twice`}},
	{"malformed name", `Name = "dc-b"`, `Name = "dc b"`, []string{
		`f:6:1: DataCentre.1.Name: "dc b" has other characters than letters, digits, '.', '_' and '-'`,
	}},
	{"host name", `127.0.1.2:9000`, `w2.internal:9000`, []string{
		`f:28:1: BackendServer.1.Address: "w2.internal:9000" is not an address of the form IP:port`,
	}},
	{"duplicate address", `127.0.1.2:9000`, `127.0.1.1:9000`, []string{
		`f:28:1: BackendServer.1.Address: "127.0.1.1:9000" is the address of backend server "w1" too`,
	}},
	{"missing reference", `Members = ["w1", "w2"]`, `Members = ["w1", "w3"]`, []string{
		`f:35:18: Group.0.Members.1: backend server "w3" does not exist`,
	}},
	{"member twice", `Members = ["w1", "w2"]`, `Members = ["w1", "w1"]`, []string{
		`f:35:18: Group.0.Members.1: backend server "w1" is a member twice`,
	}},
	{"backend server in two groups", `[[Preset]]`, "[[Group]]\nName = \"g2\"\nModel = \"draft\"\nDataCentre = \"dc-a\"\nMembers = [\"w2\"]\n[[Preset]]", []string{
		`f:41:12: Group.1.Members.0: backend server "w2" is in group "g1" too`,
	}},
	{"two fabric domains", "rack-1\"\nAddress = \"127.0.1.2", "rack-2\"\nAddress = \"127.0.1.2", []string{
		`f:35:18: Group.0.Members.1: backend server "w2" is in fabric domain "rack-2", "w1" in "rack-1"`,
	}},
	{"two data centres", "Model = \"draft\"\nDataCentre = \"dc-a\"", "Model = \"draft\"\nDataCentre = \"dc-b\"", []string{
		`f:35:12: Group.0.Members.0: backend server "w1" is in data centre "dc-a", the group in "dc-b"`,
		`f:35:18: Group.0.Members.1: backend server "w2" is in data centre "dc-a", the group in "dc-b"`,
	}},
	{"no serving group", `ClientAccounts = ["library"]`, `ClientAccounts = ["libary"]`, []string{
		`f:46:10: Preset.1.Route: client account "library" has no serving group`,
		`f:47:19: Preset.1.Route.0.ClientAccounts.0: client account "libary" does not exist`,
	}},
	{"no default preset", `Default = true`, ``, []string{`f:37:3: Preset: no preset is the default`}},
	{"two defaults", `Name = "peak"`, "Name = \"peak\"\nDefault = true", []string{
		`f:46:1: Preset.1.Default: preset "ordinary" is the default too`,
	}},
	{"several at once", `"library"`, `""`, []string{
		`f:9:1: ClientAccount.0.Name: is missing`,
		`f:46:10: Preset.1.Route: client account "" has no serving group`,
		`f:47:19: Preset.1.Route.0.ClientAccounts.0: client account "library" does not exist`,
	}},
}

func TestFindings(t *testing.T) {
	for _, test := range invalidEdits {
		t.Run(test.name, func(t *testing.T) {
			expectFindings(t, strings.Replace(smallFleet, test.old, test.new, 1), test.want)
		})
	}
	t.Run("no preset", func(t *testing.T) {
		withoutPresets, _, _ := strings.Cut(smallFleet, "[[Preset]]")
		expectFindings(t, withoutPresets, []string{`f:1:1: Preset: there is no preset`})
	})
	t.Run("inline tables", func(t *testing.T) {
		expectFindings(t, "DataCentre = [{Name = \"a\"},\n {Name = 7}]\nPreset = 1", []string{
			`f:2:3: DataCentre.1.Name: is 7, want a string`,
			`f:3:1: Preset: is 1, want an array`,
		})
	})
}

// expectFindings checks the findings about a fleet file.
func expectFindings(t *testing.T, file string, want []string) {
	t.Helper()
	_, findings := Parse("f", []byte(file))
	NewWithT(t).Expect(strings.Split(findings.Error(), "\n")).To(Equal(want))
}

// FuzzParse checks that no file makes the parser panic, that the positions of findings are
// within the file, and that a valid file can be imported.
func FuzzParse(f *testing.F) {
	f.Add(smallFleet)
	for _, test := range invalidEdits {
		f.Add(strings.Replace(smallFleet, test.old, test.new, 1))
	}
	f.Add("[a.b]\nc.d = [{e = 1}, {f.g = [[2]]}]\n[[a.h]]\n[[a.h.i]]\nx = 1979-05-27")
	f.Fuzz(func(t *testing.T, file string) {
		g := NewWithT(t)
		c, findings := Parse("f", []byte(file))
		for _, finding := range findings {
			g.Expect(finding.Line).To(BeNumerically(">=", 1))
			g.Expect(finding.Line).To(BeNumerically("<=", 1+strings.Count(file, "\n")))
			g.Expect(finding.Column).To(BeNumerically(">=", 1))
		}
		if len(findings) > 0 {
			return
		}
		s, v := applyChange(g, State{}, "import", PutFleet(c))
		g.Expect(v.Err()).NotTo(HaveOccurred())
		_, ok := s.Preset()
		g.Expect(ok).To(BeTrue())
	})
}
