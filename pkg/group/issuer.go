package group

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// Order is an order to a backend server to join a group and load its model.
type Order struct {
	Server       string
	Address      string // IP:port
	BootID       string // run of the server that the order is for
	Group        string
	Epoch        journal.Offset
	Model        string
	ModelVersion string
	Rank         int                // index among the members; rank 0 is the head, which takes the requests
	Members      []placement.Member // all members of the group
	Fence        journal.Offset     // fencing number
	Claim        journal.Offset     // offset of the order's claim; 0 for a server that checks fencing numbers
}

// ErrNotSent means that no part of an order was written to the backend server, and
// that none will be.
var ErrNotSent = errors.New("order was not sent")

// Issuer sends orders. It sends a claimed order at most once per process, and
// orders without a claim one at a time to each server.
type Issuer struct {
	Self placement.Process
	// Send sends one order and does not retry. It returns nil if the server
	// confirmed the order and ErrNotSent if nothing was written. After any other
	// error the server may still apply the order.
	Send  func(ctx context.Context, o Order) error
	NewID func() string // returns a unique ID for a record

	disabled guard
	mu       sync.Mutex
	sending  map[string]bool // servers to which an order without a claim is being sent
	sent     map[journal.Offset]bool
	releases map[journal.Offset]placement.Record
}

// Issue sends the order, unless it is claimed and was sent before. s must be the
// newest state: if this process has no open claim for a claimed order in it, Issue
// sends nothing and returns ErrNotSent.
func (i *Issuer) Issue(ctx context.Context, s placement.State, o Order) error {
	if o.Claim == 0 {
		return i.issueFenced(ctx, o)
	}
	claim, ok := s.Claim(o.Server)
	if i.on(guardClaimFirst) && (!ok || claim.Offset != o.Claim || claim.Claimant != i.Self) {
		return errors.Wrapf(ErrNotSent, "claim %d on backend server %q is not open for entry instance %q", o.Claim, o.Server, i.Self.Name)
	}
	if !i.markSent(o.Claim) && i.on(guardSendOnce) {
		return nil
	}
	err := i.Send(ctx, o)
	i.recordOutcome(o, err)
	return err
}

// issueFenced sends an order that may be repeated, because the server checks its
// fencing number. It drops the order while another one is being sent to the server;
// a later decision contains it again.
func (i *Issuer) issueFenced(ctx context.Context, o Order) error {
	if !i.startSending(o.Server) {
		return nil
	}
	defer i.endSending(o.Server)
	return i.Send(ctx, o)
}

func (i *Issuer) startSending(server string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.sending[server] {
		return false
	}
	if i.sending == nil {
		i.sending = make(map[string]bool)
	}
	i.sending[server] = true
	return true
}

func (i *Issuer) endSending(server string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.sending, server)
}

// markSent marks the claimed order as sent. It returns false if it was marked
// before.
func (i *Issuer) markSent(claim journal.Offset) bool {
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

func (i *Issuer) recordOutcome(o Order, err error) {
	outcome := placement.OutcomeUnknown
	switch {
	case err == nil:
		outcome = placement.OutcomeApplied
	case errors.Is(err, ErrNotSent) || !i.on(guardUnknownOutcome):
		outcome = placement.OutcomeNotSent
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recordRelease(o.Server, o.Claim, outcome)
}

// recordRelease stores the record that releases a claim until the log has it. The
// caller holds the mutex.
func (i *Issuer) recordRelease(server string, claim journal.Offset, outcome placement.Outcome) {
	if i.releases == nil {
		i.releases = make(map[journal.Offset]placement.Record)
	}
	i.releases[claim] = placement.Record{
		ID:       i.NewID(),
		Presumes: claim,
		Writer:   i.Self.Name,
		Body:     placement.OrderRelease{Server: server, Claimant: i.Self, Outcome: outcome},
	}
}

// Abandon releases this process's claims whose orders were not sent yet, for
// example when its lease has lapsed. Issue won't send these orders any more.
func (i *Issuer) Abandon(s placement.State) {
	i.abandon(s, func(placement.Claim) bool { return true })
}

func (i *Issuer) abandon(s placement.State, matches func(placement.Claim) bool) {
	for _, claim := range s.Claims() {
		if claim.Claimant != i.Self || !matches(claim) || !i.markSent(claim.Offset) {
			continue
		}
		i.mu.Lock()
		i.recordRelease(claim.Server, claim.Offset, placement.OutcomeNotSent)
		i.mu.Unlock()
	}
}

// Sent reports whether the claimed order was sent, is being sent or was abandoned.
func (i *Issuer) Sent(claim journal.Offset) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.sent[claim]
}

// PendingReleases returns the release records of claims that are still open in the state,
// and abandons claims of former epochs first. The caller appends the records and
// calls it again until none is left; each call returns a record with the same ID.
func (i *Issuer) PendingReleases(s placement.State) []placement.Record {
	i.abandon(s, func(c placement.Claim) bool {
		g, _ := s.Group(c.Group)
		return g.Epoch != c.Epoch
	})
	i.mu.Lock()
	defer i.mu.Unlock()
	var records []placement.Record
	for _, claim := range s.Claims() {
		if r, ok := i.releases[claim.Offset]; ok {
			records = append(records, r)
		}
	}
	for offset := range i.releases {
		if c, ok := s.Claim(i.releases[offset].Body.(placement.OrderRelease).Server); ok && c.Offset == offset {
			continue
		}
		if s.Offset() > offset {
			delete(i.releases, offset)
		}
	}
	return records
}
