package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["slow-reader-safe"] = slowReaderSafe
	cases["slow-reader-stream"] = slowReaderStream
	cases["slow-reader-unsafe"] = slowReaderUnsafe
}

// plannedStop runs the requests of clients around a SIGTERM of the entry instance, each on a
// connection that was used before, and returns those whose connection ended without a
// complete answer although a worker ran them.
func plannedStop(ctx context.Context, e *env, f *fleet, p *entry, clients int, warm, q call, newPause func() func(read int)) ([]string, error) {
	var connections []*client
	for n := range clients {
		c, err := dial(ctx, p.front)
		if err != nil {
			return nil, err
		}
		defer c.close()
		warm.id = fmt.Sprintf("warm-%d", n)
		if a := c.exchange(warm, 5*time.Second, nil); a.status != http.StatusOK || !a.whole {
			return nil, fmt.Errorf("%s: %v", warm.id, a)
		}
		connections = append(connections, c)
	}
	// Nothing disturbs the deployment for contact-ms before the requests.
	time.Sleep(3500 * time.Millisecond)
	for n, c := range connections { // keeps the connections from closing after SIGTERM
		warm.id = fmt.Sprintf("again-%d", n)
		if a := c.exchange(warm, 5*time.Second, nil); a.status != http.StatusOK || !a.whole {
			return nil, fmt.Errorf("%s: %v", warm.id, a)
		}
	}
	if err := p.signal(syscall.SIGTERM); err != nil {
		return nil, err
	}
	e.record("SIGTERM to the entry instance")
	time.Sleep(200 * time.Millisecond)
	var mu sync.Mutex
	var broken []string
	var group sync.WaitGroup
	for n, c := range connections {
		group.Go(func() {
			q := q
			q.id = fmt.Sprintf("long-%d", n)
			a := c.exchange(q, q.budget, newPause())
			ran := f.timesRun(q.id)
			e.record("client: %s: %v; began to run %d times", q.id, a, ran)
			if !a.whole && ran > 0 && a.took < q.budget*9/10 {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("LOST: %s was cut after %d ms of %d: %v", q.id, a.took.Milliseconds(), q.budget.Milliseconds(), a))
			}
		})
	}
	group.Wait()
	return broken, nil
}

// pauses returns a function that makes a client pause after it has read these numbers of bytes,
// unless the case runs without its disruption.
func (e *env) pauses(d time.Duration, after ...int) func() func(int) {
	return func() func(int) {
		left := after
		return func(read int) {
			if e.trouble && len(left) > 0 && read >= left[0] {
				left = left[1:]
				time.Sleep(d)
			}
		}
	}
}

// slowReaderSafe has clients read a long answer of a safe route over about a second.
func slowReaderSafe(ctx context.Context, e *env) ([]string, error) {
	r := route{name: "status", kind: "safe", service: plainService, timeout: 1500 * time.Millisecond, objective: 100 * time.Millisecond, maxAttempts: 2}
	f, p, warm, err := startDesk(ctx, e, r, 2<<20, call{method: http.MethodGet, budget: 1500 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	long := warm
	long.path = "/status/long"
	newPause := func() func(int) {
		if !e.trouble {
			return nil
		}
		return func(int) { time.Sleep(4 * time.Millisecond) } // before each 8 KiB at most
	}
	return plannedStop(ctx, e, f, p, 8, warm, long, newPause)
}

// slowReaderUnsafe has clients of an unsafe route pause once while they read a long answer.
func slowReaderUnsafe(ctx context.Context, e *env) ([]string, error) {
	r := route{name: "order", kind: "unsafe", service: plainService, timeout: 8 * time.Second, objective: 400 * time.Millisecond, maxAttempts: 1}
	f, p, warm, err := startDesk(ctx, e, r, 200<<10, call{method: http.MethodPost, budget: 8 * time.Second, body: "print"})
	if err != nil {
		return nil, err
	}
	long := warm
	long.path = "/order/long"
	return plannedStop(ctx, e, f, p, 6, warm, long, e.pauses(3500*time.Millisecond, 64<<10))
}

// startDesk starts plain workers, which answer requests for /long with so many bytes, and an entry
// instance, and waits until a request for /short like q is served.
func startDesk(ctx context.Context, e *env, r route, longBytes int, q call) (*fleet, *entry, call, error) {
	f := newFleet(e, func(_ *worker, rw http.ResponseWriter, r *http.Request) {
		size := 800
		if strings.HasSuffix(r.URL.Path, "/long") {
			size = longBytes
		}
		rw.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = rw.Write(make([]byte, size)) // fails if the entry instance has left
	})
	for n := range 3 {
		if _, err := f.add(fmt.Sprintf("i-desk%d", n), plainService, ""); err != nil {
			return nil, nil, q, err
		}
	}
	go f.heartbeat(heartbeat)
	if err := e.putOperator("config", config(1, r)); err != nil {
		return nil, nil, q, err
	}
	p, err := e.startEntry(ctx, 1)
	if err != nil {
		return nil, nil, q, err
	}
	q.path, q.id = "/"+r.name+"/short", "first"
	return f, p, q, waitServed(ctx, e, p.front, q)
}

// streamAnswer returns a worker's answer to requests of a streaming route: events of a size, with a
// time between them. A request that ends in /short gets 3 small events.
func streamAnswer(events, bytes int, gap time.Duration) func(*worker, http.ResponseWriter, *http.Request) {
	return func(w *worker, rw http.ResponseWriter, r *http.Request) {
		count, size := events, bytes
		if strings.HasSuffix(r.URL.Path, "/short") {
			count, size = 3, 65
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.WriteHeader(http.StatusOK)
		control := http.NewResponseController(rw)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 for a new stream
		for n := last + 1; n <= count; n++ {
			select {
			case <-r.Context().Done():
				w.fleet.env.record("worker %s: %s was broken off after event %d", w.id, r.Header.Get("X-Request-Id"), n-1)
				return
			case <-time.After(gap):
			}
			fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", size))
			if err := control.Flush(); err != nil {
				w.fleet.env.record("worker %s: %s was broken off at event %d: %v", w.id, r.Header.Get("X-Request-Id"), n, err)
				return
			}
		}
		w.fleet.env.record("worker %s: %s is complete", w.id, r.Header.Get("X-Request-Id"))
	}
}

// startModel starts model workers and an entry instance with a streaming route, and waits until
// that is served.
func startModel(ctx context.Context, e *env, f *fleet, workers int, r route, warm call) (*entry, error) {
	for n := range workers {
		if _, err := f.add(fmt.Sprintf("i-model%d", n), modelService, "domain-0"); err != nil {
			return nil, err
		}
	}
	go f.heartbeat(heartbeat)
	if err := e.putOperator("config", config(1, r)); err != nil {
		return nil, err
	}
	p, err := e.startEntry(ctx, 1)
	if err != nil {
		return nil, err
	}
	return p, waitServed(ctx, e, p.front, warm)
}

// slowReaderStream has clients of a resumable stream pause twice, each time for less than the two
// seconds after which they would leave a silent stream themselves.
func slowReaderStream(ctx context.Context, e *env) ([]string, error) {
	return pausedStream(ctx, e, 1800*time.Millisecond, 64<<10, 1200<<10)
}

// pausedStream has clients pause after they have read these numbers of bytes of a stream.
func pausedStream(ctx context.Context, e *env, pauseTime time.Duration, pauseAt ...int) ([]string, error) {
	const events, eventBytes, eventGap = 80, 32 << 10, 20 * time.Millisecond
	f := newFleet(e, streamAnswer(events, eventBytes, eventGap))
	r := route{
		name: "draft", kind: "streaming", service: modelService, timeout: 8 * time.Second, objective: 400 * time.Millisecond,
		maxAttempts: 2, resumable: true,
	}
	warm := call{method: http.MethodPost, path: "/draft/short", id: "first", budget: 8 * time.Second, model: modelName, prompt: 1420, body: "prompt"}
	p, err := startModel(ctx, e, f, 2*modelSize+1, r, warm)
	if err != nil {
		return nil, err
	}
	long := warm
	long.path = "/draft/long"
	return plannedStop(ctx, e, f, p, 4, warm, long, e.pauses(pauseTime, pauseAt...))
}
