package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["timeout-answer"] = timeoutAnswer }

// prefill is the queue of prompts that a model worker reads, one after the other.
type prefill struct {
	mu        sync.Mutex
	busyUntil time.Time
}

// Times of a model worker, as in the users' site files.
const (
	tokensPerMilli = 56.1
	firstStep      = 93 * time.Millisecond
	passTime       = 55 * time.Millisecond
)

// firstEvent returns how long a prompt takes from now on until its first event.
func (p *prefill) firstEvent(tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.busyUntil = p.busyUntil.Add(time.Duration(float64(tokens) / tokensPerMilli * float64(time.Millisecond)))
	return p.busyUntil.Sub(now) + firstStep
}

// timeoutAnswer lowers the timeout of a streaming route. Then many long prompts come at once, on
// connections that were used before, and for most of them the timeout passes while a sound worker
// has sent the head of the answer and not yet an event.
func timeoutAnswer(ctx context.Context, e *env) ([]string, error) {
	const (
		usualTimeout, lowTimeout = 8 * time.Second, 500 * time.Millisecond
		clients                  = 24 // within the 26 slots of a group
		longPrompt               = 4030
	)
	var queue prefill
	f := newFleet(e, func(w *worker, rw http.ResponseWriter, r *http.Request) {
		prompt, _, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
		tokens, err := strconv.Atoi(prompt)
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.WriteHeader(http.StatusOK)
		control := http.NewResponseController(rw)
		if control.Flush() != nil {
			return
		}
		gap := queue.firstEvent(tokens)
		for n := 1; n <= 4; n++ {
			select {
			case <-r.Context().Done():
				w.fleet.env.record("worker %s: %s was broken off after event %d", w.id, r.Header.Get("X-Request-Id"), n-1)
				return
			case <-time.After(gap):
			}
			fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 65))
			if control.Flush() != nil {
				return
			}
			gap = passTime
		}
	})
	r := route{name: "draft", kind: "streaming", service: modelService, timeout: usualTimeout, objective: 400 * time.Millisecond, maxAttempts: 2}
	q := call{method: http.MethodPost, path: "/draft/short", id: "first", budget: 8 * time.Second, model: modelName, prompt: 100, body: "prompt"}
	p, err := startModel(ctx, e, f, modelSize+1, r, q)
	if err != nil {
		return nil, err
	}
	time.Sleep(3500 * time.Millisecond)
	timeout := usualTimeout
	if e.trouble {
		timeout = lowTimeout
		r.timeout = timeout
		if err := e.putOperator("config", config(2, r)); err != nil {
			return nil, err
		}
	}
	time.Sleep(2500 * time.Millisecond) // longer than config-ms
	var connections []*client
	for n := range clients {
		c, err := dial(ctx, p.front)
		if err != nil {
			return nil, err
		}
		defer c.close()
		connections = append(connections, c)
		q.id = fmt.Sprintf("kept-%d", n)
		if a := c.exchange(q, q.budget, nil); a.status != http.StatusOK || !a.whole {
			return nil, fmt.Errorf("%s: %v", q.id, a)
		}
	}
	return timedOut(e, f, connections, call{method: q.method, path: q.path, budget: q.budget, model: modelName, prompt: longPrompt, body: q.body}, timeout), nil
}

// timedOut sends a request on each connection at once and returns what breaks the rules.
func timedOut(e *env, f *fleet, connections []*client, q call, timeout time.Duration) []string {
	const lateAfter = 500 * time.Millisecond
	var mu sync.Mutex
	var closed, unanswered []string
	lasting := 0
	var group sync.WaitGroup
	for n, c := range connections {
		group.Go(func() {
			q := q
			q.id = fmt.Sprintf("long-%d", n)
			a := c.exchange(q, q.budget, nil)
			ran := f.timesRun(q.id)
			e.record("client: %s: %v; passed on to a worker %d times", q.id, a, ran)
			mu.Lock()
			defer mu.Unlock()
			if ran > 0 && a.status == 0 && a.took < q.budget {
				closed = append(closed, q.id)
			}
			if a.status != http.StatusOK && a.took >= timeout-lateAfter/10 {
				lasting++
				if a.status == 0 || a.took > timeout+lateAfter {
					unanswered = append(unanswered, q.id)
				}
			}
		})
	}
	group.Wait()
	var broken []string
	if len(closed) > 3 {
		broken = append(broken, fmt.Sprintf("LOST: %d requests from kept connections were passed on to a sound worker, and their connections were closed without an answer: %v", len(closed), closed))
	}
	if len(unanswered) >= 8 && 4*len(unanswered) > lasting {
		broken = append(broken, fmt.Sprintf("CONFIG: %d of %d requests that lasted longer than their route's timeout had no final answer 0.5 s after it", len(unanswered), lasting))
	}
	return broken
}
