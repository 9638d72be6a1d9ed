package fleet

import (
	"encoding/json"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/cockroachdb/errors"
)

// Change is a change of the configuration that has no record yet.
type Change struct {
	Kind Kind
	Item Item
	body any
}

// nameBody is the body of records that need a name only.
type nameBody struct{ Name string }

// PutFleet replaces the whole configuration. Drain marks of data centres that
// stay, and the preset in force when it stays, are kept.
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

// DrainDataCentre takes a data centre out: it gets no new work.
func DrainDataCentre(name string) Change {
	return Change{KindDataCentreDrain, Item{ItemDataCentre, name}, nameBody{name}}
}

// UndrainDataCentre brings a data centre back.
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

// RemoveClientAccount removes a client account that no preset names.
func RemoveClientAccount(name string) Change {
	return Change{KindClientAccountRemove, Item{ItemClientAccount, name}, nameBody{name}}
}

// Record returns the record of a change that presumes the versions of this
// state. The ID is random and belongs to this record only.
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
