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
	// Heads holds the open heads of data centres whose keeper is heard; it knows
	// of a change before the platform's list does.
	Heads map[string]map[string]bool
	// Closed reports whether a data centre is taken out.
	Closed func(dataCentre string) bool
}

// Places returns the places that take requests.
func (l Layout) Places() []dispatch.Place {
	if l.Catalog == nil {
		return nil
	}
	var places []dispatch.Place
	for _, s := range l.Servers.All() {
		service, ok := l.Catalog.Service(s.Service)
		if !ok || s.Draining || l.Closed(s.DataCentre) {
			continue
		}
		p := dispatch.Place{
			ID: s.ID, Service: s.Service, DataCentre: s.DataCentre, Slots: max(s.Slots, 1),
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
	if heads, ok := l.Heads[s.DataCentre]; ok {
		return heads[s.ID]
	}
	return s.IsHead() && s.Membership.State == roster.Open
}
