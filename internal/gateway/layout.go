package gateway

import (
	"time"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/listing"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// Layout is the state from which an instance derives the places that it sends
// requests to. A place is where a request can run: a plain worker or the head of a
// group.
type Layout struct {
	Catalog *catalog.Catalog
	List    listing.List
	Now     time.Duration // on the clock of package boottime
	// Heads maps the open heads of this instance's data centre to their groups if the
	// instance is its keeper; otherwise it is nil.
	Heads map[string]roster.Membership
	// HeadsDataCentre is the data centre of Heads.
	HeadsDataCentre string
	// TakenOut reports whether a data centre is taken out of service.
	TakenOut func(dataCentre string) bool
}

// UsablePlace is a place that takes requests, together with the statement that says so.
type UsablePlace struct {
	dispatch.Place
	DecidedBy listing.Statement // the read of the list, or the announcement, that lists it
}

// Places returns the places that take requests.
func (l Layout) Places() []dispatch.Place {
	var places []dispatch.Place
	for _, usable := range l.UsablePlaces() {
		places = append(places, usable.Place)
	}
	return places
}

// UsablePlaces returns the places that take requests. The announcement of a keeper
// takes precedence over the list for its data centre.
func (l Layout) UsablePlaces() []UsablePlace {
	if l.Catalog == nil {
		return nil
	}
	var usable []UsablePlace
	announced, own := l.announcements(), l.List.LastRead()
	for dataCentre, announcement := range announced {
		if l.TakenOut(dataCentre) {
			continue
		}
		for _, p := range announcement.Places {
			service, ok := l.Catalog.Service(p.Service)
			if !ok || l.List.Refutes(p.ID, p.Run, announcement.Statement) {
				continue
			}
			p.ColdRate = service.ColdRate
			// The own list may be older than the announcement, or know a run that the keeper
			// has not read of yet.
			if s, listed := l.List.Roster().Server(p.ID); listed {
				p.Run = max(p.Run, s.StartUnixMilli)
			}
			usable = append(usable, UsablePlace{Place: p, DecidedBy: announcement.Statement})
		}
	}
	for _, s := range l.List.Roster().All() {
		service, ok := l.Catalog.Service(s.Service)
		if _, hasAnnouncement := announced[s.DataCentre]; hasAnnouncement || !ok || s.Draining || l.TakenOut(s.DataCentre) {
			continue
		}
		p := dispatch.Place{
			ID: s.ID, Service: s.Service, DataCentre: s.DataCentre, Address: s.Address, Run: s.StartUnixMilli, Slots: max(s.Slots, 1),
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
		if l.isKeeperOf(s.DataCentre) {
			by.Source = listing.OwnKeep
		}
		usable = append(usable, UsablePlace{Place: p, DecidedBy: by})
	}
	return usable
}

// DecidedBy returns the statement that decides on the places of a data centre.
func (l Layout) DecidedBy(dataCentre string) listing.Statement {
	if announcement, ok := l.announcements()[dataCentre]; ok {
		return announcement.Statement
	}
	by := l.List.LastRead()
	if l.isKeeperOf(dataCentre) {
		by.Source = listing.OwnKeep
	}
	return by
}

// announcements returns the announcements that take precedence over the list, by
// data centre. What this instance knows as a keeper takes precedence over those.
func (l Layout) announcements() map[string]listing.Announcement {
	announced := l.List.PreferredAnnouncements(l.Now)
	if l.Heads != nil {
		delete(announced, l.HeadsDataCentre)
	}
	return announced
}

func (l Layout) isKeeperOf(dataCentre string) bool {
	return l.Heads != nil && l.HeadsDataCentre == dataCentre
}

// membership returns the group of a worker, and whether the worker is the group's
// open head. Both results come from the same source.
func (l Layout) membership(s roster.Server) (m roster.Membership, open bool) {
	if l.isKeeperOf(s.DataCentre) {
		m, open = l.Heads[s.ID]
		return m, open
	}
	return s.Membership, s.IsHead() && s.Membership.State == roster.Open
}
