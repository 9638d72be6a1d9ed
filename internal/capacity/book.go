package capacity

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/replica"
	"github.com/chicorystall/chicorystall/pkg/limit"
)

// Call sends an encoded message to a member and returns the member's answer, which is
// also an encoded message.
type Call func(ctx context.Context, to limit.Member, message []byte) ([]byte, error)

// ColdStartReport is what a backend server reports about its cold start.
type ColdStartReport int

// What a backend server can report about its cold start.
const (
	Unreported ColdStartReport = iota // the server reports nothing
	Cold
	Warm
)

// Limiter enforces the limits on backend servers at one entry instance. It guards the
// instance's limit.Ledger with a mutex and exchanges the ledger's messages with the
// other members. It is safe for concurrent use.
type Limiter struct {
	call  Call
	freed replica.Signal

	mu          sync.Mutex
	ledger      limit.Ledger
	members     []limit.Member          // of the newest table, without this instance
	loanPending map[string]bool         // backend servers for which a loan request is under way
	inFlight    map[string]limit.Amount // what this instance has in flight, by backend server
}

// NewLimiter returns the limiter of the member self, which sends its messages with call.
func NewLimiter(self limit.Member, call Call) *Limiter {
	return &Limiter{
		call:        call,
		ledger:      limit.Ledger{Self: self},
		loanPending: make(map[string]bool),
		inFlight:    make(map[string]limit.Amount),
	}
}

// Freed returns a channel that is closed when a permit that was refused before may
// be available. Take the channel before the call that may be refused.
func (l *Limiter) Freed() <-chan struct{} { return l.freed.Notified() }

// SetTable adopts a new table of members. The processes of the members in gone must
// certainly have ended.
func (l *Limiter) SetTable(ctx context.Context, table limit.Table, gone []limit.Member) {
	l.update(ctx, func(ledger *limit.Ledger) limit.Outbox {
		l.members = l.members[:0:0]
		for _, member := range table.Members {
			if member != ledger.Self {
				l.members = append(l.members, member)
			}
		}
		out := ledger.SetTable(table)
		for _, member := range gone {
			out = mergeOutboxes(out, ledger.MarkGone(member))
		}
		return out
	})
}

// SetLimits adopts newly configured limits.
func (l *Limiter) SetLimits(ctx context.Context, limits limit.Limits) {
	l.update(ctx, func(ledger *limit.Ledger) limit.Outbox {
		return ledger.SetLimits(limits)
	})
}

// Observe records the boot ID that a backend server reported, and what it reported
// about its cold start.
func (l *Limiter) Observe(ctx context.Context, backend, boot string, state ColdStartReport) {
	l.update(ctx, func(ledger *limit.Ledger) limit.Outbox {
		if ledger.Boot(backend) != boot {
			ledger.Observe(backend, boot)
		}
		switch state {
		case Warm:
			return ledger.MarkWarm(backend, boot)
		case Cold:
			ledger.MarkReportedCold(backend, boot)
		}
		return limit.Outbox{}
	})
}

// Capacity returns what the backend server can take now from all members together, as
// known to this member.
func (l *Limiter) Capacity(backend string) limit.Amount {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Capacity(backend)
}

// InFlight returns what this instance has in flight at the backend server.
func (l *Limiter) InFlight(backend string) limit.Amount {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight[backend]
}

// Activated reports whether only the newest table and limits are in force at this
// member.
func (l *Limiter) Activated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Activated()
}

// TryAcquire takes a permit if this member has capacity for it now.
func (l *Limiter) TryAcquire(backend string, tokens int) (limit.Permit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	permit, ok := l.ledger.TryAcquire(backend, tokens)
	if ok {
		l.inFlight[backend] = l.inFlight[backend].Plus(permitAmount(permit))
	}
	return permit, ok
}

func permitAmount(permit limit.Permit) limit.Amount {
	return limit.Amount{Requests: 1, Tokens: permit.Tokens}
}

// RequestLoan queues this member's request for capacity of the backend server after
// TryAcquire failed, and requests a loan from other members in the background. The
// channel of Freed is closed when the caller should try again.
func (l *Limiter) RequestLoan(ctx context.Context, backend string, tokens int) {
	permit, refusal := l.acquire(backend, tokens)
	if refusal == nil {
		l.Release(ctx, permit, false)
		return
	}
	l.requestLoanAsync(ctx, backend, refusal)
}

// Release ends a permit. completed means that the backend server's answer was
// complete.
func (l *Limiter) Release(ctx context.Context, permit limit.Permit, completed bool) {
	l.update(ctx, func(ledger *limit.Ledger) limit.Outbox {
		l.inFlight[permit.Backend] = l.inFlight[permit.Backend].Minus(permitAmount(permit)).Positive()
		return ledger.Release(permit, completed)
	})
}

// acquire is TryAcquire, but a refused request keeps a position in the ledger's
// queue, and the refusal names the members to ask for a loan.
func (l *Limiter) acquire(backend string, tokens int) (limit.Permit, *limit.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	permit, err := l.ledger.Acquire(backend, tokens)
	var refusal *limit.Refusal
	if errors.As(err, &refusal) {
		return limit.Permit{}, refusal
	}
	l.inFlight[backend] = l.inFlight[backend].Plus(permitAmount(permit))
	return permit, nil
}

// update changes the ledger, closes the channel of Freed and sends the resulting
// messages.
func (l *Limiter) update(ctx context.Context, change func(*limit.Ledger) limit.Outbox) {
	l.mu.Lock()
	out := change(&l.ledger)
	l.mu.Unlock()
	l.freed.Notify()
	l.sendOutbox(ctx, out)
}

// sendOutbox sends the contents of an outbox in the background, as one message to
// each member. A lost message isn't repeated; the next statements reconcile the
// ledgers.
func (l *Limiter) sendOutbox(ctx context.Context, out limit.Outbox) {
	byMember := make(map[limit.Member]*message)
	messageTo := func(member limit.Member) *message {
		if byMember[member] == nil {
			byMember[member] = &message{}
		}
		return byMember[member]
	}
	for _, r := range out.Returns {
		m := messageTo(r.Lender)
		m.Returns = append(m.Returns, r)
	}
	for _, reply := range out.Replies {
		m := messageTo(reply.ID.Borrower)
		m.Replies = append(m.Replies, reply)
	}
	for member, m := range byMember {
		go func() { _, _ = l.send(context.WithoutCancel(ctx), member, *m) }()
	}
}

func (l *Limiter) send(ctx context.Context, to limit.Member, m message) (message, error) {
	m.From = l.ledger.Self
	data, err := json.Marshal(m)
	if err != nil {
		return message{}, err
	}
	answer, err := l.call(ctx, to, data)
	if err != nil {
		return message{}, err
	}
	return decode(answer)
}

func mergeOutboxes(a, b limit.Outbox) limit.Outbox {
	return limit.Outbox{
		Returns: append(a.Returns, b.Returns...),
		Replies: append(a.Replies, b.Replies...),
	}
}
