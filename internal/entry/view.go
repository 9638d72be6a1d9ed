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

// routingMaxAge is the age after which the routing state is computed again.
const routingMaxAge = 10 * time.Millisecond

// routingCache holds the newest routing state.
type routingCache struct {
	mu      sync.Mutex
	current *routingState
}

// routingState is the state on which routing decisions are based. It is immutable.
type routingState struct {
	createdAt time.Time
	view      *route.View
	tickets   map[string]group.Ticket // of the complete groups in this data centre, by name
	freeSlots map[string]int          // of the groups in this data centre, by model
}

// sentCounters counts what was sent to each backend server since its last report,
// and holds what is known of its prefix cache.
type sentCounters struct {
	mu       sync.Mutex
	backends map[string]sentCount
	caches   map[string]*route.Cache
}

// sentCount holds what was sent since the report with the given time.
type sentCount struct {
	reportedAt time.Time
	sent       route.Sent
}

// routingState returns a routing state that is at most routingMaxAge old.
func (s *Server) routingState() *routingState {
	c := &s.routing
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil || time.Since(c.current.createdAt) > routingMaxAge {
		c.current = s.newRoutingState(time.Now())
	}
	return c.current
}

// invalidateRouting makes the next call of routingState compute it again.
func (s *Server) invalidateRouting() {
	s.routing.mu.Lock()
	s.routing.current = nil
	s.routing.mu.Unlock()
}

func (s *Server) newRoutingState(now time.Time) *routingState {
	state := s.config.State()
	config := state.Config()
	contacts := s.newestReports()
	observations := s.watcher.Observations()
	reports := backend.ReportsOf(observations)
	out := &routingState{createdAt: now, tickets: make(map[string]group.Ticket), freeSlots: make(map[string]int)}
	view := route.Config{
		DataCentre:     s.settings.DataCentre,
		DataCentres:    s.dataCentreViews(config, contacts, now),
		EntryInstances: len(s.members.Alive()),
	}
	for _, g := range config.Groups {
		if g.DataCentre != s.settings.DataCentre {
			report := contacts[g.DataCentre].Instance.GetReport()
			view.Groups = append(view.Groups, remoteGroup(g, int(report.GetRoom()[g.Model])))
			continue
		}
		ticket, err := s.check.Whole(s.placement.State(), g.Name, reports, now)
		if err != nil {
			view.Groups = append(view.Groups, route.Group{Name: g.Name, Model: g.Model, DataCentre: g.DataCentre})
			continue
		}
		local := s.localGroup(g, ticket, observations, now)
		out.tickets[g.Name] = ticket
		out.freeSlots[g.Model] += local.Available.Requests
		view.Groups = append(view.Groups, local)
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

// localGroup returns the routing data of a complete group in this data centre.
func (s *Server) localGroup(g fleet.Group, ticket group.Ticket, observations map[string]backend.Observation, now time.Time) route.Group {
	out := route.Group{Name: g.Name, Model: g.Model, DataCentre: g.DataCentre, Complete: true}
	server := ticket.Members[0].Name
	observation := observations[server]
	out.Epoch = int64(ticket.Epoch)
	out.Backend = server
	out.Leaving = s.anyLeaving(ticket, observations)
	out.Capacity = s.book.Capacity(server)
	out.Sent = s.sent.sentSince(server, observation.ReportedAt)
	inFlight := max(0, observation.InFlight+out.Sent.Requests-out.Sent.Ended)
	held := s.book.InFlight(server)
	out.Available = out.Capacity.Minus(limit.Amount{
		Requests: max(inFlight, held.Requests),
		Tokens:   max(observation.KVTokens, held.Tokens),
	}).Positive()
	out.Report = route.Report{Age: now.Sub(observation.ReportedAt), Requests: observation.InFlight}
	if out.Capacity.Tokens > 0 {
		out.Report.CachedFraction = float64(observation.KVTokens) / float64(out.Capacity.Tokens)
	}
	out.Digest = s.sent.cacheDigest(server)
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

// remoteGroup returns the routing data of a group in another data centre, which has
// reported this number of free slots for the group's model.
func remoteGroup(g fleet.Group, freeSlots int) route.Group {
	return route.Group{
		Name:       g.Name,
		Model:      g.Model,
		DataCentre: g.DataCentre,
		Backend:    g.DataCentre + "/" + g.Name,
		Complete:   freeSlots > 0,
		Available:  limit.Amount{Requests: freeSlots, Tokens: remoteGroupTokens},
		Capacity:   limit.Amount{Requests: max(freeSlots, 1), Tokens: remoteGroupTokens},
	}
}

// remoteGroupTokens replaces the number of free KV cache tokens in another data
// centre, which is not known here. That data centre decides itself which requests
// fit.
const remoteGroupTokens = 1 << 30

// update changes the counts of a backend server.
func (c *sentCounters) update(server string, change func(*route.Sent)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.backends == nil {
		c.backends = make(map[string]sentCount)
	}
	counted := c.backends[server]
	change(&counted.sent)
	c.backends[server] = counted
}

// sentSince returns what was sent to a backend server since the report with the
// given time. If the report is newer than the last one, it resets the counts.
func (c *sentCounters) sentSince(server string, reportedAt time.Time) route.Sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.backends == nil {
		c.backends = make(map[string]sentCount)
	}
	counted := c.backends[server]
	if counted.reportedAt != reportedAt {
		counted = sentCount{reportedAt: reportedAt}
		c.backends[server] = counted
	}
	return counted.sent
}

// withCache calls use with what is known of a backend server's prefix cache.
func (c *sentCounters) withCache(server string, use func(*route.Cache)) {
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

func (c *sentCounters) cacheDigest(server string) route.Digest {
	var digest route.Digest
	c.withCache(server, func(cache *route.Cache) { digest = cache.Digest() })
	return digest
}
