// Package capacity exchanges the messages of a limit.Ledger between the entry
// instances of a data centre, and makes the ledger safe for concurrent use.
//
//	limiter := capacity.NewLimiter(self, call)
//	permit, ok := limiter.TryAcquire("worker-3", tokens)
//	if !ok {
//		limiter.RequestLoan(ctx, "worker-3", tokens)
//		return
//	}
//	defer limiter.Release(ctx, permit, completed)
package capacity
