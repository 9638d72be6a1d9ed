package fleet

import "fmt"

// allClientAccounts is the name that stands for all client accounts in a route.
const allClientAccounts = "*"

// checkGroups checks that each member of a group exists, is a model worker, is in no
// other group, is in the data centre of the group, and shares the fabric domain of the
// other members.
func (k *checker) checkGroups() {
	groupOf := make(map[string]string)
	for i, g := range k.config.Groups {
		ref := valueRef{"Group", i, g.Name}
		k.checkReference(ref, "DataCentre", "data centre", g.DataCentre, k.dataCentres)
		if g.Model == "" {
			k.addFinding(ref, "Model", "is missing")
		}
		if len(g.Members) == 0 {
			k.addFinding(ref, "Members", "is missing")
		}
		for j, name := range g.Members {
			k.checkMember(ref, fmt.Sprintf("Members.%d", j), g, name, groupOf)
		}
	}
}

// checkMember checks one member of a group. groupOf maps each backend server that was
// checked before to its group.
func (k *checker) checkMember(ref valueRef, field string, g Group, name string, groupOf map[string]string) {
	b, ok := k.servers[name]
	if !ok {
		k.addFinding(ref, field, "backend server %q does not exist", name)
		return
	}
	owner, taken := groupOf[name]
	switch {
	case taken && owner == g.Name:
		k.addFinding(ref, field, "backend server %q is a member twice", name)
	case taken:
		k.addFinding(ref, field, "backend server %q is in group %q too", name, owner)
	}
	groupOf[name] = g.Name
	if b.Service != "" {
		k.addFinding(ref, field, "backend server %q runs service %q, not a model engine", name, b.Service)
	}
	if b.DataCentre != g.DataCentre {
		k.addFinding(ref, field, "backend server %q is in data centre %q, the group in %q", name, b.DataCentre, g.DataCentre)
	}
	first, ok := k.servers[g.Members[0]]
	if ok && b.FabricDomain != first.FabricDomain {
		k.addFinding(ref, field, "backend server %q is in fabric domain %q, %q in %q",
			name, b.FabricDomain, first.Name, first.FabricDomain)
	}
}

// checkPresets checks that exactly one preset is the default and that each
// preset gives every client account a serving group.
func (k *checker) checkPresets() {
	if len(k.config.Presets) == 0 {
		k.findings = append(k.findings, locatedFinding{path: "Preset", key: "Preset", message: "there is no preset"})
		return
	}
	defaultName := ""
	for i, p := range k.config.Presets {
		ref := valueRef{"Preset", i, p.Name}
		if p.Default && defaultName != "" {
			k.addFinding(ref, "Default", "preset %q is the default too", defaultName)
		}
		if p.Default {
			defaultName = p.Name
		}
		k.checkRoutes(ref, p)
	}
	if defaultName == "" {
		k.findings = append(k.findings, locatedFinding{path: "Preset", key: "Preset", message: "no preset is the default"})
	}
}

// checkRoutes checks the routes of one preset.
func (k *checker) checkRoutes(ref valueRef, p Preset) {
	served := make(map[string]bool)
	for i, r := range p.Routes {
		field := fmt.Sprintf("Route.%d", i)
		serves := k.checkRoute(ref, field, r)
		for j, account := range r.ClientAccounts {
			if account != allClientAccounts && !k.accounts[account] {
				k.addFinding(ref, fmt.Sprintf("%s.ClientAccounts.%d", field, j), "client account %q does not exist", account)
			}
			served[account] = served[account] || serves
		}
	}
	for _, a := range k.config.ClientAccounts {
		if !served[a.Name] && !served[allClientAccounts] {
			k.addFinding(ref, "Route", "client account %q has no serving group", a.Name)
		}
	}
}

// checkRoute checks one route and reports whether it has a group that exists.
func (k *checker) checkRoute(ref valueRef, field string, r Route) (serves bool) {
	if len(r.ClientAccounts) == 0 {
		k.addFinding(ref, field+".ClientAccounts", "is missing")
	}
	if len(r.Groups) == 0 {
		k.addFinding(ref, field+".Groups", "is missing")
	}
	for j, name := range r.Groups {
		if _, ok := k.groups[name]; !ok {
			k.addFinding(ref, fmt.Sprintf("%s.Groups.%d", field, j), "group %q does not exist", name)
			continue
		}
		serves = true
	}
	return serves
}
