package gateway

import (
	"time"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/listing"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// Layout is what the places of an instance follow from.
type Layout struct {
	Catalog *catalog.Catalog
	List    listing.List
	Now     time.Duration // on the clock of package boottime
	// Heads are the open heads of this instance's data centre and their groups
	// where it is the keeper itself; nil elsewhere.
	Heads map[string]roster.Membership
	// HeadsDataCentre is the data centre that Heads belongs to.
	HeadsDataCentre string
	// Closed reports whether a data centre is taken out.
	Closed func(dataCentre string) bool
}

// UsablePlace is a place that takes requests, and the statement that it follows from.
type UsablePlace struct {
	dispatch.Place
	DecidedBy listing.Statement
}

// Places returns the places that take requests.
func (l Layout) Places() []dispatch.Place {
	var places []dispatch.Place
	for _, c := range l.UsablePlaces() {
		places = append(places, c.Place)
	}
	return places
}

// UsablePlaces returns the places that take requests, each with what decided it.
func (l Layout) UsablePlaces() []UsablePlace {
	if l.Catalog == nil {
		return nil
	}
	var choices []UsablePlace
	words, own := l.words(), l.List.LastRead()
	for dataCentre, told := range words {
		if l.Closed(dataCentre) {
			continue
		}
		for _, p := range told.Places {
			service, ok := l.Catalog.Service(p.Service)
			if !ok || l.List.Refutes(p.ID, told.Statement) {
				continue
			}
			p.ColdRate = service.ColdRate
			choices = append(choices, UsablePlace{Place: p, DecidedBy: told.Statement})
		}
	}
	for _, s := range l.List.Roster().All() {
		service, ok := l.Catalog.Service(s.Service)
		if _, told := words[s.DataCentre]; told || !ok || s.Draining || l.Closed(s.DataCentre) {
			continue
		}
		p := dispatch.Place{
			ID: s.ID, Service: s.Service, DataCentre: s.DataCentre, Address: s.Address, Slots: max(s.Slots, 1),
			ColdUntil: s.ColdUntil, ColdRate: service.ColdRate,
		}
		if service.Engine != nil {
			m, open := l.membership(s)
			if !open {
				continue
			}
			p.Model = formation.ModelOf(m.Group)
			p.Slots = max(service.Engine.Slots, 1)
		}
		by := own
		if l.keeps(s.DataCentre) {
			by.Source = listing.OwnKeep
		}
		choices = append(choices, UsablePlace{Place: p, DecidedBy: by})
	}
	return choices
}

// DecidedBy returns the statement that the places of a data centre follow from.
func (l Layout) DecidedBy(dataCentre string) listing.Statement {
	if told, ok := l.words()[dataCentre]; ok {
		return told.Statement
	}
	by := l.List.LastRead()
	if l.keeps(dataCentre) {
		by.Source = listing.OwnKeep
	}
	return by
}

// words returns the keepers' words that go before the list.
func (l Layout) words() map[string]listing.Announcement {
	words := l.List.PreferredAnnouncements(l.Now)
	if l.Heads != nil {
		delete(words, l.HeadsDataCentre)
	}
	return words
}

func (l Layout) keeps(dataCentre string) bool {
	return l.Heads != nil && l.HeadsDataCentre == dataCentre
}

// membership returns the group of a worker, and whether it is the group's open
// head. Both are known from the same source.
func (l Layout) membership(s roster.Server) (m roster.Membership, open bool) {
	if l.keeps(s.DataCentre) {
		m, open = l.Heads[s.ID]
		return m, open
	}
	return s.Membership, s.IsHead() && s.Membership.State == roster.Open
}
