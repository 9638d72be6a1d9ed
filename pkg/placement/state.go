package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Entry is an entry instance that takes part in the data centre.
type Entry struct {
	Process
	Address string
	Joined  journal.Offset // its fencing number
}

// Table is the set of entry instances that share the limits of the data
// centre's backend servers.
type Table struct {
	Epoch   journal.Offset // offset of the change that made it, 0 before the first
	Members []Entry        // sorted by name
}

// Lease is a duty's newest grant, or its release. A released duty keeps the
// offset of the release, so that a grant from before it cannot take effect.
type Lease struct {
	Duty     string
	Holder   Process
	Fence    journal.Offset // offset of the grant or the release
	Duration time.Duration
}

// Group is a group with its members at one epoch.
type Group struct {
	Name         string
	Model        string
	ModelVersion string
	FabricDomain string
	Epoch        journal.Offset
	Phase        Phase
	Members      []Member
	Ordered      map[string]journal.Offset // offset at which a member's claimed order was confirmed
}

// Claim is the right of one process to send one order.
type Claim struct {
	Server   string
	Group    string
	Epoch    journal.Offset
	Claimant Process
	Offset   journal.Offset // names the order
}

// Quarantine keeps a backend server out of every group.
type Quarantine struct {
	Server string
	BootID string         // run that may hold the order; empty when not known
	Epoch  journal.Offset // epoch of the order in doubt, 0 for none
	Reason string
	Offset journal.Offset
}

// State is the placement of one data centre at one offset. The zero value is
// the state before the first entry. States are immutable.
type State struct {
	offset   journal.Offset
	stopped  journal.Offset
	table    Table
	previous Table

	entries     map[string]Entry
	leases      map[string]Lease
	groups      map[string]Group
	memberOf    map[string]string // backend server to group
	claims      map[string]Claim  // by backend server
	quarantines map[string]Quarantine
	seen        memory
	disabled    guard
}

// Offset returns the offset of the last entry applied.
func (s State) Offset() journal.Offset { return s.offset }

// NewerFormat reports the offset of an entry of a newer format, before which the
// state stays, and whether there is one.
func (s State) NewerFormat() (journal.Offset, bool) { return s.stopped, s.stopped != 0 }

// Table returns the share table in force and the one before it.
func (s State) Table() (now, previous Table) { return s.table, s.previous }

// Entry returns the entry instance of the name.
func (s State) Entry(name string) (Entry, bool) {
	e, ok := s.entries[name]
	return e, ok
}

// HasJoined reports whether the very run of the entry instance takes part.
func (s State) HasJoined(p Process) bool {
	e, ok := s.entries[p.Name]
	return ok && e.BootID == p.BootID
}

// Lease returns the newest grant or release of a duty, and whether it is held.
func (s State) Lease(duty string) (Lease, bool) {
	l := s.leases[duty]
	return l, l.Holder != Process{}
}

// Group returns the group of the name.
func (s State) Group(name string) (Group, bool) {
	g, ok := s.groups[name]
	return g, ok
}

// Groups returns all groups sorted by name.
func (s State) Groups() []Group { return sorted(s.groups) }

// GroupOf returns the name of the group that the backend server is in.
func (s State) GroupOf(server string) (string, bool) {
	g, ok := s.memberOf[server]
	return g, ok
}

// Claim returns the open claim on a backend server.
func (s State) Claim(server string) (Claim, bool) {
	c, ok := s.claims[server]
	return c, ok
}

// Claims returns all open claims sorted by backend server.
func (s State) Claims() []Claim { return sorted(s.claims) }

// Quarantine returns the quarantine of a backend server.
func (s State) Quarantine(server string) (Quarantine, bool) {
	q, ok := s.quarantines[server]
	return q, ok
}

// Quarantines returns all quarantines sorted by backend server.
func (s State) Quarantines() []Quarantine { return sorted(s.quarantines) }

func sorted[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}

// with returns a copy of the map that holds the value.
func with[V any](m map[string]V, key string, value V) map[string]V {
	c := make(map[string]V, len(m)+1)
	maps.Copy(c, m)
	c[key] = value
	return c
}

// without returns a copy of the map that lacks the key.
func without[V any](m map[string]V, key string) map[string]V {
	if _, ok := m[key]; !ok {
		return m
	}
	c := maps.Clone(m)
	delete(c, key)
	return c
}

// Apply returns the state after the entry, and what became of its record. An
// entry at or before the state's offset changes nothing, and a snapshot only the
// offset. Once an entry has a
// newer format, no further entry is applied.
func (s State) Apply(entry journal.Entry) (State, Verdict) {
	if s.stopped != 0 || entry.Offset <= s.offset {
		return s, Verdict{Offset: entry.Offset, Skipped: true}
	}
	r, err := Decode(entry.Data)
	if errors.Is(err, ErrNewerFormat) {
		s.stopped = entry.Offset
		return s, Verdict{Offset: entry.Offset, Skipped: true, Findings: []Finding{{"Format", err.Error()}}}
	}
	s.offset = entry.Offset
	if errors.Is(err, errSnapshot) {
		return s, Verdict{Offset: entry.Offset, ID: r.ID, Skipped: true}
	}
	if err != nil {
		return s, Verdict{Offset: entry.Offset, ID: r.ID, Findings: []Finding{{"Record", err.Error()}}}
	}
	if v, ok := s.seen.find(r.ID); ok {
		return s, v
	}
	c := change{at: entry.Offset, record: r}
	next := s.applyBody(&c)
	v := Verdict{Offset: entry.Offset, ID: r.ID, Kind: r.Body.Kind(), Findings: c.findings}
	v.Accepted = len(c.findings) == 0
	if !v.Accepted {
		next = s
	}
	next.seen = next.seen.with(v)
	return next, v
}

// change is one record on its way into the state.
type change struct {
	at       journal.Offset
	record   Record
	findings []Finding
}

func (s State) applyBody(c *change) State {
	switch b := c.record.Body.(type) {
	case *EntryJoin:
		return s.entryJoin(c, *b)
	case *EntryLeave:
		return s.entryLeave(c, b.Process)
	case *EntryGone:
		return s.entryGone(c, b.Process)
	case *LeaseGrant:
		return s.leaseGrant(c, *b)
	case *LeaseRelease:
		return s.leaseRelease(c, *b)
	case *GroupAssign:
		return s.groupAssign(c, *b)
	case *GroupPhase:
		return s.groupPhase(c, *b)
	case *GroupDissolve:
		return s.groupDissolve(c, *b)
	case *OrderClaim:
		return s.orderClaim(c, *b)
	case *OrderRelease:
		return s.orderRelease(c, *b)
	case *OrderTakeover:
		return s.orderTakeover(c, *b)
	case *SetQuarantine:
		return s.setQuarantine(c, *b)
	case *Unquarantine:
		return s.unquarantine(c, *b)
	}
	c.refuse("Kind", "kind %s has no rule", c.record.Body.Kind())
	return s
}
