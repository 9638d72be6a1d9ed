package capacity

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/pkg/limit"
)

// statementCalls bounds the statements that are on their way at one time.
const statementCalls = 8

// Handle takes a message of another member and returns the answer to it.
func (b *Limiter) Handle(ctx context.Context, data []byte) ([]byte, error) {
	in, err := decode(data)
	if err != nil {
		return nil, err
	}
	var answer message
	b.update(ctx, func(l *limit.Ledger) limit.Outbox {
		var out limit.Outbox
		if in.Statement != nil {
			out = join(out, l.Reconcile(*in.Statement))
		}
		for _, r := range in.Returns {
			out = join(out, l.TakeBack(r))
		}
		for _, r := range in.Requests {
			answer.Replies = append(answer.Replies, l.Lend(r))
		}
		return out
	})
	b.accept(ctx, in.Replies)
	answer.From = b.ledger.Self
	return json.Marshal(answer)
}

// Run tells the other members regularly what they need to know, until ctx ends.
func (b *Limiter) Run(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.round(ctx, round)
		}
	}
}

// allEvery is the number of rounds after which a statement goes to a member that
// lacks nothing as far as is known: the one before may have been lost.
const allEvery = 10

// due returns the members that a statement goes to in this round.
func (b *Limiter) due(round int) []limit.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	var members []limit.Member
	for i, member := range b.members {
		if (round+i)%allEvery == 0 || b.ledger.StatementDue(member) {
			members = append(members, member)
		}
	}
	return members
}

// round sends the statements that are due.
func (b *Limiter) round(ctx context.Context, round int) {
	b.update(ctx, func(l *limit.Ledger) limit.Outbox { return l.Tick() })
	members := b.due(round)
	var calls errgroup.Group
	calls.SetLimit(statementCalls)
	for _, member := range members {
		calls.Go(func() error {
			b.mu.Lock()
			statement := b.ledger.Statement(member)
			b.mu.Unlock()
			_, _ = b.send(ctx, member, message{Statement: &statement})
			return nil
		})
	}
	_ = calls.Wait()
}
