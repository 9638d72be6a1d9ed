package entry

import (
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/internal/backend"
	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/group"
	"github.com/chicorystall/chicorystall/pkg/limit"
	"github.com/chicorystall/chicorystall/pkg/route"
)

// viewMaxAge is how old a routing view may become under a steady load.
const viewMaxAge = 10 * time.Millisecond

// viewCache holds the newest routing picture.
type viewCache struct {
	mu     sync.Mutex
	newest *picture
}

// picture is what a choice needs to know at one time. It is immutable.
type picture struct {
	made    time.Time
	view    *route.View
	tickets map[string]group.Ticket // of the whole groups, by name
	room    map[string]int          // requests that the groups here can take, by model
}

// sentCounters count what was sent to each backend server and data centre since
// its last report.
type sentCounters struct {
	mu       sync.Mutex
	backends map[string]sentSince
	caches   map[string]*route.Cache
}

// sentSince counts from the report with the given time on.
type sentSince struct {
	report time.Time
	sent   route.Sent
}

// picture returns a picture that is at most viewMaxAge old.
func (s *Server) picture() *picture {
	c := &s.views
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest == nil || time.Since(c.newest.made) > viewMaxAge {
		c.newest = s.newPicture(time.Now())
	}
	return c.newest
}

// forgetPicture makes the next choice look at the newest state.
func (s *Server) forgetPicture() {
	s.views.mu.Lock()
	s.views.newest = nil
	s.views.mu.Unlock()
}

func (s *Server) newPicture(now time.Time) *picture {
	state := s.config.State()
	config := state.Config()
	contacts := s.contactReports()
	observations := s.watcher.Observations()
	reports := backend.ReportsOf(observations)
	out := &picture{made: now, tickets: make(map[string]group.Ticket), room: make(map[string]int)}
	view := route.Config{
		DataCentre:     s.settings.DataCentre,
		DataCentres:    s.dataCentreViews(config, contacts, now),
		EntryInstances: len(s.members.Alive()),
	}
	for _, g := range config.Groups {
		if g.DataCentre != s.settings.DataCentre {
			report := contacts[g.DataCentre].Instance.GetReport()
			view.Groups = append(view.Groups, foreignGroup(g, int(report.GetRoom()[g.Model])))
			continue
		}
		ticket, err := s.check.Whole(s.placement.State(), g.Name, reports, now)
		if err != nil {
			view.Groups = append(view.Groups, route.Group{Name: g.Name, Model: g.Model, DataCentre: g.DataCentre})
			continue
		}
		own := s.ownGroup(g, ticket, observations, now)
		out.tickets[g.Name] = ticket
		out.room[g.Model] += own.Available.Requests
		view.Groups = append(view.Groups, own)
	}
	if preset, ok := state.Preset(); ok {
		view.Routes = routesOf(preset)
	}
	out.view = route.NewView(view)
	return out
}

func routesOf(preset fleet.Preset) []route.Route {
	routes := make([]route.Route, 0, len(preset.Routes))
	for _, r := range preset.Routes {
		routes = append(routes, route.Route{Accounts: r.ClientAccounts, Groups: r.Groups, Priority: r.Priority})
	}
	return routes
}

// ownGroup is a whole group of this data centre.
func (s *Server) ownGroup(g fleet.Group, ticket group.Ticket, observations map[string]backend.Observation, now time.Time) route.Group {
	out := route.Group{Name: g.Name, Model: g.Model, DataCentre: g.DataCentre, Complete: true}
	server := ticket.Members[0].Name
	observation := observations[server]
	out.Epoch = int64(ticket.Epoch)
	out.Backend = server
	out.Leaving = s.anyLeaving(ticket, observations)
	out.Capacity = s.book.Bears(server)
	out.Sent = s.sent.since(server, observation.ReportedAt)
	load := max(0, observation.InFlight+out.Sent.Requests-out.Sent.Ended)
	held := s.book.InFlight(server)
	out.Available = out.Capacity.Minus(limit.Amount{
		Requests: max(load, held.Requests),
		Tokens:   max(observation.KVTokens, held.Tokens),
	}).Positive()
	out.Report = route.Report{Age: now.Sub(observation.ReportedAt), Requests: observation.InFlight}
	if out.Capacity.Tokens > 0 {
		out.Report.CachedFraction = float64(observation.KVTokens) / float64(out.Capacity.Tokens)
	}
	out.Digest = s.sent.digest(server)
	return out
}

func (s *Server) anyLeaving(ticket group.Ticket, observations map[string]backend.Observation) bool {
	for _, m := range ticket.Members {
		if observations[m.Name].Leaving || s.fleet.isLeaving(m.Name) {
			return true
		}
	}
	return false
}

// foreignGroup is a group of another data centre, as far as its entry instances
// have room for its model.
func foreignGroup(g fleet.Group, room int) route.Group {
	return route.Group{
		Name:       g.Name,
		Model:      g.Model,
		DataCentre: g.DataCentre,
		Backend:    g.DataCentre + "/" + g.Name,
		Complete:   room > 0,
		Available:  limit.Amount{Requests: room, Tokens: maxForeignTokens},
		Capacity:   limit.Amount{Requests: max(room, 1), Tokens: maxForeignTokens},
	}
}

// maxForeignTokens stands for the KV cache tokens of another data centre, which
// decides for itself.
const maxForeignTokens = 1 << 30

// note counts a request that was sent to a backend server.
func (c *sentCounters) note(server string, change func(*route.Sent)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.backends == nil {
		c.backends = make(map[string]sentSince)
	}
	counted := c.backends[server]
	change(&counted.sent)
	c.backends[server] = counted
}

// since returns what was sent since the report, and starts anew at a newer one.
func (c *sentCounters) since(server string, report time.Time) route.Sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.backends == nil {
		c.backends = make(map[string]sentSince)
	}
	counted := c.backends[server]
	if counted.report != report {
		counted = sentSince{report: report}
		c.backends[server] = counted
	}
	return counted.sent
}

// cache calls use with what is known of a backend server's prefix cache.
func (c *sentCounters) cache(server string, use func(*route.Cache)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.caches == nil {
		c.caches = make(map[string]*route.Cache)
	}
	cache := c.caches[server]
	if cache == nil {
		cache = &route.Cache{}
		c.caches[server] = cache
	}
	use(cache)
}

func (c *sentCounters) digest(server string) route.Digest {
	var digest route.Digest
	c.cache(server, func(cache *route.Cache) { digest = cache.Digest() })
	return digest
}
