package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/chicorystall/chicorystall/internal/backend"
	"github.com/chicorystall/chicorystall/internal/capacity"
	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/group"
	"github.com/chicorystall/chicorystall/pkg/journal"
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
		cache.Sent(where.Permit.Boot, m.Blocks)
	})
}

// controlInput returns what decisions over groups depend on.
func (s *Server) controlInput() group.Input {
	config := s.config.State().Config()
	in := group.Input{
		Reports:  s.watcher.Reports(),
		Leaving:  make(map[string]bool),
		Gone:     make(map[string]bool),
		InFlight: make(map[string]int),
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
	s.countOpen(in.InFlight)
	for name, o := range s.watcher.Observations() {
		in.Leaving[name] = o.Leaving
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for name, leaving := range s.fleet.leaving {
		in.Leaving[name] = in.Leaving[name] || leaving
	}
	for name, gone := range s.fleet.gone {
		in.Gone[name] = gone
	}
	in.Ended = append([]placement.Process(nil), s.fleet.ended...)
	return in
}

// openItem is the key under which an instance publishes its open requests.
const openItem = "open"

// countOpen adds the requests that all entry instances of this data centre have
// open, by group.
func (s *Server) countOpen(byGroup map[string]int) {
	for _, g := range s.placement.State().Groups() {
		byGroup[g.Name] += s.open.of(g.Name)
	}
	for _, row := range s.members.Alive() {
		item, published := row.Item(openItem)
		if !published || row.Name == s.settings.Name {
			continue
		}
		var report peerpb.InstanceReport
		if proto.Unmarshal(item.Value, &report) != nil {
			continue
		}
		for name, count := range report.GetInFlight() {
			byGroup[name] += int(count)
		}
	}
}

// publishOpen tells the others how many requests this instance has open at groups
// that are draining. Others need not know: their counts change all the time.
func (s *Server) publishOpen(ctx context.Context) error {
	ticker := time.NewTicker(s.settings.Heartbeat.Peers)
	defer ticker.Stop()
	for {
		report := &peerpb.InstanceReport{InFlight: make(map[string]int32)}
		for _, g := range s.placement.State().Groups() {
			if open := s.open.of(g.Name); open > 0 && g.Phase == placement.PhaseDraining {
				report.InFlight[g.Name] = int32(open)
			}
		}
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(report)
		if err != nil {
			return err
		}
		s.members.SetItem(openItem, value)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
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

// peerState returns the newest state of a stream that other instances hold. It
// is complete only when all that the platform lists have answered.
func (s *Server) peerState(ctx context.Context, stream string, above journal.Offset) (journal.PeerState, error) {
	own := stream == placement.Stream(s.settings.DataCentre)
	listed, known := s.fleet.listedAddresses(own, s.settings.DataCentre)
	newest := journal.PeerState{Complete: known, NoneReady: true}
	for _, address := range union(s.members.Addresses(own), listed) {
		if address == s.settings.PeersAddress {
			continue
		}
		state, err := s.peers.FetchState(ctx, address, stream, int64(max(above, newest.Offset)))
		if err != nil {
			newest.Complete = newest.Complete && !slices.Contains(listed, address)
			continue
		}
		newest.NoneReady = newest.NoneReady && !state.GetReady()
		if offset := journal.Offset(state.GetOffset()); offset > newest.Offset {
			newest.Offset, newest.Data = offset, state.GetSnapshot()
		}
	}
	return newest, nil
}

// union returns the addresses of both lists, each once.
func union(a, b []string) []string {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}

// fetchState answers another instance that asks for the state of a stream.
func (s *Server) fetchState(_ context.Context, stream string, after int64) (*peerpb.FetchStateReply, error) {
	switch stream {
	case configStream:
		state := s.config.State()
		return stateReply(s.config.Status().Ready, state.Offset(), after, state.Encode)
	case s.placement.Stream():
		state := s.placement.State()
		return stateReply(s.placement.Status().Ready, state.Offset(), after, state.Snapshot)
	}
	return &peerpb.FetchStateReply{}, nil
}

// stateReply holds a snapshot only when it is newer than what the asker has.
func stateReply(ready bool, offset journal.Offset, after int64, snapshot func() ([]byte, error)) (*peerpb.FetchStateReply, error) {
	reply := &peerpb.FetchStateReply{Offset: int64(offset), Ready: ready}
	if int64(offset) <= after {
		return reply, nil
	}
	var err error
	reply.Snapshot, err = snapshot()
	return reply, err
}

// writesSnapshots reports whether this instance writes the next snapshot.
func (s *Server) writesSnapshots(stream string) bool {
	return lease.Owner(stream, s.aliveNames()) == s.settings.Name
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
