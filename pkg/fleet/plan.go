package fleet

import (
	"fmt"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// plan is the change that a record makes to an item, if the record presumes the item's
// current version.
type plan struct {
	item  Item
	apply func(s State, v Version) (State, error)
}

// planOf returns the plan of a record. It fails if the body is malformed.
func planOf(kind Kind, r journal.Record) (plan, error) {
	switch kind {
	case KindFleetPut:
		return decodePlan(r, planFleetPut)
	case KindPresetPut:
		return decodePlan(r, func(p Preset) plan { return planPut(ItemPreset, p, Config.WithPreset) })
	case KindGroupPut:
		return decodePlan(r, func(g Group) plan { return planPut(ItemGroup, g, Config.WithGroup) })
	case KindBackendServerPut:
		return decodePlan(r, func(b BackendServer) plan {
			return planPut(ItemBackendServer, b, Config.WithBackendServer)
		})
	case KindClientAccountPut:
		return decodePlan(r, func(a ClientAccount) plan {
			return planPut(ItemClientAccount, a, Config.WithClientAccount)
		})
	}
	return decodePlan(r, func(b nameBody) plan { return planByName(kind, b.Name) })
}

// decodePlan decodes the body of the record and returns the plan that newPlan makes of it.
func decodePlan[T any](r journal.Record, newPlan func(T) plan) (plan, error) {
	var body T
	if err := r.DecodeBody(&body); err != nil {
		return plan{}, err
	}
	return newPlan(body), nil
}

// planByName returns the plan of a record whose body contains only a name.
func planByName(kind Kind, name string) plan {
	switch kind {
	case KindPresetUse:
		return planPresetUse(name)
	case KindPresetRemove:
		return planPresetRemove(name)
	case KindGroupRemove:
		return planRemove(Item{ItemGroup, name}, Config.WithoutGroup)
	case KindBackendServerRemove:
		return planRemove(Item{ItemBackendServer, name}, Config.WithoutBackendServer)
	case KindClientAccountRemove:
		return planRemove(Item{ItemClientAccount, name}, Config.WithoutClientAccount)
	case KindDataCentreDrain, KindDataCentreUndrain:
		return planDrainMark(name, kind == KindDataCentreDrain)
	}
	panic(fmt.Sprintf("kind %s has no plan", kind))
}

// planFleetPut returns the plan that replaces the configuration except for drain marks and
// the preset in force, which operators change by separate commands.
func planFleetPut(c Config) plan {
	return plan{Item{Kind: ItemFleet}, func(s State, v Version) (State, error) {
		old := s.config
		s.config = c.sorted()
		for i, d := range s.config.DataCentres {
			if previous, ok := old.DataCentre(d.Name); ok {
				s.config.DataCentres[i].Drained = previous.Drained
			}
		}
		if _, exists := s.config.Preset(s.inForce); !exists {
			s.inForce = s.config.defaultPreset()
		}
		return s.withFleetVersion(v), nil
	}}
}

// defaultPreset returns the name of the default preset.
func (c Config) defaultPreset() string {
	for _, p := range c.Presets {
		if p.Default {
			return p.Name
		}
	}
	return ""
}

// planPut returns the plan that adds or replaces one value.
func planPut[T named](kind ItemKind, value T, with func(Config, T) Config) plan {
	i := Item{kind, value.name()}
	return plan{i, func(s State, v Version) (State, error) {
		s.config = with(s.config, value)
		return s.withVersion(i, v, true), nil
	}}
}

// planRemove returns the plan that removes one value.
func planRemove(i Item, without func(Config, string) Config) plan {
	return plan{i, func(s State, v Version) (State, error) {
		if s.VersionOf(i).Offset == 0 {
			return s, fmt.Errorf("does not exist")
		}
		s.config = without(s.config, i.Name)
		return s.withVersion(i, v, false), nil
	}}
}

// planPresetRemove returns the plan that removes a preset that is not in force.
func planPresetRemove(name string) plan {
	p := planRemove(Item{ItemPreset, name}, Config.WithoutPreset)
	remove := p.apply
	p.apply = func(s State, v Version) (State, error) {
		if s.inForce == name && s.disabled&guardInForce == 0 {
			return s, fmt.Errorf("is in force and cannot be removed")
		}
		return remove(s, v)
	}
	return p
}

// planPresetUse returns the plan that puts a preset in force.
func planPresetUse(name string) plan {
	i := Item{Kind: ItemPresetInForce}
	return plan{i, func(s State, v Version) (State, error) {
		if _, ok := s.config.Preset(name); !ok {
			return s, fmt.Errorf("preset %q does not exist", name)
		}
		s.inForce = name
		return s.withVersion(i, v, true), nil
	}}
}

// planDrainMark returns the plan that sets or clears the drain mark of a data centre.
func planDrainMark(name string, drained bool) plan {
	i := Item{ItemDataCentre, name}
	return plan{i, func(s State, v Version) (State, error) {
		if _, ok := s.config.DataCentre(name); !ok {
			return s, fmt.Errorf("does not exist")
		}
		s.config = s.config.WithDrained(name, drained)
		return s.withVersion(i, v, true), nil
	}}
}
