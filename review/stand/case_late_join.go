package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["late-join"] = lateJoin }

// lateOrders are the orders that a worker held back.
type lateOrders struct {
	held []order
	at   []time.Time // when they arrived
	next chan struct{}
}

// lateJoin leaves some orders to a worker unanswered and has them carried out 2 to 12 s later. One of
// them is on its way when the only entry instance, and thus the keeper, is killed and starts again.
func lateJoin(ctx context.Context, e *env) ([]string, error) {
	const (
		minLate, maxLate = 2 * time.Second, 12 * time.Second
		restartAfter     = 500 * time.Millisecond
	)
	f := newFleet(e, streamAnswer(8, 65, passTime))
	late := &lateOrders{next: make(chan struct{}, 16)}
	holding, overtaken := e.trouble, false
	f.holdsBack = func(w *worker, o order) bool {
		if !holding || w.id != "i-model3" || o.Operation != "join" || !strings.Contains(o.Group, "spare") {
			return false
		}
		late.next <- struct{}{}
		if len(late.held) == 2 && !overtaken {
			// The first is carried out just before the third arrives, whose precondition then
			// no longer holds.
			w.carryOutLate(late.held[0])
			holding, overtaken = false, time.Since(late.at[0]) >= minLate
			return false
		}
		late.held, late.at = append(late.held, o), append(late.at, time.Now())
		return true
	}
	locked := func(change func()) {
		f.mu.Lock()
		defer f.mu.Unlock()
		change()
	}
	r := route{name: "draft", kind: "streaming", service: modelService, timeout: 8 * time.Second, objective: 400 * time.Millisecond, maxAttempts: 2, resumable: true}
	q := call{method: http.MethodPost, path: "/draft/short", id: "first", budget: 8 * time.Second, model: modelName, prompt: 1420, body: "prompt"}
	p, err := startModel(ctx, e, f, modelSize+1, r, q)
	if err != nil {
		return nil, err
	}
	spare, member := f.workers["i-model3"], f.workers["i-model1"]
	if e.trouble {
		done := false
		for range 3 {
			if err := waitFor(ctx, late.next, 20*time.Second); err != nil {
				return nil, err
			}
		}
		locked(func() { done = overtaken })
		if !done {
			return nil, errors.New("the third order came too soon")
		}
		time.Sleep(time.Second)
		locked(func() { spare.carryOutLate(late.held[1]) })
		time.Sleep(2 * time.Second)
		locked(func() { holding = true })
	} else {
		time.Sleep(7 * time.Second)
	}
	if err := spare.restart(300 * time.Millisecond); err != nil {
		return nil, err
	}
	if e.trouble {
		if err := waitFor(ctx, late.next, 20*time.Second); err != nil {
			return nil, err
		}
		time.Sleep(20 * time.Millisecond)
		p.kill()
		e.record("the entry instance is killed")
	}
	held, at := order{}, time.Now()
	locked(func() {
		if e.trouble {
			holding = false
			held, at = late.held[2], late.at[2]
		}
		member.down = true
	})
	e.record("worker %s crashes", member.id)
	if e.trouble {
		time.Sleep(restartAfter)
		if err := p.restart(ctx, e); err != nil {
			return nil, err
		}
	}
	waitOpen(ctx, f, spare, at.Add(maxLate-time.Second))
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		e.record("the last late order is carried out %d ms after its arrival", time.Since(at).Milliseconds())
		locked(func() { spare.carryOutLate(held) })
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.broken, nil
}

// waitFor waits until a channel receives.
func waitFor(ctx context.Context, c <-chan struct{}, limit time.Duration) error {
	select {
	case <-c:
		return nil
	case <-time.After(limit):
		return errors.New("an order that the case needs was not given")
	case <-ctx.Done():
		return fmt.Errorf("waiting for an order: %w", ctx.Err())
	}
}

// waitOpen waits until the head of a worker's group is open, or until a time.
func waitOpen(ctx context.Context, f *fleet, w *worker, until time.Time) {
	for ctx.Err() == nil && time.Now().Before(until) {
		f.mu.Lock()
		open := false
		if g := w.group; g != nil && len(g.members) == modelSize {
			head := f.workers[g.members[0]]
			open = head.group != nil && head.group.name == g.name && head.state() == "open"
		}
		f.mu.Unlock()
		if open {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
