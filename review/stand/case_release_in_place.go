package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["release-in-place"] = releaseInPlace }

// releaseInPlace replaces the workers of a plain service one after the other, each of which starts
// again under the ID that it had. Then a configuration adds a route to that service.
func releaseInPlace(ctx context.Context, e *env) ([]string, error) {
	const (
		instances = 8
		deskTime  = 60 * time.Millisecond // as at qurum-styling
		otherTime = 15 * time.Millisecond
		interval  = 100 * time.Millisecond // between two requests of a client
		serving   = 2500 * time.Millisecond
		away      = 500 * time.Millisecond
		pause     = 1500 * time.Millisecond // between two workers
		settled   = 15 * time.Second        // after the release
		measured  = 20 * time.Second
	)
	other := route{name: "catalogue", kind: "safe", service: otherService, timeout: 1500 * time.Millisecond, objective: 100 * time.Millisecond, maxAttempts: 2}
	first := other
	first.name, first.service = "status", plainService
	added := first
	added.name = "reprint"
	f := newFleet(e, func(w *worker, rw http.ResponseWriter, _ *http.Request) {
		if w.service == plainService {
			time.Sleep(deskTime)
		} else {
			time.Sleep(otherTime)
		}
		rw.Header().Set("Content-Length", "800")
		_, _ = rw.Write(make([]byte, 800)) // fails if the entry instance has left
	})
	var released []*worker
	for n := range 3 {
		w, err := f.add(fmt.Sprintf("i-desk%d", n), plainService, "")
		if err != nil {
			return nil, err
		}
		released = append(released, w)
		if _, err := f.add(fmt.Sprintf("i-catalogue%d", n), otherService, ""); err != nil {
			return nil, err
		}
	}
	go f.heartbeat(heartbeat)
	if err := e.putOperator("config", config(1, other, first)); err != nil {
		return nil, err
	}
	var entries []*entry
	for n := 1; n <= instances; n++ {
		p, err := e.startEntry(ctx, n)
		if err != nil {
			return nil, err
		}
		entries = append(entries, p)
	}
	time.Sleep(5 * time.Second)

	var t tally
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	send := func(name, id string) {
		for n, p := range entries {
			group.Go(func() {
				q := call{method: http.MethodGet, path: "/" + name + "/a", budget: 1500 * time.Millisecond}
				t.send(sending, p, q, fmt.Sprintf("%s-%s-at-%d", id, name, n+1), interval)
			})
		}
	}
	for n := range 6 {
		send(other.name, fmt.Sprintf("first-%d", n))
	}
	send(first.name, "first-1")
	send(first.name, "first-2")
	time.Sleep(3 * time.Second)
	if e.trouble {
		for _, w := range released {
			if err := w.replaceInPlace(serving, away); err != nil {
				return nil, err
			}
			time.Sleep(pause)
		}
	}
	time.Sleep(settled)
	if err := e.putOperator("config", config(2, other, first, added)); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	t.reset()
	send(added.name, "later")
	time.Sleep(measured)
	stop()
	group.Wait()
	return t.judge(e, added.name), nil
}

// tally counts requests by path and status.
type tally struct {
	mu     sync.Mutex
	counts map[string]map[int]int
}

func (t *tally) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts = nil
}

// send sends requests at intervals, on a kept connection, until the context ends.
func (t *tally) send(ctx context.Context, p *entry, q call, id string, interval time.Duration) {
	var c *client
	for n, at := 0, time.Now(); ctx.Err() == nil; n++ {
		at = at.Add(interval)
		time.Sleep(time.Until(at))
		if c == nil {
			var err error
			if c, err = dial(ctx, p.front); err != nil {
				c = nil
				continue
			}
		}
		q.id = fmt.Sprintf("%s-%d", id, n)
		a := c.exchange(q, q.budget, nil)
		if !a.whole {
			c.close()
			c = nil
		}
		t.mu.Lock()
		if t.counts == nil {
			t.counts = map[string]map[int]int{}
		}
		if t.counts[q.path] == nil {
			t.counts[q.path] = map[int]int{}
		}
		t.counts[q.path][a.status]++
		t.mu.Unlock()
	}
	if c != nil {
		c.close()
	}
}

// judge compares how often the requests of the added route and those of the others are served.
func (t *tally) judge(e *env, added string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all, served, laterAll, laterServed int
	for path, counts := range t.counts {
		e.record("clients: %s by status: %v", path, counts)
		for status, n := range counts {
			ok := 0
			if status == http.StatusOK {
				ok = n
			}
			if path == "/"+added+"/a" {
				laterAll, laterServed = laterAll+n, laterServed+ok
			} else {
				all, served = all+n, served+ok
			}
		}
	}
	if all == 0 || laterAll < 20 || 4*laterServed*all >= served*laterAll {
		return nil
	}
	return []string{fmt.Sprintf("CONFIG: of %d requests on the route that was added later %d were served, of %d on the first routes %d", laterAll, laterServed, all, served)}
}
