package group

import (
	"fmt"
	"strings"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// DefaultMaxAge is the age above which a report no longer counts.
const DefaultMaxAge = 3 * time.Second

// Check decides whether groups are whole, that is, whether requests can run in them.
// The zero value is usable.
type Check struct {
	MaxAge   time.Duration // greatest age of a report that counts; 0 means DefaultMaxAge
	disabled guard
}

// Ticket identifies the group, its epoch and the runs of its members to which a
// request was admitted.
type Ticket struct {
	Group   string
	Epoch   journal.Offset
	Members []placement.Member // the first one is the head, which takes the request
}

// ResponseIdentity is the identity of the backend server, as stated in its response.
type ResponseIdentity struct {
	Server string
	BootID string
	Group  string
	Epoch  journal.Offset
}

// NotWholeError lists the reasons why a group can't take a request.
type NotWholeError struct {
	Group   string
	Reasons []string
}

func (e *NotWholeError) Error() string {
	return fmt.Sprintf("group %q is not whole: %s", e.Group, strings.Join(e.Reasons, "; "))
}

func (e *NotWholeError) addReason(format string, args ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
}

func (e *NotWholeError) errOrNil() error {
	if len(e.Reasons) == 0 {
		return nil
	}
	return e
}

func (c Check) maxAge() time.Duration {
	if c.MaxAge == 0 {
		return DefaultMaxAge
	}
	return c.MaxAge
}

// Whole returns a ticket if the group can take a new request. Otherwise the error is
// a *NotWholeError with all reasons.
func (c Check) Whole(s placement.State, group string, reports Reports, now time.Time) (Ticket, error) {
	e := &NotWholeError{Group: group}
	g, ok := s.Group(group)
	if !ok {
		e.addReason("it does not exist")
		return Ticket{}, e
	}
	if g.Phase != placement.PhaseCold && g.Phase != placement.PhaseServing {
		e.addReason("its phase is %s", g.Phase)
	}
	c.checkMembers(e, s, g, reports, now)
	if err := e.errOrNil(); err != nil {
		return Ticket{}, err
	}
	return Ticket{g.Name, g.Epoch, g.Members}, nil
}

// checkLoaded returns nil if all members of the group are ready, in any phase of the
// group.
func (c Check) checkLoaded(s placement.State, g placement.Group, reports Reports, now time.Time) error {
	e := &NotWholeError{Group: g.Name}
	c.checkMembers(e, s, g, reports, now)
	return e.errOrNil()
}

func (c Check) checkMembers(e *NotWholeError, s placement.State, g placement.Group, reports Reports, now time.Time) {
	for _, m := range g.Members {
		if q, ok := s.Quarantine(m.Name); ok && c.on(guardQuarantine) {
			e.addReason("%q is in quarantine since offset %d", m.Name, q.Offset)
		}
		r, ok := reports[m.Name]
		if !ok {
			e.addReason("%q has sent no report", m.Name)
			continue
		}
		c.checkMember(e, g, m, r, now)
	}
}

func (c Check) checkMember(e *NotWholeError, g placement.Group, m placement.Member, r Report, now time.Time) {
	if age := now.Sub(r.At); age > c.maxAge() && c.on(guardReportAge) {
		e.addReason("the last report of %q is %s old", m.Name, age)
	}
	if r.BootID != m.BootID && c.on(guardBootID) {
		e.addReason("%q has boot ID %q, not %q", m.Name, r.BootID, m.BootID)
	}
	if r.Group != g.Name || r.Epoch != g.Epoch && c.on(guardEpoch) {
		e.addReason("%q is in group %q at epoch %d, not at epoch %d", m.Name, r.Group, r.Epoch, g.Epoch)
	}
	if r.Model != g.Model || r.ModelVersion != g.ModelVersion {
		e.addReason("%q has model %q, version %q", m.Name, r.Model, r.ModelVersion)
	}
	if r.Loading {
		e.addReason("%q is loading", m.Name)
	}
}

// StillWhole returns nil if the response comes from the run and the epoch of the
// ticket, the group is still at that epoch, and no member has reported another boot
// ID. Otherwise the error is a *NotWholeError.
func (c Check) StillWhole(s placement.State, t Ticket, reports Reports, a ResponseIdentity) error {
	e := &NotWholeError{Group: t.Group}
	g, _ := s.Group(t.Group)
	if g.Epoch != t.Epoch && c.on(guardEpoch) {
		e.addReason("its epoch is %d, not %d", g.Epoch, t.Epoch)
	}
	if a.Group != t.Group || a.Epoch != t.Epoch && c.on(guardEpoch) {
		e.addReason("the response comes from group %q at epoch %d", a.Group, a.Epoch)
	}
	for i, m := range t.Members {
		if i == 0 && (a.Server != m.Name || a.BootID != m.BootID) && c.on(guardBootID) {
			e.addReason("the response comes from %q with boot ID %q, not %q", a.Server, a.BootID, m.BootID)
		}
		if r, ok := reports[m.Name]; ok && r.BootID != m.BootID && c.on(guardBootID) {
			e.addReason("%q has boot ID %q, not %q", m.Name, r.BootID, m.BootID)
		}
	}
	return e.errOrNil()
}
