package fleet

//go:generate go tool stringer -type=Kind -trimprefix=Kind
//go:generate go tool stringer -type=ItemKind -trimprefix=Item

// Format is the highest record format that this package can apply. The format defines
// the kinds and the fields of records and snapshots. Every release refuses an unknown
// kind or field in a format that it knows, so a release that adds one must raise Format.
const Format = 1

// Kind is the kind of a record on the configuration stream.
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

// ItemKind is the kind of an Item.
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

// Item identifies a part of the configuration that has its own version. Changes of the
// same item by two operators conflict, changes of different items don't.
type Item struct {
	Kind ItemKind
	Name string `json:",omitempty"` // empty for ItemFleet and ItemPresetInForce
}

// String returns the kind and the name, if any, separated by a space.
func (i Item) String() string {
	if i.Name == "" {
		return i.Kind.String()
	}
	return i.Kind.String() + " " + i.Name
}
