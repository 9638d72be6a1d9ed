package fleet

import (
	"encoding/json"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/cockroachdb/errors"
)

// Change is a change of the configuration. State.Record turns it into a record.
type Change struct {
	Kind Kind
	Item Item
	body any
}

// nameBody is the body of a record that contains only a name.
type nameBody struct{ Name string }

// PutFleet replaces the whole configuration. It keeps the drain marks of data
// centres that also exist in the new configuration, and the preset in force if it
// still exists.
func PutFleet(c Config) Change {
	return Change{KindFleetPut, Item{Kind: ItemFleet}, c}
}

// PutPreset adds or replaces a preset.
func PutPreset(p Preset) Change {
	return Change{KindPresetPut, Item{ItemPreset, p.Name}, p}
}

// UsePreset puts a preset in force.
func UsePreset(name string) Change {
	return Change{KindPresetUse, Item{Kind: ItemPresetInForce}, nameBody{name}}
}

// RemovePreset removes a preset that is not in force.
func RemovePreset(name string) Change {
	return Change{KindPresetRemove, Item{ItemPreset, name}, nameBody{name}}
}

// PutGroup adds or replaces a group.
func PutGroup(g Group) Change {
	return Change{KindGroupPut, Item{ItemGroup, g.Name}, g}
}

// RemoveGroup removes a group that no preset uses.
func RemoveGroup(name string) Change {
	return Change{KindGroupRemove, Item{ItemGroup, name}, nameBody{name}}
}

// DrainDataCentre sets the drain mark of a data centre, which then gets no new requests.
func DrainDataCentre(name string) Change {
	return Change{KindDataCentreDrain, Item{ItemDataCentre, name}, nameBody{name}}
}

// UndrainDataCentre clears the drain mark of a data centre.
func UndrainDataCentre(name string) Change {
	return Change{KindDataCentreUndrain, Item{ItemDataCentre, name}, nameBody{name}}
}

// PutBackendServer adds or replaces a backend server.
func PutBackendServer(b BackendServer) Change {
	return Change{KindBackendServerPut, Item{ItemBackendServer, b.Name}, b}
}

// RemoveBackendServer removes a backend server that is in no group.
func RemoveBackendServer(name string) Change {
	return Change{KindBackendServerRemove, Item{ItemBackendServer, name}, nameBody{name}}
}

// PutClientAccount adds or replaces a client account.
func PutClientAccount(a ClientAccount) Change {
	return Change{KindClientAccountPut, Item{ItemClientAccount, a.Name}, a}
}

// RemoveClientAccount removes a client account that no preset refers to.
func RemoveClientAccount(name string) Change {
	return Change{KindClientAccountRemove, Item{ItemClientAccount, name}, nameBody{name}}
}

// Record returns the record of a change. The record presumes that the item still has
// the version that it has in this state, and is refused otherwise. The ID must be
// random and unique.
func (s State) Record(id, writer string, c Change) (journal.Record, error) {
	body, err := json.Marshal(c.body)
	if err != nil {
		return journal.Record{}, errors.Wrapf(err, "encode %s of %s", c.Kind, c.Item)
	}
	return journal.Record{
		Format:   Format,
		ID:       id,
		Kind:     c.Kind.String(),
		Presumes: s.VersionOf(c.Item).Offset,
		After:    s.offset,
		Writer:   writer,
		Body:     body,
	}, nil
}
