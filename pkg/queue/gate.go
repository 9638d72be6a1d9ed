package queue

import (
	"context"
	"sync"
	"time"
)

// Gate lets blocking callers wait in a queue. Set Try before the first Wait; a
// context ends each wait.
type Gate struct {
	Config Config
	Now    func() time.Time // nil is time.Now
	// Try takes a place for an entry and reports whether it got one. It runs
	// under the gate's lock and must not call the gate. See Queue.Take for the
	// order.
	Try func(Entry) bool

	mu     sync.Mutex
	queue  Queue
	nextID uint64
	closed bool
	calls  map[uint64]*call
}

// call is a caller that waits.
type call struct {
	done chan error
	take func() bool // takes the place, instead of the gate's Try
}

func (g *Gate) now() time.Time {
	if g.Now == nil {
		return time.Now()
	}
	return g.Now()
}

// Wait returns nil once Try has taken a place for the entry, a *Refusal, or the
// context's error. The entry's ID is set by the gate.
func (g *Gate) Wait(ctx context.Context, e Entry) error {
	return g.WaitFor(ctx, e, nil)
}

// WaitFor is like Wait with a function of the caller's own that takes the place
// when the entry is the first. It runs under the gate's lock and must not call
// the gate. When it has taken a place and ctx ends at the same time, WaitFor
// returns nil.
func (g *Gate) WaitFor(ctx context.Context, e Entry, take func() bool) error {
	if deadline, ok := ctx.Deadline(); ok && e.Deadline.IsZero() {
		e.Deadline = deadline
	}
	id, done, err := g.enter(e, take)
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
	case err := <-done: // the outcome came first
		return err
	default:
	}
	g.queue.Remove(id)
	delete(g.calls, id)
	g.pump()
	return ctx.Err()
}

func (g *Gate) enter(e Entry, take func() bool) (uint64, chan error, error) {
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
	if g.calls == nil {
		g.calls = make(map[uint64]*call)
	}
	done := make(chan error, 1)
	g.calls[e.ID] = &call{done: done, take: take}
	g.refuse(displaced, ReasonDisplaced)
	g.pump()
	return e.ID, done, nil
}

func (g *Gate) refuse(entries []Entry, reason Reason) {
	for _, e := range entries {
		wait := clampRetry(g.queue.Wait(e))
		g.finish(e.ID, &Refusal{Reason: reason, RetryAfter: wait})
	}
}

func (g *Gate) finish(id uint64, err error) {
	if waiting, ok := g.calls[id]; ok {
		waiting.done <- err
		delete(g.calls, id)
	}
}

// Wake serves as many entries as Try takes. Call it when a place may be free.
func (g *Gate) Wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pump()
}

func (g *Gate) try(e Entry) bool {
	if waiting := g.calls[e.ID]; waiting != nil && waiting.take != nil {
		return waiting.take()
	}
	return g.Try(e)
}

func (g *Gate) pump() {
	g.refuse(g.queue.Expire(g.now()), ReasonDeadline)
	for {
		e, ok := g.queue.Take(g.try)
		if !ok {
			return
		}
		g.finish(e.ID, nil)
	}
}

// RecordServed notes finished work for the estimate of the wait, and wakes waiters.
func (g *Gate) RecordServed(cost int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.RecordServed(g.now(), cost)
	g.pump()
}

// Len returns the number of waiting requests.
func (g *Gate) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}

// Close refuses what waits and what comes later.
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
