package gateway

import (
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// Layout is what the places of an instance follow from.
type Layout struct {
	Catalog *catalog.Catalog
	Servers *roster.Roster
	// Told holds the places of the data centres whose keepers are heard. A keeper
	// knows of a change before the platform's list does.
	Told map[string][]dispatch.Place
	// Heads are the open heads of this instance's data centre where it is the
	// keeper itself; nil elsewhere.
	Heads map[string]bool
	// HeadsOf is the data centre that Heads belongs to.
	HeadsOf string
	// Closed reports whether a data centre is taken out.
	Closed func(dataCentre string) bool
}

// Places returns the places that take requests.
func (l Layout) Places() []dispatch.Place {
	if l.Catalog == nil {
		return nil
	}
	var places []dispatch.Place
	for dataCentre, told := range l.Told {
		if l.Closed(dataCentre) {
			continue
		}
		for _, p := range told {
			if service, ok := l.Catalog.Service(p.Service); ok {
				p.ColdRate = service.ColdRate
				places = append(places, p)
			}
		}
	}
	for _, s := range l.Servers.All() {
		service, ok := l.Catalog.Service(s.Service)
		if _, told := l.Told[s.DataCentre]; told || !ok || s.Draining || l.Closed(s.DataCentre) {
			continue
		}
		p := dispatch.Place{
			ID: s.ID, Service: s.Service, DataCentre: s.DataCentre, Address: s.Address, Slots: max(s.Slots, 1),
			ColdUntil: s.ColdUntil, ColdRate: service.ColdRate,
		}
		if service.Engine != nil {
			if !l.open(s) {
				continue
			}
			p.Model = formation.ModelOf(s.Membership.Group)
			p.Slots = max(service.Engine.Slots, 1)
		}
		places = append(places, p)
	}
	return places
}

func (l Layout) open(s roster.Server) bool {
	if l.Heads != nil && l.HeadsOf == s.DataCentre {
		return l.Heads[s.ID]
	}
	return s.IsHead() && s.Membership.State == roster.Open
}
