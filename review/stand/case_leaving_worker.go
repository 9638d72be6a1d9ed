package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leaving-worker"] = leavingWorker }

// leavingWorker has a worker start again under its ID. Some seconds later it leaves, and says so in
// its answers, while the store is down, so that its entry can't say so.
func leavingWorker(ctx context.Context, e *env) ([]string, error) {
	const (
		instances  = 3
		drainTime  = 2 * time.Second
		outage     = 6 * time.Second
		leaveAfter = 200 * time.Millisecond // after the outage began
		workTime   = 60 * time.Millisecond
		clients    = 4                     // of each instance
		interval   = 20 * time.Millisecond // between an answer to a client and its next request
	)
	r := route{name: "status", kind: "safe", service: plainService, timeout: 1500 * time.Millisecond, objective: 300 * time.Millisecond, maxAttempts: 2}
	f, p, q, err := startDesk(ctx, e, r, 800, call{method: http.MethodGet, budget: 1500 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	answer := f.answer
	f.answer = func(w *worker, rw http.ResponseWriter, r *http.Request) {
		time.Sleep(workTime)
		answer(w, rw, r)
	}
	entries := []*entry{p}
	for n := 2; n <= instances; n++ {
		p, err := e.startEntry(ctx, n)
		if err != nil {
			return nil, err
		}
		q.id = fmt.Sprintf("first-at-%d", n)
		if err := waitServed(ctx, e, p.front, q); err != nil {
			return nil, err
		}
		entries = append(entries, p)
	}
	time.Sleep(3 * time.Second)
	worker := f.workers["i-desk0"]
	if err := worker.restart(500 * time.Millisecond); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var observers []*observer
	var group sync.WaitGroup
	for n, p := range entries {
		o := &observer{env: e, worker: worker, instance: n + 1, drainTime: drainTime}
		observers = append(observers, o)
		for k := range clients {
			q := q
			q.id = fmt.Sprintf("entry-%d-client-%d", n+1, k)
			group.Go(func() { o.send(ctx, p, q, interval) })
		}
	}
	time.Sleep(time.Second)
	if e.trouble {
		e.setStoreDown(true)
	}
	time.Sleep(leaveAfter)
	worker.leave()
	time.Sleep(outage - leaveAfter)
	if e.trouble {
		e.setStoreDown(false)
	}
	time.Sleep(3 * time.Second)
	stop()
	group.Wait()
	var broken []string
	for _, o := range observers {
		if o.late > 0 {
			broken = append(broken, fmt.Sprintf("DRAIN: %d requests reached %s from entry-%d that were sent up to %d ms after it had passed on an answer with Server-Leaving",
				o.late, worker.id, o.instance, o.latest.Milliseconds()))
		}
	}
	return broken, nil
}

// observer judges the requests to an entry instance.
type observer struct {
	env       *env
	worker    *worker
	instance  int
	drainTime time.Duration

	mu       sync.Mutex
	passedOn time.Time     // when it first passed on an answer with Server-Leaving
	late     int           // requests that reached the worker and were sent over drainTime later
	latest   time.Duration // the longest time after passedOn
}

// send sends requests on a kept connection until the context ends.
func (o *observer) send(ctx context.Context, p *entry, q call, interval time.Duration) {
	id := q.id
	var c *client
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(interval)
		if c == nil {
			var err error
			if c, err = dial(ctx, p.front); err != nil {
				c = nil
				continue
			}
		}
		q.id = fmt.Sprintf("%s-%d", id, n)
		sent := time.Now()
		a := c.exchange(q, q.budget, nil)
		if !a.whole {
			c.close()
			c = nil
		}
		if a.header.Get("X-Response-Stamp") == "stamp-of-"+o.worker.id && a.header.Get("Server-Leaving") != "" {
			o.note(q.id, sent)
		}
	}
	if c != nil {
		c.close()
	}
}

// note notes that a client got an answer of the worker with Server-Leaving.
func (o *observer) note(id string, sent time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.passedOn.IsZero() {
		o.passedOn = time.Now()
		o.env.record("client: entry-%d passes on an answer of %s with Server-Leaving", o.instance, o.worker.id)
		return
	}
	if after := sent.Sub(o.passedOn); after > o.drainTime {
		o.late++
		o.latest = max(o.latest, after)
		o.env.record("client: %s, sent %d ms after that of entry-%d, ran at %s too", id, after.Milliseconds(), o.instance, o.worker.id)
	}
}
