package placement

import (
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Process is one run of an entry instance. A restart keeps the name and gets a
// new boot ID.
type Process struct {
	Name   string
	BootID string
}

// EntryJoin adds an entry instance, or replaces its older run. It presumes the
// offset at which the name joined before.
type EntryJoin struct {
	Process
	Address string // IP:port for other entry instances
}

// EntryLeave removes an entry instance that ends. It presumes the offset at
// which it joined.
type EntryLeave struct {
	Process
}

// EntryGone removes an entry instance that the platform lists as gone. Only
// write it on the word of the platform's list: the claims of a process that is
// gone pass to others. It presumes the offset at which the process joined.
type EntryGone struct {
	Process
}

// LeaseGrant gives a duty to a process for a time. It presumes the offset of
// the grant that it replaces, and whoever replaces another's grant waits for
// its duration first.
type LeaseGrant struct {
	Duty     string
	Holder   Process
	Duration time.Duration
}

// LeaseRelease gives a duty back early. It presumes the offset of the grant.
type LeaseRelease struct {
	Duty   string
	Holder Process
}

// Member is one backend server of a group, in the run that was assigned.
type Member struct {
	Name         string
	BootID       string
	FabricDomain string
}

// GroupAssign gives a group its members and a new epoch, which is the record's
// offset. It presumes the group's epoch, 0 for a new group.
type GroupAssign struct {
	Group        string
	Model        string
	ModelVersion string
	FabricDomain string
	Members      []Member // the first one takes requests
}

// GroupPhase is an event of the group's state chart. It presumes the group's
// epoch.
type GroupPhase struct {
	Group string
	Event string
}

// GroupDissolve frees the members of a drained group. It presumes the group's
// epoch.
type GroupDissolve struct {
	Group string
}

// OrderClaim gives one process the sole right to send one order to a backend
// server that does not check fencing numbers. The claim's offset names the
// order. It presumes the epoch that the order is for.
type OrderClaim struct {
	Server   string
	Group    string
	Claimant Process
}

//go:generate go tool stringer -type=Outcome -trimprefix=Outcome

// Outcome is what a claimant knows of its order.
type Outcome int

// Outcomes of an order.
const (
	OutcomeUnknown Outcome = iota // may be obeyed now, later or never
	OutcomeApplied                // the backend server confirmed it
	OutcomeNotSent                // nothing was written, and nothing will be
)

// OrderRelease ends a claim. With OutcomeUnknown the backend server goes into
// quarantine. It presumes the claim's offset.
type OrderRelease struct {
	Server   string
	Claimant Process
	Outcome  Outcome
	BootID   string // for OutcomeUnknown: the only run that may have taken the order; empty when not known
}

// OrderTakeover ends the claim of a process that is gone, and puts the backend
// server into quarantine, since the order may be on its way. It presumes the
// claim's offset.
type OrderTakeover struct {
	Server string
}

// SetQuarantine keeps a backend server out of every group. On a server in
// quarantine it only records the run that was observed. It presumes the offset
// of the quarantine, 0 for none.
type SetQuarantine struct {
	Server   string
	BootID   string         // the run that was observed; empty when not known
	Observed journal.Offset // offset that the observer had applied before it asked the server
	Reason   string
}

// Unquarantine ends a quarantine. It presumes the offset of the quarantine.
type Unquarantine struct {
	Server string
	// BootID is the run that was observed. A run other than the quarantined one
	// cannot have taken the order.
	BootID string
	// Observed is the offset that the observer had applied before it asked the
	// server. An observation from before the quarantine proves nothing.
	Observed journal.Offset
	// Epoch is the epoch that the server reports, which proves that the
	// quarantined order was obeyed.
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
