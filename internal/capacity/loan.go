package capacity

import (
	"context"
	"time"

	"github.com/chicorystall/chicorystall/pkg/limit"
)

// maxLendersPerLoan is the maximum number of members that are asked for one loan.
const maxLendersPerLoan = 3

// loanReplyTimeout is how long a loan request may wait at its lender for the final
// reply.
const loanReplyTimeout = time.Second

// requestLoanAsync requests a loan in the background, unless a loan request for the
// backend server is already under way.
func (l *Limiter) requestLoanAsync(ctx context.Context, backend string, refusal *limit.Refusal) {
	if refusal.Missing.IsZero() || len(refusal.Lenders) == 0 {
		return
	}
	l.mu.Lock()
	pending := l.loanPending[backend]
	l.loanPending[backend] = true
	l.mu.Unlock()
	if pending {
		return
	}
	go func() {
		l.requestFromLenders(ctx, backend, refusal)
		l.mu.Lock()
		delete(l.loanPending, backend)
		l.mu.Unlock()
	}()
}

// requestFromLenders asks the lenders one after the other until one grants a loan.
// Only a member without a share of its own lets its request wait at a lender, and
// only at the first one, since a waiting request holds back the lender's own requests.
func (l *Limiter) requestFromLenders(ctx context.Context, backend string, refusal *limit.Refusal) {
	l.mu.Lock()
	waitAtLender := l.ledger.Share(backend).Requests == 0
	l.mu.Unlock()
	for i, lender := range refusal.Lenders[:min(maxLendersPerLoan, len(refusal.Lenders))] {
		if l.borrow(ctx, backend, lender, refusal.Missing, waitAtLender && i == 0) {
			return
		}
	}
}

// awaitReply waits until a loan request that waits at its lender has its final reply.
// It cancels the request after loanReplyTimeout, since the reply may have been lost.
func (l *Limiter) awaitReply(ctx context.Context, id limit.LoanID) {
	ctx, cancel := context.WithTimeout(ctx, loanReplyTimeout)
	defer cancel()
	for {
		freed := l.Freed()
		l.mu.Lock()
		pending := l.ledger.AwaitsReply(id)
		l.mu.Unlock()
		if !pending {
			return
		}
		select {
		case <-freed:
		case <-ctx.Done():
			l.update(ctx, func(ledger *limit.Ledger) limit.Outbox { return ledger.CancelLoan(id) })
			return
		}
	}
}

// borrow requests a loan from one lender and reports whether the lender's answer
// granted one that can be used. With waitAtLender set, the lender may keep the request
// and reply later; borrow then waits for that reply, but still returns false.
func (l *Limiter) borrow(ctx context.Context, backend string, lender limit.Member, amount limit.Amount, waitAtLender bool) bool {
	l.mu.Lock()
	request := l.ledger.Borrow(backend, lender, amount, waitAtLender)
	l.mu.Unlock()
	answer, err := l.send(ctx, lender, message{Requests: []limit.LoanRequest{request}})
	if err != nil {
		l.update(ctx, func(ledger *limit.Ledger) limit.Outbox { return ledger.CancelLoan(request.ID) })
		return false
	}
	usable := l.accept(ctx, answer.Replies)
	if waitAtLender && !usable {
		l.awaitReply(ctx, request.ID)
	}
	return usable
}

// accept processes the replies of a lender and reports whether one of them granted a
// loan that can be used.
func (l *Limiter) accept(ctx context.Context, replies []limit.LoanReply) bool {
	usable := false
	for _, reply := range replies {
		l.update(ctx, func(ledger *limit.Ledger) limit.Outbox {
			accepted, out := ledger.Accept(reply)
			usable = usable || accepted
			return out
		})
	}
	return usable
}
