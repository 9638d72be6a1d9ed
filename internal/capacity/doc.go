// Package capacity carries the messages of a limit.Ledger between the entry
// instances of a data centre, and makes the ledger safe for concurrent use.
//
//	book := capacity.NewBook(self, call)
//	permit, err := book.Acquire(ctx, "worker-3", tokens)
//	if err != nil {
//		return err
//	}
//	defer book.Release(permit, completed)
package capacity
