package fleet

//go:generate go tool stringer -type=Kind -trimprefix=Kind
//go:generate go tool stringer -type=ItemKind -trimprefix=Item

// Format is the highest record format that this package folds. A release that
// adds a kind, or a field to a record's body or to a snapshot, raises it: both
// the kinds and the field set belong to the format, and an unknown field or
// kind in a known format is refused by every release.
const Format = 1

// Kind is what a record of the configuration stream does.
type Kind int

// Kinds of records.
const (
	KindUnknown Kind = iota
	KindFleetPut
	KindPresetPut
	KindPresetUse
	KindPresetRemove
	KindGroupPut
	KindGroupRemove
	KindDataCentreDrain
	KindDataCentreUndrain
	KindBackendServerPut
	KindBackendServerRemove
	KindClientAccountPut
	KindClientAccountRemove
	KindSnapshot
)

// parseKind returns the kind with the name, or KindUnknown.
func parseKind(name string) Kind {
	for k := KindFleetPut; k <= KindSnapshot; k++ {
		if k.String() == name {
			return k
		}
	}
	return KindUnknown
}

// ItemKind is a kind of thing that has a version of its own.
type ItemKind int

// Kinds of items.
const (
	ItemFleet         ItemKind = iota // the whole configuration
	ItemPresetInForce                 // which preset is in force
	ItemDataCentre
	ItemClientAccount
	ItemService
	ItemBackendServer
	ItemGroup
	ItemPreset
)

// Item is a thing that has a version of its own, so that two operators who
// change the same item race and those who change different ones do not.
type Item struct {
	Kind ItemKind
	Name string `json:",omitempty"` // empty for ItemFleet and ItemPresetInForce
}

// String returns the kind and the name.
func (i Item) String() string {
	if i.Name == "" {
		return i.Kind.String()
	}
	return i.Kind.String() + " " + i.Name
}
