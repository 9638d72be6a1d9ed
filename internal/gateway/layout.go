package gateway

import (
	"time"

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
				p.ReadLimit = readLimit(l.Catalog, service, p.Model)
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
			p.ReadLimit = readLimit(l.Catalog, service, p.Model)
		}
		places = append(places, p)
	}
	return places
}

// readShare is the part of the allowed reading that is used; what the neighbours
// send within a digest's interval comes on top.
const readShare = 0.6

// readLimit returns how many prompt tokens may wait at a group of a model. An
// engine reads some with each step of a pass, and no stream gets an event before
// the pass ends; with more, its streams pause for longer than their objective.
func readLimit(c *catalog.Catalog, service *catalog.Service, model string) int {
	e := service.Engine
	if e == nil || e.PromptRate <= 0 {
		return 0
	}
	pause := c.MaxPause(service.Name)
	m, ok := e.Model(model)
	if !ok || pause <= 0 {
		return 0
	}
	steps := time.Duration(max(e.Stride, 1)) * (e.Step + time.Duration(e.Slots)*e.StepPerRequest)
	reading := time.Duration(float64(pause)/max(m.Pace, 0.01)) - steps
	return max(int(readShare*reading.Seconds()*e.PromptRate), 1)
}

func (l Layout) open(s roster.Server) bool {
	if l.Heads != nil && l.HeadsOf == s.DataCentre {
		return l.Heads[s.ID]
	}
	return s.IsHead() && s.Membership.State == roster.Open
}
