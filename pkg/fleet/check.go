package fleet

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
)

// validName is what names of the configuration look like. They appear in URLs,
// headers and logs.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Check returns every fault of a configuration. A finding's key is the path of
// the value, with names in place of indexes: "Group.draft-1.Members.0".
func Check(c Config) Findings {
	var findings Findings
	for _, f := range check(c) {
		findings = append(findings, Finding{Key: f.key, Message: f.message})
	}
	return findings.sorted()
}

// fault is a finding of a checker, placed by path (with indexes) for files and
// by key (with names) for records.
type fault struct{ path, key, message string }

// checker collects the faults of a configuration.
type checker struct {
	config   Config
	faults   []fault
	servers  map[string]BackendServer
	groups   map[string]Group
	centres  map[string]bool
	accounts map[string]bool
	services map[string]bool
}

// check returns the faults of a configuration in any order of its slices.
func check(c Config) []fault {
	k := checker{
		config:   c,
		servers:  index(c.BackendServers),
		groups:   index(c.Groups),
		centres:  names(c.DataCentres),
		accounts: names(c.ClientAccounts),
		services: names(c.Services),
	}
	checkNames(&k, "DataCentre", c.DataCentres)
	checkNames(&k, "ClientAccount", c.ClientAccounts)
	checkNames(&k, "Service", c.Services)
	checkNames(&k, "BackendServer", c.BackendServers)
	checkNames(&k, "Group", c.Groups)
	checkNames(&k, "Preset", c.Presets)
	k.clientAccounts()
	k.numbers()
	k.backendServers()
	k.checkGroups()
	k.checkPresets()
	return k.faults
}

// index returns the values by name.
func index[T named](list []T) map[string]T {
	m := make(map[string]T, len(list))
	for _, v := range list {
		m[v.name()] = v
	}
	return m
}

// names returns the set of names.
func names[T named](list []T) map[string]bool {
	m := make(map[string]bool, len(list))
	for _, v := range list {
		m[v.name()] = true
	}
	return m
}

// item is the place of one value of the configuration.
type item struct {
	kind  string
	index int
	name  string
}

// find adds a fault about a field of the item.
func (k *checker) find(at item, field, format string, args ...any) {
	k.faults = append(k.faults, fault{
		path:    join(join(at.kind, strconv.Itoa(at.index)), field),
		key:     join(join(at.kind, at.name), field),
		message: fmt.Sprintf(format, args...),
	})
}

// checkNames finds names that are missing, malformed or used twice.
func checkNames[T named](k *checker, kind string, list []T) {
	seen := make(map[string]bool, len(list))
	for i, v := range list {
		at := item{kind, i, v.name()}
		switch {
		case v.name() == "":
			k.find(at, "Name", "is missing")
		case !validName.MatchString(v.name()):
			k.find(at, "Name", "%q has other characters than letters, digits, '.', '_' and '-'", v.name())
		case seen[v.name()]:
			k.find(at, "Name", "%q is used twice", v.name())
		}
		seen[v.name()] = true
	}
}

// clientAccounts finds bearer keys that are missing or used twice. Keys are
// secret, so findings do not show them.
func (k *checker) clientAccounts() {
	owners := make(map[string]string)
	for i, a := range k.config.ClientAccounts {
		at := item{"ClientAccount", i, a.Name}
		owner, taken := owners[a.Key]
		switch {
		case a.Key == "":
			k.find(at, "Key", "is missing")
		case taken:
			k.find(at, "Key", "is the key of client account %q too", owner)
		}
		owners[a.Key] = a.Name
	}
}

// numbers finds negative numbers and durations, which records may hold.
func (k *checker) numbers() {
	for i, a := range k.config.ClientAccounts {
		k.notNegative(item{"ClientAccount", i, a.Name}, "Weight", a.Weight)
	}
	for i, s := range k.config.Services {
		if s.RequestTimeout < 0 {
			k.find(item{"Service", i, s.Name}, "RequestTimeout", "duration %q is negative", s.RequestTimeout)
		}
	}
	for i, b := range k.config.BackendServers {
		at := item{"BackendServer", i, b.Name}
		k.notNegative(at, "MaxInFlight", b.MaxInFlight)
		k.notNegative(at, "MaxTokens", b.MaxTokens)
		k.notNegative(at, "ColdInFlight", b.ColdInFlight)
		k.notNegative(at, "Accelerators", b.Accelerators)
	}
	for i, p := range k.config.Presets {
		for j, r := range p.Routes {
			k.notNegative(item{"Preset", i, p.Name}, fmt.Sprintf("Route.%d.Priority", j), r.Priority)
		}
	}
}

// notNegative finds a negative number.
func (k *checker) notNegative(at item, field string, n int) {
	if n < 0 {
		k.find(at, field, "is %d, want 0 or more", n)
	}
}

// backendServers checks addresses, limits and references.
func (k *checker) backendServers() {
	owners := make(map[netip.AddrPort]string)
	for i, b := range k.config.BackendServers {
		at := item{"BackendServer", i, b.Name}
		k.exists(at, "DataCentre", "data centre", b.DataCentre, k.centres)
		if b.Service != "" {
			k.exists(at, "Service", "service", b.Service, k.services)
		}
		if b.Service == "" && b.FabricDomain == "" {
			k.find(at, "FabricDomain", "is missing for a model worker")
		}
		if b.MaxInFlight == 0 {
			k.find(at, "MaxInFlight", "is missing, so the backend server would get no request")
		}
		if b.ColdInFlight > b.MaxInFlight {
			k.find(at, "ColdInFlight", "is %d, above MaxInFlight %d", b.ColdInFlight, b.MaxInFlight)
		}
		address, err := ParseAddress(b.Address)
		if err != nil {
			k.find(at, "Address", "%v", err)
			continue
		}
		if owner, taken := owners[address]; taken {
			k.find(at, "Address", "%q is the address of backend server %q too", b.Address, owner)
		}
		owners[address] = b.Name
	}
}

// exists finds a reference that is missing or names nothing.
func (k *checker) exists(at item, field, kind, name string, known map[string]bool) {
	switch {
	case name == "":
		k.find(at, field, "is missing")
	case !known[name]:
		k.find(at, field, "%s %q does not exist", kind, name)
	}
}

// ParseAddress reads an address of the form IP:port. Host names are refused.
func ParseAddress(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, fmt.Errorf("is missing, want IP:port")
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("%q is not an address of the form IP:port", text)
	}
	if address.Port() == 0 {
		return netip.AddrPort{}, fmt.Errorf("%q has port 0", text)
	}
	return address, nil
}
