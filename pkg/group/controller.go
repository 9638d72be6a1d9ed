package group

import (
	"fmt"
	"time"

	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

//go:generate go tool stringer -type=Policy

// Policy says what a group does that lacks a member and finds no replacement in
// its fabric domain.
type Policy int

// Policies.
const (
	Wait        Policy = iota // keep the members and wait for one to come back
	OtherDomain               // form the whole group in another fabric domain
	Dissolve                  // give the members to another group that lacks some
)

const (
	defaultLostAfter = 5 * time.Second
	defaultMaxLoads  = 4
)

// Controller decides over the groups of one data centre. The zero value works,
// but for NewID.
type Controller struct {
	Check     Check
	Policy    Policy
	LostAfter time.Duration // silence after which a member is replaced; 0 stands for 5 s
	MaxLoads  int           // servers that load weights at once; 0 stands for 4
	NewID     func() string // IDs of records

	disabled guard
}

// Input is all that a decision depends on.
type Input struct {
	Now            time.Time
	PollingSince   time.Time // when this instance began to ask the servers; zero when that is not known
	Self           placement.Process
	Desired        []fleet.Group         // of this data centre; empty when it is drained
	Servers        []fleet.BackendServer // of this data centre
	State          placement.State
	Reports        Reports
	LeavingServers map[string]bool                 // backend servers that the platform lists as leaving
	GoneServers    map[string]bool                 // backend servers that the platform lists as gone
	GoneEntries    []placement.Process             // entry instances that the platform lists as gone
	InFlight       map[string]int                  // requests that entry instances have open, by group
	Sent           func(claim journal.Offset) bool // Issuer.Sent
}

// Note is one decision, for the log.
type Note struct {
	Group   string
	Server  string
	Message string
}

func (n Note) String() string {
	return fmt.Sprintf("group %q server %q: %s", n.Group, n.Server, n.Message)
}

// Decision is what to do now. Append the records and apply what the log
// returned before the next decision.
type Decision struct {
	Records []placement.Record
	Orders  []Order
	Notes   []Note
}

// Decide compares what is desired with what is. The same input gives the same
// decision, but for the records' IDs.
func (c Controller) Decide(in Input) Decision {
	p := &planner{Controller: c, in: in, desired: make(map[string]fleet.Group), servers: make(map[string]fleet.BackendServer)}
	for _, g := range in.Desired {
		p.desired[g.Name] = g
	}
	for _, s := range in.Servers {
		p.servers[s.Name] = s
	}
	p.taken = make(map[string]bool)
	p.blind = p.hearsFew()
	p.removeEnded()
	p.settleClaims()
	p.settleQuarantines()
	p.drainUnwanted()
	p.repair()
	p.form()
	p.load()
	return p.decision
}

func (c Controller) lostAfter() time.Duration {
	if c.LostAfter == 0 {
		return defaultLostAfter
	}
	return c.LostAfter
}

func (c Controller) maxLoads() int {
	if c.MaxLoads == 0 {
		return defaultMaxLoads
	}
	return c.MaxLoads
}
