package group

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// Order tells a backend server which group to be in.
type Order struct {
	Server       string
	Address      string // IP:port
	BootID       string // the run it is meant for
	Group        string
	Epoch        journal.Offset
	Model        string
	ModelVersion string
	Rank         int                // place among the members, 0 takes requests
	Members      []placement.Member // of the group
	Fence        journal.Offset     // fencing number
	Claim        journal.Offset     // names the claimed order; 0 for a server that checks fencing numbers
}

// ErrNotSent reports that nothing of an order was written, and that nothing
// will be.
var ErrNotSent = errors.New("order was not sent")

// Issuer sends orders. A claimed order is sent once in the life of a process;
// others are sent one at a time to each server.
type Issuer struct {
	Self placement.Process
	// Send sends one order, without any repetition. nil means that the server
	// confirmed it, ErrNotSent that nothing was written. After any other error
	// the order may still be obeyed.
	Send  func(ctx context.Context, o Order) error
	NewID func() string // IDs of records

	disabled guard
	mu       sync.Mutex
	busy     map[string]bool // servers to which an order without a claim is being sent
	sent     map[journal.Offset]bool
	outcomes map[journal.Offset]placement.Record
}

// Issue sends the order, unless it is claimed and was sent before. The state is
// the newest one: an order whose claim is not open for this process is not
// sent.
func (i *Issuer) Issue(ctx context.Context, s placement.State, o Order) error {
	if o.Claim == 0 {
		return i.issueFenced(ctx, o)
	}
	claim, ok := s.Claim(o.Server)
	if i.on(guardClaim) && (!ok || claim.Offset != o.Claim || claim.Claimant != i.Self) {
		return errors.Wrapf(ErrNotSent, "claim %d on %q is not open for %q", o.Claim, o.Server, i.Self.Name)
	}
	if !i.begin(o.Claim) && i.on(guardOnce) {
		return nil
	}
	err := i.Send(ctx, o)
	i.finish(o, err)
	return err
}

// issueFenced sends an order that may be repeated. While one is under way to the
// server, the next decision brings the order again.
func (i *Issuer) issueFenced(ctx context.Context, o Order) error {
	if !i.setBusy(o.Server) {
		return nil
	}
	defer i.clearBusy(o.Server)
	return i.Send(ctx, o)
}

func (i *Issuer) setBusy(server string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[server] {
		return false
	}
	if i.busy == nil {
		i.busy = make(map[string]bool)
	}
	i.busy[server] = true
	return true
}

func (i *Issuer) clearBusy(server string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.busy, server)
}

// begin reports whether the claimed order is sent for the first time.
func (i *Issuer) begin(claim journal.Offset) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.sent[claim] {
		return false
	}
	if i.sent == nil {
		i.sent = make(map[journal.Offset]bool)
	}
	i.sent[claim] = true
	return true
}

func (i *Issuer) finish(o Order, err error) {
	outcome := placement.OutcomeUnknown
	switch {
	case err == nil:
		outcome = placement.OutcomeApplied
	case errors.Is(err, ErrNotSent) || !i.on(guardUnknown):
		outcome = placement.OutcomeNotSent
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.record(o.Server, o.Claim, outcome)
}

// record keeps the release of a claim. The caller holds the mutex.
func (i *Issuer) record(server string, claim journal.Offset, outcome placement.Outcome) {
	if i.outcomes == nil {
		i.outcomes = make(map[journal.Offset]placement.Record)
	}
	i.outcomes[claim] = placement.Record{
		ID:       i.NewID(),
		Presumes: claim,
		Writer:   i.Self.Name,
		Body:     placement.OrderRelease{Server: server, Claimant: i.Self, Outcome: outcome},
	}
}

// Abandon gives up this process's claims that were not sent yet, such as when
// its lease has lapsed. Their orders are never sent.
func (i *Issuer) Abandon(s placement.State) {
	i.abandon(s, func(placement.Claim) bool { return true })
}

func (i *Issuer) abandon(s placement.State, given func(placement.Claim) bool) {
	for _, claim := range s.Claims() {
		if claim.Claimant != i.Self || !given(claim) || !i.begin(claim.Offset) {
			continue
		}
		i.mu.Lock()
		i.record(claim.Server, claim.Offset, placement.OutcomeNotSent)
		i.mu.Unlock()
	}
}

// Sent reports whether the claimed order was sent, or is being sent.
func (i *Issuer) Sent(claim journal.Offset) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.sent[claim]
}

// PendingReleases returns the releases of claims that are still open in the state.
// Append them until none is left; a record's ID stays the same. Claims of an
// epoch that has passed are given up first.
func (i *Issuer) PendingReleases(s placement.State) []placement.Record {
	i.abandon(s, func(c placement.Claim) bool {
		g, _ := s.Group(c.Group)
		return g.Epoch != c.Epoch
	})
	i.mu.Lock()
	defer i.mu.Unlock()
	var records []placement.Record
	for _, claim := range s.Claims() {
		if r, ok := i.outcomes[claim.Offset]; ok {
			records = append(records, r)
		}
	}
	for offset := range i.outcomes {
		if c, ok := s.Claim(i.outcomes[offset].Body.(placement.OrderRelease).Server); ok && c.Offset == offset {
			continue
		}
		if s.Offset() > offset {
			delete(i.outcomes, offset)
		}
	}
	return records
}
