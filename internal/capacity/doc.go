// Package capacity carries the messages of a limit.Ledger between the entry
// instances of a data centre, and makes the ledger safe for concurrent use.
//
//	book := capacity.NewLimiter(self, call)
//	permit, ok := book.TryAcquire("worker-3", tokens)
//	if !ok {
//		book.RequestLoan(ctx, "worker-3", tokens)
//		return
//	}
//	defer book.Release(permit, completed)
package capacity
