// Package capacity exchanges the messages of a limit.Ledger between the entry
// instances of a data centre, and makes the ledger safe for concurrent use.
//
//	book := capacity.NewBook(self, call)
//	permit, ok := book.TryAcquire("worker-3", tokens)
//	if !ok {
//		book.AskFor(ctx, "worker-3", tokens)
//		return
//	}
//	defer book.Release(ctx, permit, completed)
package capacity
