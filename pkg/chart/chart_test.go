package chart

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

func ExampleParse() {
	c, err := Parse("door.toml", []byte(`Name = "Door"
Initial = "Open"
States = ["Open", "Shut"]
[[Transition]]
From = ["Open"]
Event = "Close"
To = "Shut"
[[Transition]]
From = ["Shut"]
Event = "Open"
To = "Open"
`))
	fmt.Println(err)
	fmt.Println(c.Next(c.Initial(), "Close"))
	fmt.Println(c.Next(c.Initial(), "Open"))
	// Output:
	// <nil>
	// Shut true
	// Open false
}

func TestParseFindings(t *testing.T) {
	const header = "Name = \"C\"\nInitial = \"A\"\nStates = [\"A\", \"B\"]\n"
	const aToB = "[[Transition]]\nFrom = [\"A\"]\nEvent = \"E\"\nTo = \"B\"\n"
	const bToA = "[[Transition]]\nFrom = [\"B\"]\nEvent = \"E\"\nTo = \"A\"\n"
	tests := []struct {
		name string
		data string
		want []string
	}{
		{"complete", header + aToB + bToA, nil},
		{"syntax", "Name = \n", []string{"f:1: "}},
		{"wrong type", "Name = 3\n", []string{"f:1: "}},
		{"unknown keys", "Nome = \"C\"\n" + header + "[[Transition]]\nFro = []\n", []string{`f:1: key "Nome" is not known`, `f:6: key "Transition.Fro" is not known`}},
		{"unknown state", header + aToB + bToA + "[[Transition]]\nFrom = [\"X\"]\nEvent = \"E\"\nTo = \"Y\"\n",
			[]string{`f:13: state "X" is not one of States`, `f:15: state "Y" is not one of States`}},
		{"unreachable", header + bToA, []string{
			`f:3: state "A" has no transition`, `f:3: state "B" cannot be reached from "A"`}},
		{"two transitions on one event", header + aToB + bToA + aToB, []string{`f:14: state "A" has two transitions on "E"`}},
		{"transition from a final state", "Final = [\"B\"]\n" + header + aToB + bToA, []string{`f:10: final state "B" has a transition`}},
		{"missing keys", header + aToB + bToA + "[[Transition]]\n", []string{
			`f:12: state "" is not one of States`, "f:12: the transition has no Event", "f:12: the transition has no From"}},
		{"empty", "", []string{"f:0: the chart has no Name", "f:0: the chart has no States", `f:0: state "" is not`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("f", []byte(tt.data))
			wantFindings(t, err, tt.want)
		})
	}
}

func wantFindings(t *testing.T, err error, want []string) {
	t.Helper()
	g := NewWithT(t)
	if want == nil {
		g.Expect(err).NotTo(HaveOccurred())
		return
	}
	e, ok := err.(*Error)
	g.Expect(ok).To(BeTrue())
	g.Expect(e.Findings).To(HaveLen(len(want)), "%v", e)
	for i, f := range e.Findings {
		g.Expect(f.String()).To(HavePrefix(want[i]))
	}
}

func TestBuiltin(t *testing.T) {
	for _, name := range []string{"group", "server", "datacentre", "request"} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(Builtin(name).States()).NotTo(BeEmpty())
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"group", "server", "datacentre", "request"} {
		data, err := files.ReadFile("charts/" + name + ".toml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("[a.b]\n[[Transition]]\n[Transition.x]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse("f", data)
		if err != nil {
			return
		}
		for _, state := range c.States() {
			for _, event := range c.Events(state) {
				if next, ok := c.Next(state, event); !ok || !c.Has(next) {
					t.Fatalf("%q on %q leads to %q, %v", event, state, next, ok)
				}
			}
		}
	})
}
