package group

import (
	"fmt"
	"time"

	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

//go:generate go tool stringer -type=Policy

// Policy says how to handle a group that lacks a member when its fabric domain
// has no spare server.
type Policy int

// Policies for groups without a replacement.
const (
	Wait        Policy = iota // keep the remaining members and wait until the missing one or a spare is usable
	OtherDomain               // form the whole group in another fabric domain
	Dissolve                  // dissolve the group and use its members to repair another group
)

const (
	defaultLostAfter = 5 * time.Second
	defaultMaxLoads  = 4
)

// Controller manages the groups of one data centre: it forms, repairs, drains and
// dissolves them. NewID must be set; the other fields have usable zero values.
type Controller struct {
	Check     Check
	Policy    Policy
	LostAfter time.Duration // a member without a report for longer is replaced; 0 means 5 s
	MaxLoads  int           // limit on servers that load weights at the same time; 0 means 4
	NewID     func() string // returns a unique ID for a record

	disabled guard
}

// Input holds everything that a decision depends on.
type Input struct {
	Now            time.Time
	PollingSince   time.Time // when this entry instance began to poll the backend servers; zero if unknown
	Self           placement.Process
	Desired        []fleet.Group         // groups of this data centre; empty when it is drained
	Servers        []fleet.BackendServer // backend servers of this data centre
	State          placement.State
	Reports        Reports
	LeavingServers map[string]bool                 // backend servers that the platform lists as leaving
	GoneServers    map[string]bool                 // backend servers that the platform lists as gone
	GoneEntries    []placement.Process             // entry instances that the platform lists as gone
	InFlight       map[string]int                  // open requests of the entry instances, by group
	Sent           func(claim journal.Offset) bool // reports whether the order of a claim was sent, as Issuer.Sent does
}

// Note describes one decision for the log. Group and Server are empty where they
// don't apply.
type Note struct {
	Group   string
	Server  string
	Message string
}

func (n Note) String() string {
	return fmt.Sprintf("group %q server %q: %s", n.Group, n.Server, n.Message)
}

// Decision holds the actions to take now. The caller appends the records and
// applies the entries that the log returns before the next decision.
type Decision struct {
	Records []placement.Record
	Orders  []Order
	Notes   []Note
}

// Decide compares the desired groups with the placement and the reports, and
// returns the actions that bring them closer. It is deterministic apart from the
// records' IDs.
func (c Controller) Decide(in Input) Decision {
	p := &planner{Controller: c, input: in, desired: make(map[string]fleet.Group), servers: make(map[string]fleet.BackendServer)}
	for _, g := range in.Desired {
		p.desired[g.Name] = g
	}
	for _, s := range in.Servers {
		p.servers[s.Name] = s
	}
	p.assigned = make(map[string]bool)
	p.fewReports = p.fewServersReport()
	p.removeGoneEntries()
	p.takeOverClaims()
	p.updateQuarantines()
	p.drainUndesired()
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
