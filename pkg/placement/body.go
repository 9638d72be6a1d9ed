package placement

import (
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Process is one run of an entry instance. After a restart the instance has the
// same name and a new boot ID.
type Process struct {
	Name   string
	BootID string
}

// EntryJoin adds an entry instance, or replaces its older run. It presumes the
// offset at which an older run of the same name joined, 0 for none.
type EntryJoin struct {
	Process
	Address string // IP:port at which other entry instances reach it
}

// EntryLeave removes an entry instance that is shutting down. It presumes the
// offset at which the process joined.
type EntryLeave struct {
	Process
}

// EntryGone removes an entry instance that the platform lists as gone. Write it
// only if the platform's list says so, since other processes may then take over
// the claims of the process. It presumes the offset at which the process joined.
type EntryGone struct {
	Process
}

// LeaseGrant grants the lease of a duty to a process for a limited time. It
// presumes the offset of the grant or release that it replaces. Before a process
// replaces the grant of another one, it has to wait for that grant's duration.
type LeaseGrant struct {
	Duty     string
	Holder   Process
	Duration time.Duration
}

// LeaseRelease ends a lease before it expires. It presumes the offset of the
// grant.
type LeaseRelease struct {
	Duty   string
	Holder Process
}

// Member is a backend server of a group, with the run that was assigned.
type Member struct {
	Name         string
	BootID       string
	FabricDomain string
}

// GroupAssign sets the members of a group and begins a new epoch, whose number
// is the record's offset. It presumes the group's epoch, 0 for a new group.
type GroupAssign struct {
	Group        string
	Model        string
	ModelVersion string
	FabricDomain string
	Members      []Member // the first one is the head, which takes the group's requests
}

// GroupPhase applies an event of the group's state chart, which changes the
// group's phase. It presumes the group's epoch.
type GroupPhase struct {
	Group string
	Event string
}

// GroupDissolve removes a drained group, so that its members are free for other
// groups. It presumes the group's epoch.
type GroupDissolve struct {
	Group string
}

// OrderClaim gives one process the exclusive right to send one order to a backend
// server that does not check fencing numbers. The claim's offset identifies the
// order. It presumes the group's epoch, to which the order belongs.
type OrderClaim struct {
	Server   string
	Group    string
	Claimant Process
}

//go:generate go tool stringer -type=Outcome -trimprefix=Outcome

// Outcome is what a claimant knows about the result of its order.
type Outcome int

// Outcomes of an order.
const (
	OutcomeUnknown Outcome = iota // the backend server may apply the order now, later or never
	OutcomeApplied                // the backend server confirmed the order
	OutcomeNotSent                // no part of the order was sent, and none will be
)

// OrderRelease ends a claim. With OutcomeUnknown it also quarantines the backend
// server. It presumes the claim's offset.
type OrderRelease struct {
	Server   string
	Claimant Process
	Outcome  Outcome
	BootID   string // with OutcomeUnknown: the only run that may have received the order; empty if unknown
}

// OrderTakeover ends the claim of a process that is gone, and quarantines the
// backend server, since the order may still reach it. It presumes the claim's
// offset.
type OrderTakeover struct {
	Server string
}

// SetQuarantine excludes a backend server from every group. If the server is in
// quarantine already, it only records the run that was observed. It presumes the
// offset of the quarantine, 0 for none.
type SetQuarantine struct {
	Server   string
	BootID   string         // the run that was observed; empty if unknown
	Observed journal.Offset // offset that the observer had applied before it queried the server
	Reason   string
}

// Unquarantine ends a quarantine. It presumes the offset of the quarantine.
type Unquarantine struct {
	Server string
	// BootID is the run that was observed. A run other than the quarantined one
	// cannot have received the order.
	BootID string
	// Observed is the offset that the observer had applied before it queried the
	// server. An observation from before the quarantine does not show that the
	// server restarted.
	Observed journal.Offset
	// Epoch is the epoch that the server reports. If it is the epoch of the
	// quarantined order, the server has applied the order.
	Epoch journal.Offset
}

// Kind implements Body.
func (EntryJoin) Kind() Kind { return KindEntryJoin }

// Kind implements Body.
func (EntryLeave) Kind() Kind { return KindEntryLeave }

// Kind implements Body.
func (EntryGone) Kind() Kind { return KindEntryGone }

// Kind implements Body.
func (LeaseGrant) Kind() Kind { return KindLeaseGrant }

// Kind implements Body.
func (LeaseRelease) Kind() Kind { return KindLeaseRelease }

// Kind implements Body.
func (GroupAssign) Kind() Kind { return KindGroupAssign }

// Kind implements Body.
func (GroupPhase) Kind() Kind { return KindGroupPhase }

// Kind implements Body.
func (GroupDissolve) Kind() Kind { return KindGroupDissolve }

// Kind implements Body.
func (OrderClaim) Kind() Kind { return KindOrderClaim }

// Kind implements Body.
func (OrderRelease) Kind() Kind { return KindOrderRelease }

// Kind implements Body.
func (OrderTakeover) Kind() Kind { return KindOrderTakeover }

// Kind implements Body.
func (SetQuarantine) Kind() Kind { return KindQuarantine }

// Kind implements Body.
func (Unquarantine) Kind() Kind { return KindUnquarantine }
