package fleet

import (
	"cmp"
	"iter"
)

// compareItems orders items by kind and name.
func compareItems(a, b Item) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// items yields every item of the configuration except ItemFleet.
func (c Config) items() iter.Seq[Item] {
	return func(yield func(Item) bool) {
		_ = yield(Item{Kind: ItemPresetInForce}) &&
			yieldItems(yield, ItemDataCentre, c.DataCentres) &&
			yieldItems(yield, ItemClientAccount, c.ClientAccounts) &&
			yieldItems(yield, ItemService, c.Services) &&
			yieldItems(yield, ItemBackendServer, c.BackendServers) &&
			yieldItems(yield, ItemGroup, c.Groups) &&
			yieldItems(yield, ItemPreset, c.Presets)
	}
}

// yieldItems yields one item for each value, and reports whether the iteration continues.
func yieldItems[T named](yield func(Item) bool, kind ItemKind, list []T) bool {
	for _, v := range list {
		if !yield(Item{kind, v.name()}) {
			return false
		}
	}
	return true
}
