package fleet

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
)

// validName matches valid names. Names are restricted because they appear in URLs,
// headers and logs.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Check returns all findings about a configuration. The key of a finding is the path
// of the value, with names instead of indexes, for example "Group.draft-1.Members.0".
func Check(c Config) Findings {
	var findings Findings
	for _, f := range checkConfig(c) {
		findings = append(findings, Finding{Key: f.key, Message: f.message})
	}
	return findings.sorted()
}

// locatedFinding is a finding that can be reported about a file or about a record. For a
// file it is located by path, which contains indexes, and for a record by key, which
// contains names.
type locatedFinding struct{ path, key, message string }

// checker collects the findings about a configuration.
type checker struct {
	config      Config
	findings    []locatedFinding
	servers     map[string]BackendServer
	groups      map[string]Group
	dataCentres map[string]bool
	accounts    map[string]bool
	services    map[string]bool
}

// checkConfig returns the findings about a configuration, whose slices need not be
// sorted.
func checkConfig(c Config) []locatedFinding {
	k := checker{
		config:      c,
		servers:     mapByName(c.BackendServers),
		groups:      mapByName(c.Groups),
		dataCentres: nameSet(c.DataCentres),
		accounts:    nameSet(c.ClientAccounts),
		services:    nameSet(c.Services),
	}
	checkNames(&k, "DataCentre", c.DataCentres)
	checkNames(&k, "ClientAccount", c.ClientAccounts)
	checkNames(&k, "Service", c.Services)
	checkNames(&k, "BackendServer", c.BackendServers)
	checkNames(&k, "Group", c.Groups)
	checkNames(&k, "Preset", c.Presets)
	k.checkBearerKeys()
	k.checkNumbers()
	k.checkBackendServers()
	k.checkGroups()
	k.checkPresets()
	return k.findings
}

// mapByName returns a map from names to values.
func mapByName[T named](list []T) map[string]T {
	m := make(map[string]T, len(list))
	for _, v := range list {
		m[v.name()] = v
	}
	return m
}

// nameSet returns the set of the names of the values.
func nameSet[T named](list []T) map[string]bool {
	m := make(map[string]bool, len(list))
	for _, v := range list {
		m[v.name()] = true
	}
	return m
}

// valueRef identifies one value of the configuration by its kind and its index or name.
type valueRef struct {
	kind  string
	index int
	name  string
}

// addFinding adds a finding about a field of the value.
func (k *checker) addFinding(ref valueRef, field, format string, args ...any) {
	k.findings = append(k.findings, locatedFinding{
		path:    join(join(ref.kind, strconv.Itoa(ref.index)), field),
		key:     join(join(ref.kind, ref.name), field),
		message: fmt.Sprintf(format, args...),
	})
}

// checkNames reports names that are missing, malformed or used twice.
func checkNames[T named](k *checker, kind string, list []T) {
	seen := make(map[string]bool, len(list))
	for i, v := range list {
		ref := valueRef{kind, i, v.name()}
		switch {
		case v.name() == "":
			k.addFinding(ref, "Name", "is missing")
		case !validName.MatchString(v.name()):
			k.addFinding(ref, "Name", "%q has other characters than letters, digits, '.', '_' and '-'", v.name())
		case seen[v.name()]:
			k.addFinding(ref, "Name", "%q is used twice", v.name())
		}
		seen[v.name()] = true
	}
}

// checkBearerKeys reports bearer keys that are missing or used twice. Findings don't
// contain the keys, since these are secret.
func (k *checker) checkBearerKeys() {
	accountsByKey := make(map[string]string)
	for i, a := range k.config.ClientAccounts {
		ref := valueRef{"ClientAccount", i, a.Name}
		owner, taken := accountsByKey[a.Key]
		switch {
		case a.Key == "":
			k.addFinding(ref, "Key", "is missing")
		case taken:
			k.addFinding(ref, "Key", "is the key of client account %q too", owner)
		}
		accountsByKey[a.Key] = a.Name
	}
}

// checkNumbers reports negative numbers and durations. Decode refuses them in files, but
// records may contain them.
func (k *checker) checkNumbers() {
	for i, a := range k.config.ClientAccounts {
		k.checkNotNegative(valueRef{"ClientAccount", i, a.Name}, "Weight", a.Weight)
	}
	for i, s := range k.config.Services {
		if s.RequestTimeout < 0 {
			k.addFinding(valueRef{"Service", i, s.Name}, "RequestTimeout", "duration %q is negative", s.RequestTimeout)
		}
	}
	for i, b := range k.config.BackendServers {
		ref := valueRef{"BackendServer", i, b.Name}
		k.checkNotNegative(ref, "MaxInFlight", b.MaxInFlight)
		k.checkNotNegative(ref, "MaxTokens", b.MaxTokens)
		k.checkNotNegative(ref, "ColdInFlight", b.ColdInFlight)
		k.checkNotNegative(ref, "Accelerators", b.Accelerators)
	}
	for i, p := range k.config.Presets {
		for j, r := range p.Routes {
			k.checkNotNegative(valueRef{"Preset", i, p.Name}, fmt.Sprintf("Route.%d.Priority", j), r.Priority)
		}
	}
}

// checkNotNegative reports a negative number.
func (k *checker) checkNotNegative(ref valueRef, field string, n int) {
	if n < 0 {
		k.addFinding(ref, field, "is %d, want 0 or more", n)
	}
}

// checkBackendServers checks the addresses, limits and references of backend servers.
func (k *checker) checkBackendServers() {
	serversByAddress := make(map[netip.AddrPort]string)
	for i, b := range k.config.BackendServers {
		ref := valueRef{"BackendServer", i, b.Name}
		k.checkReference(ref, "DataCentre", "data centre", b.DataCentre, k.dataCentres)
		if b.Service != "" {
			k.checkReference(ref, "Service", "service", b.Service, k.services)
		}
		if b.Service == "" && b.FabricDomain == "" {
			k.addFinding(ref, "FabricDomain", "is missing for a model worker")
		}
		if b.MaxInFlight == 0 {
			k.addFinding(ref, "MaxInFlight", "is missing, so the backend server would get no request")
		}
		if b.ColdInFlight > b.MaxInFlight {
			k.addFinding(ref, "ColdInFlight", "is %d, above MaxInFlight %d", b.ColdInFlight, b.MaxInFlight)
		}
		address, err := ParseAddress(b.Address)
		if err != nil {
			k.addFinding(ref, "Address", "%v", err)
			continue
		}
		if owner, taken := serversByAddress[address]; taken {
			k.addFinding(ref, "Address", "%q is the address of backend server %q too", b.Address, owner)
		}
		serversByAddress[address] = b.Name
	}
}

// checkReference reports a reference that is missing or refers to nothing.
func (k *checker) checkReference(ref valueRef, field, kind, name string, known map[string]bool) {
	switch {
	case name == "":
		k.addFinding(ref, field, "is missing")
	case !known[name]:
		k.addFinding(ref, field, "%s %q does not exist", kind, name)
	}
}

// ParseAddress parses an address of the form IP:port. It returns an error for host names.
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
