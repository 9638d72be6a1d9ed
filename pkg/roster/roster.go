package roster

import (
	"slices"
	"strings"
	"time"
)

// State is the state of an instance within its group.
type State int

// The states of a member. Only the head of a group is ever Open or Closing.
const (
	Alone State = iota // in no group
	Joining
	Ready
	Open
	Closing
	Broken // the head has lost a member
)

// Membership is the group that an instance belongs to, as it reports it.
type Membership struct {
	Group string
	Epoch int64
	Rank  int // 0 is the head
	State State
}

// Server is a backend server as last reported.
type Server struct {
	ID             string
	Service        string
	Address        string // IP and port
	DataCentre     string
	Slots          int // requests that it runs side by side
	Draining       bool
	ColdUntil      time.Time // end of its cold start
	StartUnixMilli int64     // milliseconds since 1970 of its start; 0 when not reported
	Domain         string    // fabric domain
	StagedModels   []string  // models whose weights are on the host
	LoadedModels   []string  // models that are loaded
	Membership     Membership
	OrderCount     int64 // orders that it has begun since its start
	Busy           bool  // an order is in progress
	Pace           float64
	EntrySeq       int64 // number of the report, for its order in one life
}

// SameRun reports whether two reports come from one start of a server.
func (s Server) SameRun(other Server) bool {
	return s.ID == other.ID && s.StartUnixMilli == other.StartUnixMilli
}

// IsHead reports whether the server takes requests for its group.
func (s Server) IsHead() bool { return s.Membership.State != Alone && s.Membership.Rank == 0 }

// HasStaged reports whether a model's weights are on the server's host.
func (s Server) HasStaged(model string) bool { return slices.Contains(s.StagedModels, model) }

// Roster is the set of all backend servers known at one moment, by ID.
type Roster struct {
	servers map[string]Server
	ids     []string
}

// New returns the roster of the servers.
func New(servers []Server) *Roster {
	r := &Roster{servers: make(map[string]Server, len(servers))}
	for _, s := range servers {
		r.servers[s.ID] = s
	}
	r.ids = make([]string, 0, len(r.servers))
	for id := range r.servers {
		r.ids = append(r.ids, id)
	}
	slices.SortFunc(r.ids, strings.Compare)
	return r
}

// Server returns a backend server.
func (r *Roster) Server(id string) (Server, bool) {
	if r == nil {
		return Server{}, false
	}
	s, ok := r.servers[id]
	return s, ok
}

// All returns all backend servers in the order of their IDs.
func (r *Roster) All() []Server {
	if r == nil {
		return nil
	}
	all := make([]Server, 0, len(r.ids))
	for _, id := range r.ids {
		all = append(all, r.servers[id])
	}
	return all
}

// Len returns the number of backend servers.
func (r *Roster) Len() int {
	if r == nil {
		return 0
	}
	return len(r.ids)
}
