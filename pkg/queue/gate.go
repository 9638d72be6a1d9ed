package queue

import (
	"context"
	"sync"
	"time"
)

// Gate is a queue in which callers block until they get a place. Acquire must be set
// before the first call of Wait. A Gate is safe for concurrent use.
type Gate struct {
	Config Config
	Now    func() time.Time // nil means time.Now
	// Acquire reserves a place for an entry and reports whether it succeeded. It is
	// called with the gate's lock held and must not call methods of the gate.
	// Queue.Take describes the order of the entries.
	Acquire func(Entry) bool

	mu      sync.Mutex
	queue   Queue
	nextID  uint64
	closed  bool
	waiters map[uint64]*waiter
}

// waiter is a blocked caller.
type waiter struct {
	done    chan error
	acquire func() bool // reserves a place; nil means the gate's Acquire
}

func (g *Gate) now() time.Time {
	if g.Now == nil {
		return time.Now()
	}
	return g.Now()
}

// Wait blocks until Acquire has reserved a place for the entry and returns nil, or
// returns a *Refusal or the context's error. The gate sets the entry's ID.
func (g *Gate) Wait(ctx context.Context, e Entry) error {
	return g.WaitFor(ctx, e, nil)
}

// WaitFor is like Wait, but calls acquire instead of Acquire. acquire is called with the
// gate's lock held and must not call methods of the gate. If it has reserved a place and
// ctx ends at the same time, WaitFor returns nil.
func (g *Gate) WaitFor(ctx context.Context, e Entry, acquire func() bool) error {
	if deadline, ok := ctx.Deadline(); ok && e.Deadline.IsZero() {
		e.Deadline = deadline
	}
	id, done, err := g.enqueue(e, acquire)
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case err := <-done: // the entry was served or refused before ctx ended
		return err
	default:
	}
	g.queue.Remove(id)
	delete(g.waiters, id)
	g.serveWaiting()
	return ctx.Err()
}

func (g *Gate) enqueue(e Entry, acquire func() bool) (uint64, chan error, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return 0, nil, &Refusal{Reason: ReasonClosed, RetryAfter: minRetryAfter}
	}
	g.queue.Config = g.Config
	g.nextID++
	e.ID = g.nextID
	displaced, err := g.queue.Push(g.now(), e)
	if err != nil {
		return 0, nil, err
	}
	if g.waiters == nil {
		g.waiters = make(map[uint64]*waiter)
	}
	done := make(chan error, 1)
	g.waiters[e.ID] = &waiter{done: done, acquire: acquire}
	g.refuse(displaced, ReasonDisplaced)
	g.serveWaiting()
	return e.ID, done, nil
}

func (g *Gate) refuse(entries []Entry, reason Reason) {
	for _, e := range entries {
		wait := clampRetryAfter(g.queue.Wait(e))
		g.finish(e.ID, &Refusal{Reason: reason, RetryAfter: wait})
	}
}

func (g *Gate) finish(id uint64, err error) {
	if waiting, ok := g.waiters[id]; ok {
		waiting.done <- err
		delete(g.waiters, id)
	}
}

// Wake refuses the entries whose deadline has passed, and tries to serve the others. It
// must be called when a place may have become free.
func (g *Gate) Wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serveWaiting()
}

func (g *Gate) acquire(e Entry) bool {
	if waiting := g.waiters[e.ID]; waiting != nil && waiting.acquire != nil {
		return waiting.acquire()
	}
	return g.Acquire(e)
}

// serveWaiting refuses the requests whose deadline has passed, and lets those proceed
// that acquire what they wait for. The caller holds the lock.
func (g *Gate) serveWaiting() {
	g.refuse(g.queue.Expire(g.now()), ReasonDeadline)
	for {
		e, ok := g.queue.Take(g.acquire)
		if !ok {
			return
		}
		g.finish(e.ID, nil)
	}
}

// RecordServed records finished work, as Queue.RecordServed does, and then does what Wake does.
func (g *Gate) RecordServed(cost int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.RecordServed(g.now(), cost)
	g.serveWaiting()
}

// Len returns the number of waiting requests.
func (g *Gate) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}

// Close refuses all waiting and later requests.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for {
		e, ok := g.queue.Pop()
		if !ok {
			return
		}
		g.finish(e.ID, &Refusal{Reason: ReasonClosed, RetryAfter: minRetryAfter})
	}
}
