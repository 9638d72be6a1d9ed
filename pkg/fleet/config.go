package fleet

import (
	"cmp"
	"slices"
)

// Config is the configuration of a deployment. It is an immutable value: the With
// methods return changed copies, and nothing may write to its slices. Every slice is
// sorted by name.
type Config struct {
	DataCentres    []DataCentre    `toml:"DataCentre" json:",omitempty"`
	ClientAccounts []ClientAccount `toml:"ClientAccount" json:",omitempty"`
	Services       []Service       `toml:"Service" json:",omitempty"`
	BackendServers []BackendServer `toml:"BackendServer" json:",omitempty"`
	Groups         []Group         `toml:"Group" json:",omitempty"`
	Presets        []Preset        `toml:"Preset" json:",omitempty"`
}

// named is a value of the configuration that has a name.
type named interface{ name() string }

func (d DataCentre) name() string    { return d.Name }
func (a ClientAccount) name() string { return a.Name }
func (s Service) name() string       { return s.Name }
func (b BackendServer) name() string { return b.Name }
func (g Group) name() string         { return g.Name }
func (p Preset) name() string        { return p.Name }

// search returns the index of the name in a slice that is sorted by name, and whether
// it is there. If it isn't, the index is where to insert it.
func search[T named](list []T, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(v T, name string) int {
		return cmp.Compare(v.name(), name)
	})
}

// find returns the value with the name.
func find[T named](list []T, name string) (T, bool) {
	i, ok := search(list, name)
	if !ok {
		var none T
		return none, false
	}
	return list[i], true
}

// put returns a copy of the slice with the value added or replaced.
func put[T named](list []T, v T) []T {
	i, ok := search(list, v.name())
	if ok {
		list = slices.Clone(list)
		list[i] = v
		return list
	}
	return slices.Insert(slices.Clone(list), i, v)
}

// remove returns the slice without the value of that name. It doesn't change list.
func remove[T named](list []T, name string) []T {
	i, ok := search(list, name)
	if !ok {
		return list
	}
	return slices.Delete(slices.Clone(list), i, i+1)
}

// sortedByName returns a copy of the slice sorted by name.
func sortedByName[T named](list []T) []T {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(a.name(), b.name()) })
	return list
}

// sorted returns the configuration with every slice sorted by name.
func (c Config) sorted() Config {
	return Config{
		DataCentres:    sortedByName(c.DataCentres),
		ClientAccounts: sortedByName(c.ClientAccounts),
		Services:       sortedByName(c.Services),
		BackendServers: sortedByName(c.BackendServers),
		Groups:         sortedByName(c.Groups),
		Presets:        sortedByName(c.Presets),
	}
}

// DataCentre returns the data centre with the name.
func (c Config) DataCentre(name string) (DataCentre, bool) { return find(c.DataCentres, name) }

// ClientAccount returns the client account with the name.
func (c Config) ClientAccount(name string) (ClientAccount, bool) {
	return find(c.ClientAccounts, name)
}

// ClientAccountByKey returns the client account with the bearer key.
func (c Config) ClientAccountByKey(key string) (ClientAccount, bool) {
	for _, a := range c.ClientAccounts {
		if a.Key == key {
			return a, true
		}
	}
	return ClientAccount{}, false
}

// Service returns the plain service with the name.
func (c Config) Service(name string) (Service, bool) { return find(c.Services, name) }

// BackendServer returns the backend server with the name.
func (c Config) BackendServer(name string) (BackendServer, bool) {
	return find(c.BackendServers, name)
}

// Group returns the group with the name.
func (c Config) Group(name string) (Group, bool) { return find(c.Groups, name) }

// Preset returns the preset with the name.
func (c Config) Preset(name string) (Preset, bool) { return find(c.Presets, name) }

// WithDataCentre returns the configuration with the data centre added or replaced.
func (c Config) WithDataCentre(d DataCentre) Config {
	c.DataCentres = put(c.DataCentres, d)
	return c
}

// WithClientAccount returns the configuration with the client account added or replaced.
func (c Config) WithClientAccount(a ClientAccount) Config {
	c.ClientAccounts = put(c.ClientAccounts, a)
	return c
}

// WithoutClientAccount returns the configuration without the client account.
func (c Config) WithoutClientAccount(name string) Config {
	c.ClientAccounts = remove(c.ClientAccounts, name)
	return c
}

// WithBackendServer returns the configuration with the backend server added or replaced.
func (c Config) WithBackendServer(b BackendServer) Config {
	c.BackendServers = put(c.BackendServers, b)
	return c
}

// WithoutBackendServer returns the configuration without the backend server.
func (c Config) WithoutBackendServer(name string) Config {
	c.BackendServers = remove(c.BackendServers, name)
	return c
}

// WithGroup returns the configuration with the group added or replaced.
func (c Config) WithGroup(g Group) Config {
	c.Groups = put(c.Groups, g)
	return c
}

// WithoutGroup returns the configuration without the group.
func (c Config) WithoutGroup(name string) Config {
	c.Groups = remove(c.Groups, name)
	return c
}

// WithPreset returns the configuration with the preset added or replaced.
func (c Config) WithPreset(p Preset) Config {
	c.Presets = put(c.Presets, p)
	return c
}

// WithoutPreset returns the configuration without the preset.
func (c Config) WithoutPreset(name string) Config {
	c.Presets = remove(c.Presets, name)
	return c
}

// WithDrained returns the configuration with the data centre's drain mark set
// or cleared.
func (c Config) WithDrained(dataCentre string, drained bool) Config {
	d, ok := c.DataCentre(dataCentre)
	if !ok {
		return c
	}
	d.Drained = drained
	return c.WithDataCentre(d)
}
