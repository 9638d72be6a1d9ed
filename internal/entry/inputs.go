package entry

import (
	"cmp"
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/backend"
	"github.com/chicorystall/chicorystall/internal/capacity"
	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/group"
	"github.com/chicorystall/chicorystall/pkg/lease"
	"github.com/chicorystall/chicorystall/pkg/limit"
	"github.com/chicorystall/chicorystall/pkg/placement"
	"github.com/chicorystall/chicorystall/pkg/route"
)

// ownModelWorkers returns the model workers of this data centre.
func (s *Server) ownModelWorkers() []fleet.BackendServer {
	var workers []fleet.BackendServer
	for _, server := range s.config.State().Config().BackendServers {
		if server.DataCentre == s.settings.DataCentre && server.Service == "" {
			workers = append(workers, server)
		}
	}
	return workers
}

// observerRank returns this instance's place among the observers of a backend
// server.
func (s *Server) observerRank(server string) int {
	return slices.Index(lease.Rank(server, s.aliveNames()), s.settings.Name)
}

// aliveNames returns the entry instances of this data centre that take part in
// the placement and are not known to be dead.
func (s *Server) aliveNames() []string {
	var names []string
	for _, row := range s.members.Alive() {
		if _, joined := s.placement.State().Entry(row.Name); joined || row.Name == s.settings.Name {
			names = append(names, row.Name)
		}
	}
	return names
}

// observed passes the boot ID and the cold start of a backend server on.
func (s *Server) observed(ctx context.Context, o backend.Observation) {
	if o.Loading {
		return
	}
	warmth := capacity.Unreported
	switch {
	case o.Warm:
		warmth = capacity.Warm
	case o.Cold:
		warmth = capacity.Cold
	}
	s.book.Observe(ctx, o.Server, o.BootID, warmth)
}

// noteCached notes that a prompt will be in a backend server's prefix cache.
func (s *Server) noteCached(where placed, m *modelRequest) {
	s.sent.cache(where.Permit.Backend, func(cache *route.Cache) {
		cache.MarkExpected(where.Permit.Boot, m.Blocks)
	})
}

// controlInput returns what decisions over groups depend on.
func (s *Server) controlInput() group.Input {
	config := s.config.State().Config()
	observations := s.watcher.Observations()
	in := group.Input{
		Reports:        backend.ReportsOf(observations),
		LeavingServers: make(map[string]bool),
		GoneServers:    make(map[string]bool),
		InFlight:       s.countOpen(),
	}
	for _, g := range config.Groups {
		if g.DataCentre == s.settings.DataCentre {
			in.Desired = append(in.Desired, g)
		}
	}
	for _, server := range config.BackendServers {
		if server.DataCentre == s.settings.DataCentre {
			in.Servers = append(in.Servers, server)
		}
	}
	for name, o := range observations {
		in.LeavingServers[name] = o.Leaving
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for name, leaving := range s.fleet.leaving {
		in.LeavingServers[name] = in.LeavingServers[name] || leaving
	}
	for name, gone := range s.fleet.gone {
		in.GoneServers[name] = gone
	}
	in.GoneEntries = append([]placement.Process(nil), s.fleet.ended...)
	return in
}

// engineOf returns the client of a model worker, nil when it is not configured.
func (s *Server) engineOf(name string) *engine.Client {
	server, known := s.config.State().Config().BackendServer(name)
	if !known {
		return nil
	}
	return s.pool.Engine(server.Address)
}

// sortByWork puts the backend server with the least work of this instance first,
// and the one to avoid last.
func (s *Server) sortByWork(servers []fleet.BackendServer, avoid string) {
	slices.SortStableFunc(servers, func(a, b fleet.BackendServer) int {
		if a.Name == avoid || b.Name == avoid {
			return cmp.Compare(btoi(a.Name == avoid), btoi(b.Name == avoid))
		}
		return cmp.Compare(s.book.InFlight(a.Name).Requests, s.book.InFlight(b.Name).Requests)
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// weightOf returns the fair share of a client account.
func (s *Server) weightOf(account string) int {
	known, _ := s.config.State().Config().ClientAccount(account)
	return known.Weight
}

// accountByKey returns the name of the client account with the bearer key.
func (s *Server) accountByKey(key string) (string, bool) {
	account, known := s.config.State().Config().ClientAccountByKey(key)
	return account.Name, known && key != ""
}

// modelsFor returns the models that the preset in force lets an account use.
func (s *Server) modelsFor(account string) []string {
	state := s.config.State()
	preset, _ := state.Preset()
	var models []string
	for _, r := range preset.Routes {
		if !slices.Contains(r.ClientAccounts, account) && !slices.Contains(r.ClientAccounts, "*") {
			continue
		}
		for _, name := range r.Groups {
			if g, known := state.Config().Group(name); known {
				models = append(models, g.Model)
			}
		}
	}
	slices.Sort(models)
	return slices.Compact(models)
}

// callLimits carries a message about limits to another member.
func (s *Server) callLimits(ctx context.Context, to limit.Member, message []byte) ([]byte, error) {
	entry, joined := s.placement.State().Entry(to.Name)
	if !joined {
		return nil, errNotJoined
	}
	return s.peers.Limits(ctx, entry.Address, message)
}

func (s *Server) logConfigVerdict(v fleet.Verdict) {
	s.log.WithFields(logrus.Fields{
		"offset": v.Offset, "kind": v.Kind.String(), "accepted": v.Accepted, "record": v.ID,
	}).Info("configuration record")
}

func (s *Server) logPlacementVerdict(v placement.Verdict) {
	s.log.WithFields(logrus.Fields{
		"offset": v.Offset, "kind": v.Kind.String(), "accepted": v.Accepted, "record": v.ID,
	}).Debug("placement record")
}
