package fleet_test

import (
	"fmt"

	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/journal"
)

func ExampleParse() {
	_, findings := fleet.Parse("fleet.toml", []byte(`
[[DataCentre]]
Name = "muscat-ruwi"

[[BackendServer]]
Name = "desk"
DataCentre = "muscat-seeb"
Service = "admin"
Address = "desk.example:80"
MaxInFlight = -1
`))
	fmt.Println(findings)
	// Output:
	// fleet.toml:1:1: Preset: there is no preset
	// fleet.toml:7:1: BackendServer.0.DataCentre: data centre "muscat-seeb" does not exist
	// fleet.toml:8:1: BackendServer.0.Service: service "admin" does not exist
	// fleet.toml:9:1: BackendServer.0.Address: "desk.example:80" is not an address of the form IP:port
	// fleet.toml:10:1: BackendServer.0.MaxInFlight: is -1, want 0 or more
}

func ExampleState_Apply() {
	config := fleet.Config{
		DataCentres: []fleet.DataCentre{{Name: "muscat-ruwi"}},
		Presets:     []fleet.Preset{{Name: "ordinary", Default: true}, {Name: "peak"}},
	}
	var state fleet.State
	apply := func(id string, presumed fleet.State, c fleet.Change) {
		record, _ := presumed.Record(id, "operator-"+id, c)
		data, _ := record.Encode()
		var verdict fleet.Verdict
		state, verdict = state.Apply(journal.Entry{Offset: state.Offset() + 1, Data: data})
		fmt.Println(verdict)
	}
	apply("a", state, fleet.PutFleet(config))
	base := state
	apply("b", base, fleet.UsePreset("peak"))
	apply("c", base, fleet.UsePreset("ordinary"))
	preset, _ := state.Preset()
	fmt.Println(preset.Name, "is in force at offset", state.Offset())
	// Output:
	// FleetPut "a" at offset 1: accepted
	// PresetUse "b" at offset 2: accepted
	// PresetUse "c" at offset 3: refused
	// peak is in force at offset 3
}
