package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Entry is an entry instance that has joined the data centre.
type Entry struct {
	Process
	Address string
	Joined  journal.Offset // offset of its EntryJoin, which is its fencing number
}

// Table is the set of entry instances that share the limits of the data
// centre's backend servers.
type Table struct {
	Epoch   journal.Offset // offset of the record that made the table, 0 for the empty table at the start
	Members []Entry        // sorted by name
}

// Lease is the newest grant or release of a duty. After a release, Fence is the
// release's offset, so that a delayed grant from before it cannot take effect.
type Lease struct {
	Duty     string
	Holder   Process
	Fence    journal.Offset // offset of the grant or the release
	Duration time.Duration
}

// Group is the state of a group of backend servers at one epoch.
type Group struct {
	Name         string
	Model        string
	ModelVersion string
	FabricDomain string
	Epoch        journal.Offset
	Phase        Phase
	Members      []Member
	Ordered      map[string]journal.Offset // by member: offset at which its order of this epoch was confirmed
}

// Claim is the exclusive right of one process to send one order to a backend
// server.
type Claim struct {
	Server   string
	Group    string
	Epoch    journal.Offset
	Claimant Process
	Offset   journal.Offset // offset of the OrderClaim, which identifies the order
}

// Quarantine excludes a backend server from every group.
type Quarantine struct {
	Server string
	BootID string         // run that may have received the order; empty if unknown
	Epoch  journal.Offset // epoch of the order whose outcome is unknown, 0 for none
	Reason string
	Offset journal.Offset
}

// State is the placement of one data centre at one offset of its stream. The zero
// value is the state before the first log entry. States are immutable.
type State struct {
	offset        journal.Offset
	newerFormatAt journal.Offset
	table         Table
	previous      Table

	entries        map[string]Entry
	leases         map[string]Lease
	groups         map[string]Group
	memberOf       map[string]string // group by backend server
	claims         map[string]Claim  // by backend server
	quarantines    map[string]Quarantine
	verdicts       verdictHistory
	disabledGuards guardSet
}

// Offset returns the offset of the last log entry applied.
func (s State) Offset() journal.Offset { return s.offset }

// NewerFormat returns the offset of the log entry at which Apply stopped because of
// its newer format, and whether there is one.
func (s State) NewerFormat() (journal.Offset, bool) { return s.newerFormatAt, s.newerFormatAt != 0 }

// Table returns the current share table and the previous one.
func (s State) Table() (now, previous Table) { return s.table, s.previous }

// Entry returns the entry instance with the name.
func (s State) Entry(name string) (Entry, bool) {
	e, ok := s.entries[name]
	return e, ok
}

// HasJoined reports whether exactly this run of the entry instance has joined and not
// left.
func (s State) HasJoined(p Process) bool {
	e, ok := s.entries[p.Name]
	return ok && e.BootID == p.BootID
}

// Lease returns the newest grant or release of a duty, and whether a process holds
// the lease.
func (s State) Lease(duty string) (Lease, bool) {
	l := s.leases[duty]
	return l, l.Holder != Process{}
}

// Group returns the group with the name.
func (s State) Group(name string) (Group, bool) {
	g, ok := s.groups[name]
	return g, ok
}

// Groups returns all groups sorted by name.
func (s State) Groups() []Group { return sorted(s.groups) }

// GroupOf returns the name of the group that the backend server is a member of.
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

// with returns a copy of the map in which the key has the value.
func with[V any](m map[string]V, key string, value V) map[string]V {
	c := make(map[string]V, len(m)+1)
	maps.Copy(c, m)
	c[key] = value
	return c
}

// without returns the map without the key. It copies the map only if the key is
// present.
func without[V any](m map[string]V, key string) map[string]V {
	if _, ok := m[key]; !ok {
		return m
	}
	c := maps.Clone(m)
	delete(c, key)
	return c
}

// Apply returns the state after the log entry, and the verdict on its record. An
// entry at or before the state's offset changes nothing, and a snapshot changes
// only the offset. After an entry of a newer format, no further entry is applied.
func (s State) Apply(entry journal.Entry) (State, Verdict) {
	if s.newerFormatAt != 0 || entry.Offset <= s.offset {
		return s, Verdict{Offset: entry.Offset, Skipped: true}
	}
	r, err := Decode(entry.Data)
	if errors.Is(err, ErrNewerFormat) {
		s.newerFormatAt = entry.Offset
		return s, Verdict{Offset: entry.Offset, Skipped: true, Findings: []Finding{{"Format", err.Error()}}}
	}
	s.offset = entry.Offset
	if errors.Is(err, errSnapshot) {
		return s, Verdict{Offset: entry.Offset, ID: r.ID, Skipped: true}
	}
	if err != nil {
		return s, Verdict{Offset: entry.Offset, ID: r.ID, Findings: []Finding{{"Record", err.Error()}}}
	}
	if v, ok := s.verdicts.find(r.ID); ok {
		return s, v
	}
	c := change{offset: entry.Offset, record: r}
	next := s.applyBody(&c)
	v := Verdict{Offset: entry.Offset, ID: r.ID, Kind: r.Body.Kind(), Findings: c.findings}
	v.Accepted = len(c.findings) == 0
	if !v.Accepted {
		next = s
	}
	next.verdicts = next.verdicts.with(v)
	return next, v
}

// change is a record that is being applied, with the findings against it so far.
type change struct {
	offset   journal.Offset
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
