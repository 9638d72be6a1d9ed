package capacity

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/replica"
	"github.com/chicorystall/chicorystall/pkg/limit"
)

// Call sends a message to a member and returns its answer.
type Call func(ctx context.Context, to limit.Member, message []byte) ([]byte, error)

// ColdStartReport is what a backend server says of its cold start.
type ColdStartReport int

// Kinds of warmth.
const (
	Unreported ColdStartReport = iota
	Cold
	Warm
)

// Limiter is the ledger of one entry instance with its messages.
type Limiter struct {
	call  Call
	freed replica.Signal

	mu      sync.Mutex
	ledger  limit.Ledger
	members []limit.Member          // of the table, without this one
	asking  map[string]bool         // backend servers for which a loan is asked
	own     map[string]limit.Amount // in flight of this instance
}

// NewLimiter returns the book of a member. Call carries its messages.
func NewLimiter(self limit.Member, call Call) *Limiter {
	return &Limiter{
		call:   call,
		ledger: limit.Ledger{Self: self},
		asking: make(map[string]bool),
		own:    make(map[string]limit.Amount),
	}
}

// Freed returns a channel that is closed when a permit may be had that was
// refused before.
func (b *Limiter) Freed() <-chan struct{} { return b.freed.Notified() }

// SetTable follows a new table of members. The gone ones certainly run no more.
func (b *Limiter) SetTable(ctx context.Context, table limit.Table, gone []limit.Member) {
	b.update(ctx, func(l *limit.Ledger) limit.Outbox {
		b.members = b.members[:0:0]
		for _, member := range table.Members {
			if member != l.Self {
				b.members = append(b.members, member)
			}
		}
		out := l.SetTable(table)
		for _, member := range gone {
			out = join(out, l.MarkGone(member))
		}
		return out
	})
}

// SetLimits follows newly configured limits.
func (b *Limiter) SetLimits(ctx context.Context, limits limit.Limits) {
	b.update(ctx, func(l *limit.Ledger) limit.Outbox {
		return l.SetLimits(limits)
	})
}

// Observe notes the boot ID that a backend server told, and what it says of its
// cold start.
func (b *Limiter) Observe(ctx context.Context, backend, boot string, warmth ColdStartReport) {
	b.update(ctx, func(l *limit.Ledger) limit.Outbox {
		if l.Boot(backend) != boot {
			l.Observe(backend, boot)
		}
		switch warmth {
		case Warm:
			return l.MarkWarm(backend, boot)
		case Cold:
			l.MarkReportedCold(backend, boot)
		}
		return limit.Outbox{}
	})
}

// Capacity returns what the backend server bears now as far as this member knows,
// over all members.
func (b *Limiter) Capacity(backend string) limit.Amount {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Capacity(backend)
}

// InFlight returns what this instance has in flight at the backend server.
func (b *Limiter) InFlight(backend string) limit.Amount {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own[backend]
}

// Activated reports whether only the newest table and limits bind here.
func (b *Limiter) Activated() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Activated()
}

// TryAcquire takes a permit if this member has room for it now.
func (b *Limiter) TryAcquire(backend string, tokens int) (limit.Permit, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	permit, ok := b.ledger.TryAcquire(backend, tokens)
	if ok {
		b.own[backend] = b.own[backend].Plus(amountOf(permit))
	}
	return permit, ok
}

func amountOf(permit limit.Permit) limit.Amount {
	return limit.Amount{Requests: 1, Tokens: permit.Tokens}
}

// RequestLoan takes a place among those who wait for the backend server, for a request
// that found no room, and asks for a loan in the background. Freed tells when it
// is worth another try.
func (b *Limiter) RequestLoan(ctx context.Context, backend string, tokens int) {
	permit, refused := b.acquire(backend, tokens)
	if refused == nil {
		b.Release(ctx, permit, false)
		return
	}
	b.askLater(ctx, backend, refused)
}

// Release ends a permit. Completed says that the backend server answered whole.
func (b *Limiter) Release(ctx context.Context, permit limit.Permit, completed bool) {
	b.update(ctx, func(l *limit.Ledger) limit.Outbox {
		b.own[permit.Backend] = b.own[permit.Backend].Minus(amountOf(permit)).Positive()
		return l.Release(permit, completed)
	})
}

func (b *Limiter) acquire(backend string, tokens int) (limit.Permit, *limit.Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	permit, err := b.ledger.Acquire(backend, tokens)
	var refused *limit.Refusal
	if errors.As(err, &refused) {
		return limit.Permit{}, refused
	}
	b.own[backend] = b.own[backend].Plus(amountOf(permit))
	return permit, nil
}

// update changes the ledger, wakes those who wait and sends what it gave rise to.
func (b *Limiter) update(ctx context.Context, change func(*limit.Ledger) limit.Outbox) {
	b.mu.Lock()
	out := change(&b.ledger)
	b.mu.Unlock()
	b.freed.Notify()
	b.deliver(ctx, out)
}

// deliver sends the messages of an outbox, each member's in one message. What
// is lost is made good by the next statements.
func (b *Limiter) deliver(ctx context.Context, out limit.Outbox) {
	byMember := make(map[limit.Member]*message)
	to := func(member limit.Member) *message {
		if byMember[member] == nil {
			byMember[member] = &message{}
		}
		return byMember[member]
	}
	for _, r := range out.Returns {
		m := to(r.Lender)
		m.Returns = append(m.Returns, r)
	}
	for _, reply := range out.Replies {
		m := to(reply.ID.Borrower)
		m.Replies = append(m.Replies, reply)
	}
	for member, m := range byMember {
		go func() { _, _ = b.send(context.WithoutCancel(ctx), member, *m) }()
	}
}

func (b *Limiter) send(ctx context.Context, to limit.Member, m message) (message, error) {
	m.From = b.ledger.Self
	data, err := json.Marshal(m)
	if err != nil {
		return message{}, err
	}
	answer, err := b.call(ctx, to, data)
	if err != nil {
		return message{}, err
	}
	return decode(answer)
}

func join(a, b limit.Outbox) limit.Outbox {
	return limit.Outbox{
		Returns: append(a.Returns, b.Returns...),
		Replies: append(a.Replies, b.Replies...),
	}
}
