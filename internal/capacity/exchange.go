package capacity

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/pkg/limit"
)

// maxStatementCalls is the maximum number of concurrent calls that send a statement.
const maxStatementCalls = 8

// Handle processes an encoded message of another member and returns the encoded
// answer.
func (l *Limiter) Handle(ctx context.Context, data []byte) ([]byte, error) {
	in, err := decode(data)
	if err != nil {
		return nil, err
	}
	var answer message
	l.update(ctx, func(ledger *limit.Ledger) limit.Outbox {
		var out limit.Outbox
		if in.Statement != nil {
			out = mergeOutboxes(out, ledger.Reconcile(*in.Statement))
		}
		for _, r := range in.Returns {
			out = mergeOutboxes(out, ledger.TakeBack(r))
		}
		for _, r := range in.Requests {
			answer.Replies = append(answer.Replies, ledger.Lend(r))
		}
		return out
	})
	l.accept(ctx, in.Replies)
	answer.From = l.ledger.Self
	return json.Marshal(answer)
}

// Run sends statements to the other members at each interval, until ctx ends.
func (l *Limiter) Run(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.sendStatements(ctx, round)
		}
	}
}

// unconditionalRounds is the number of rounds after which a member gets a statement
// even if the ledger has none due for it, because an earlier one may have been lost.
const unconditionalRounds = 10

// statementsDue returns the members that get a statement in this round. The
// unconditional statements are spread over the rounds.
func (l *Limiter) statementsDue(round int) []limit.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var members []limit.Member
	for i, member := range l.members {
		if (round+i)%unconditionalRounds == 0 || l.ledger.StatementDue(member) {
			members = append(members, member)
		}
	}
	return members
}

// sendStatements sends the statements that are due in this round and waits for the
// calls to end.
func (l *Limiter) sendStatements(ctx context.Context, round int) {
	l.update(ctx, func(ledger *limit.Ledger) limit.Outbox { return ledger.Tick() })
	members := l.statementsDue(round)
	var calls errgroup.Group
	calls.SetLimit(maxStatementCalls)
	for _, member := range members {
		calls.Go(func() error {
			l.mu.Lock()
			statement := l.ledger.Statement(member)
			l.mu.Unlock()
			_, _ = l.send(ctx, member, message{Statement: &statement})
			return nil
		})
	}
	_ = calls.Wait()
}
