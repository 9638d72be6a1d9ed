package capacity

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/pkg/limit"
)

// statementCalls bounds the statements that are on their way at one time.
const statementCalls = 8

// Handle takes a message of another member and returns the answer to it.
func (b *Book) Handle(ctx context.Context, data []byte) ([]byte, error) {
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
			out = join(out, l.Returned(r))
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
func (b *Book) Run(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.round(ctx)
		}
	}
}

// round sends a statement to every other member of the table.
func (b *Book) round(ctx context.Context) {
	b.update(ctx, func(l *limit.Ledger) limit.Outbox { return l.Tick() })
	b.mu.Lock()
	members := slices.Clone(b.members)
	b.mu.Unlock()
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
