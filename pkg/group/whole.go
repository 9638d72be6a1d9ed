package group

import (
	"fmt"
	"strings"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// DefaultMaxAge is the age up to which a report counts.
const DefaultMaxAge = 3 * time.Second

// Check decides whether groups are whole.
type Check struct {
	MaxAge   time.Duration // of a report; 0 stands for DefaultMaxAge
	disabled guard
}

// Ticket names the group and the runs of its members that a request was
// admitted to.
type Ticket struct {
	Group   string
	Epoch   journal.Offset
	Members []placement.Member // the first one takes the request
}

// ResponseIdentity is the identity that a backend server put on its response.
type ResponseIdentity struct {
	Server string
	BootID string
	Group  string
	Epoch  journal.Offset
}

// NotWholeError says why a group takes no work.
type NotWholeError struct {
	Group   string
	Reasons []string
}

func (e *NotWholeError) Error() string {
	return fmt.Sprintf("group %q is not whole: %s", e.Group, strings.Join(e.Reasons, "; "))
}

func (e *NotWholeError) add(format string, args ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
}

func (e *NotWholeError) orNil() error {
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

// Whole returns a ticket when the group may take new work. Otherwise the error
// is a *NotWholeError with every reason.
func (c Check) Whole(s placement.State, group string, reports Reports, now time.Time) (Ticket, error) {
	e := &NotWholeError{Group: group}
	g, ok := s.Group(group)
	if !ok {
		e.add("it does not exist")
		return Ticket{}, e
	}
	if g.Phase != placement.PhaseCold && g.Phase != placement.PhaseServing {
		e.add("it is %s", g.Phase)
	}
	c.members(e, s, g, reports, now)
	if err := e.orNil(); err != nil {
		return Ticket{}, err
	}
	return Ticket{g.Name, g.Epoch, g.Members}, nil
}

// loaded returns nil when all members report the group whole, whatever its phase.
func (c Check) loaded(s placement.State, g placement.Group, reports Reports, now time.Time) error {
	e := &NotWholeError{Group: g.Name}
	c.members(e, s, g, reports, now)
	return e.orNil()
}

func (c Check) members(e *NotWholeError, s placement.State, g placement.Group, reports Reports, now time.Time) {
	for _, m := range g.Members {
		if q, ok := s.Quarantine(m.Name); ok && c.on(guardQuarantine) {
			e.add("%q is in quarantine since %d", m.Name, q.Offset)
		}
		r, ok := reports[m.Name]
		if !ok {
			e.add("%q was never heard", m.Name)
			continue
		}
		c.member(e, g, m, r, now)
	}
}

func (c Check) member(e *NotWholeError, g placement.Group, m placement.Member, r Report, now time.Time) {
	if age := now.Sub(r.At); age > c.maxAge() && c.on(guardFresh) {
		e.add("%q was last heard %s ago", m.Name, age)
	}
	if r.BootID != m.BootID && c.on(guardBoot) {
		e.add("%q has boot ID %q, not %q", m.Name, r.BootID, m.BootID)
	}
	if r.Group != g.Name || r.Epoch != g.Epoch && c.on(guardEpoch) {
		e.add("%q is in group %q at epoch %d, not %d", m.Name, r.Group, r.Epoch, g.Epoch)
	}
	if r.Model != g.Model || r.ModelVersion != g.ModelVersion {
		e.add("%q has model %q version %q", m.Name, r.Model, r.ModelVersion)
	}
	if r.Loading {
		e.add("%q is loading", m.Name)
	}
}

// StillWhole returns nil when the response comes from the run and the epoch of
// the ticket, the group is still at that epoch, and no member was seen with
// another boot ID since. Otherwise the error is a *NotWholeError.
func (c Check) StillWhole(s placement.State, t Ticket, reports Reports, a ResponseIdentity) error {
	e := &NotWholeError{Group: t.Group}
	g, _ := s.Group(t.Group)
	if g.Epoch != t.Epoch && c.on(guardEpoch) {
		e.add("its epoch is %d, not %d", g.Epoch, t.Epoch)
	}
	if a.Group != t.Group || a.Epoch != t.Epoch && c.on(guardEpoch) {
		e.add("the response comes from group %q at epoch %d", a.Group, a.Epoch)
	}
	for i, m := range t.Members {
		if i == 0 && (a.Server != m.Name || a.BootID != m.BootID) && c.on(guardBoot) {
			e.add("the response comes from %q with boot ID %q, not %q", a.Server, a.BootID, m.BootID)
		}
		if r, ok := reports[m.Name]; ok && r.BootID != m.BootID && c.on(guardBoot) {
			e.add("%q has boot ID %q, not %q", m.Name, r.BootID, m.BootID)
		}
	}
	return e.orNil()
}
