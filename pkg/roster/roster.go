package roster

import (
	"slices"
	"strings"
	"time"
)

// State is the state of a backend server within its group.
type State int

// The states of a backend server within its group. Only the head of a group is ever
// Open or Closing.
const (
	Alone   State = iota // in no group
	Joining              // preparing to serve, for example loading weights
	Ready                // prepared; a head is opened from this state
	Open                 // the head takes requests
	Closing              // the head takes no new requests
	Broken               // the head has lost a member
)

// Membership is the group that a backend server reports to be in, and its state
// there.
type Membership struct {
	Group string
	Epoch int64 // a server rejects orders to join a group of a lower epoch than it has seen
	Rank  int   // position among the members; 0 is the head
	State State
}

// Server is a backend server as last reported. A run of a server is the time from a
// start of its process to the end of that process.
type Server struct {
	ID             string
	Service        string
	Address        string // IP and port
	DataCentre     string
	Slots          int // number of requests that it runs concurrently
	Draining       bool
	ColdUntil      time.Time // end of its cold start
	StartUnixMilli int64     // start of its run in milliseconds since 1970; 0 if not reported
	Domain         string    // fabric domain
	StagedModels   []string  // models whose weights are stored on the host
	LoadedModels   []string  // models that are loaded into memory
	Membership     Membership
	OrderCount     int64   // number of orders that it has begun in this run
	Busy           bool    // an order is in progress
	Pace           float64 // factor on its processing times; below 1 is faster
	EntrySeq       int64   // sequence number of its entry in the platform's list, rising within a run
}

// SameRun reports whether s and other describe the same run of a server.
func (s Server) SameRun(other Server) bool {
	return s.ID == other.ID && s.StartUnixMilli == other.StartUnixMilli
}

// IsLaterRun reports whether both runs of a server are known and x is the later one. A run
// is known by its start in milliseconds since 1970; 0 is one that isn't.
func IsLaterRun(x, y int64) bool { return x != 0 && y != 0 && x > y }

// IsHead reports whether the server is the head of a group.
func (s Server) IsHead() bool { return s.Membership.State != Alone && s.Membership.Rank == 0 }

// HasStaged reports whether a model's weights are stored on the server's host.
func (s Server) HasStaged(model string) bool { return slices.Contains(s.StagedModels, model) }

// Roster is an immutable set of backend servers, as known at one point in time. A nil
// Roster is empty.
type Roster struct {
	servers map[string]Server
	ids     []string
}

// New returns a roster of servers. If an ID occurs more than once, the last wins.
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

// Server returns the backend server with an ID, if there is one.
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
