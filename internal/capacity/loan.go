package capacity

import (
	"context"
	"time"

	"github.com/chicorystall/chicorystall/pkg/limit"
)

// lendersAsked is how many members are asked for one loan.
const lendersAsked = 3

// loanPatience is how long a request for a loan waits at a lender.
const loanPatience = time.Second

// askLater asks for a loan in the background, once at a time for a backend
// server. Only a member without a share of its own waits at a lender: what waits
// there keeps the lender's own requests back.
func (b *Limiter) askLater(ctx context.Context, backend string, refused *limit.Refusal) {
	if refused.Missing.IsZero() || len(refused.Lenders) == 0 {
		return
	}
	b.mu.Lock()
	asked := b.asking[backend]
	b.asking[backend] = true
	b.mu.Unlock()
	if asked {
		return
	}
	go func() {
		b.askLenders(ctx, backend, refused)
		b.mu.Lock()
		delete(b.asking, backend)
		b.mu.Unlock()
	}()
}

func (b *Limiter) askLenders(ctx context.Context, backend string, refused *limit.Refusal) {
	b.mu.Lock()
	wait := b.ledger.Share(backend).Requests == 0
	b.mu.Unlock()
	for i, lender := range refused.Lenders[:min(lendersAsked, len(refused.Lenders))] {
		if b.borrow(ctx, backend, lender, refused.Missing, wait && i == 0) {
			return
		}
	}
}

// awaitReply waits until a loan that waits at its lender has its final reply, and
// gives it up when it takes too long: the reply may have been lost.
func (b *Limiter) awaitReply(ctx context.Context, id limit.LoanID) {
	ctx, cancel := context.WithTimeout(ctx, loanPatience)
	defer cancel()
	for {
		freed := b.Freed()
		b.mu.Lock()
		awaits := b.ledger.AwaitsReply(id)
		b.mu.Unlock()
		if !awaits {
			return
		}
		select {
		case <-freed:
		case <-ctx.Done():
			b.update(ctx, func(l *limit.Ledger) limit.Outbox { return l.CancelLoan(id) })
			return
		}
	}
}

// borrow asks one lender and reports whether a loan came that can be used. With
// wait set the lender may reply later.
func (b *Limiter) borrow(ctx context.Context, backend string, lender limit.Member, amount limit.Amount, wait bool) bool {
	b.mu.Lock()
	request := b.ledger.Borrow(backend, lender, amount, wait)
	b.mu.Unlock()
	answer, err := b.send(ctx, lender, message{Requests: []limit.LoanRequest{request}})
	if err != nil {
		b.update(ctx, func(l *limit.Ledger) limit.Outbox { return l.CancelLoan(request.ID) })
		return false
	}
	usable := b.accept(ctx, answer.Replies)
	if wait && !usable {
		b.awaitReply(ctx, request.ID)
	}
	return usable
}

func (b *Limiter) accept(ctx context.Context, replies []limit.LoanReply) bool {
	usable := false
	for _, reply := range replies {
		b.update(ctx, func(l *limit.Ledger) limit.Outbox {
			accepted, out := l.Accept(reply)
			usable = usable || accepted
			return out
		})
	}
	return usable
}
