package fleet

import "fmt"

// everyName stands for all client accounts in a route.
const everyName = "*"

// checkGroups checks members: each exists, is a model worker, is in one group
// only, and shares the fabric domain and the data centre of the others.
func (k *checker) checkGroups() {
	owners := make(map[string]string)
	for i, g := range k.config.Groups {
		at := item{"Group", i, g.Name}
		k.exists(at, "DataCentre", "data centre", g.DataCentre, k.centres)
		if g.Model == "" {
			k.find(at, "Model", "is missing")
		}
		if len(g.Members) == 0 {
			k.find(at, "Members", "is missing")
		}
		for j, name := range g.Members {
			k.member(at, fmt.Sprintf("Members.%d", j), g, name, owners)
		}
	}
}

// member checks one member of a group. Owners holds the group of each backend
// server seen so far.
func (k *checker) member(at item, field string, g Group, name string, owners map[string]string) {
	b, ok := k.servers[name]
	if !ok {
		k.find(at, field, "backend server %q does not exist", name)
		return
	}
	owner, taken := owners[name]
	switch {
	case taken && owner == g.Name:
		k.find(at, field, "backend server %q is a member twice", name)
	case taken:
		k.find(at, field, "backend server %q is in group %q too", name, owner)
	}
	owners[name] = g.Name
	if b.Service != "" {
		k.find(at, field, "backend server %q runs service %q, not a model engine", name, b.Service)
	}
	if b.DataCentre != g.DataCentre {
		k.find(at, field, "backend server %q is in data centre %q, the group in %q", name, b.DataCentre, g.DataCentre)
	}
	first, ok := k.servers[g.Members[0]]
	if ok && b.FabricDomain != first.FabricDomain {
		k.find(at, field, "backend server %q is in fabric domain %q, %q in %q",
			name, b.FabricDomain, first.Name, first.FabricDomain)
	}
}

// checkPresets checks that exactly one preset is the default and that each
// preset gives every client account a serving group.
func (k *checker) checkPresets() {
	if len(k.config.Presets) == 0 {
		k.faults = append(k.faults, fault{path: "Preset", key: "Preset", message: "there is no preset"})
		return
	}
	defaultName := ""
	for i, p := range k.config.Presets {
		at := item{"Preset", i, p.Name}
		if p.Default && defaultName != "" {
			k.find(at, "Default", "preset %q is the default too", defaultName)
		}
		if p.Default {
			defaultName = p.Name
		}
		k.routes(at, p)
	}
	if defaultName == "" {
		k.faults = append(k.faults, fault{path: "Preset", key: "Preset", message: "no preset is the default"})
	}
}

// routes checks the routes of one preset.
func (k *checker) routes(at item, p Preset) {
	served := make(map[string]bool)
	for i, r := range p.Routes {
		field := fmt.Sprintf("Route.%d", i)
		serves := k.route(at, field, r)
		for j, account := range r.ClientAccounts {
			if account != everyName && !k.accounts[account] {
				k.find(at, fmt.Sprintf("%s.ClientAccounts.%d", field, j), "client account %q does not exist", account)
			}
			served[account] = served[account] || serves
		}
	}
	for _, a := range k.config.ClientAccounts {
		if !served[a.Name] && !served[everyName] {
			k.find(at, "Route", "client account %q has no serving group", a.Name)
		}
	}
}

// route checks one route and reports whether it has a group that exists.
func (k *checker) route(at item, field string, r Route) (serves bool) {
	if len(r.ClientAccounts) == 0 {
		k.find(at, field+".ClientAccounts", "is missing")
	}
	if len(r.Groups) == 0 {
		k.find(at, field+".Groups", "is missing")
	}
	for j, name := range r.Groups {
		if _, ok := k.groups[name]; !ok {
			k.find(at, fmt.Sprintf("%s.Groups.%d", field, j), "group %q does not exist", name)
			continue
		}
		serves = true
	}
	return serves
}
