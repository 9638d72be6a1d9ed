package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	draftDeadline = 8 * time.Second
	streamGap     = 2 * time.Second // after which clients abandon a stream
)

// prompt is what a client asks.
type prompt struct {
	parts  []string // the last is its own
	tokens int
}

func (p prompt) header() string {
	var entries []string
	for _, part := range p.parts {
		entries = append(entries, fmt.Sprintf("%s:%d", part, max(p.tokens/len(p.parts), 1)))
	}
	return strings.Join(entries, ",")
}

// attempt is what a client saw of one attempt.
type attempt struct {
	id         string
	kind       string
	instance   *instance
	number     int // 1 for the first attempt
	sent, end  time.Time
	firstEvent time.Time
	status     int
	events     int
	complete   bool
	abandoned  bool
	err        error
	retryAfter time.Duration
}

// clients send requests and keep what they saw.
type clients struct {
	world *world

	mu       sync.Mutex
	attempts []attempt
	group    sync.WaitGroup
}

func randomPart() string { return fmt.Sprintf("%08x", rand.Uint32()) }

// stream sends one streaming request on a new connection and reads it to its end.
func (c *clients) stream(i *instance, kind string, number int, p prompt) attempt {
	a := attempt{id: fmt.Sprintf("%016x", rand.Uint64()), kind: kind, instance: i, number: number, sent: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gap := time.AfterFunc(draftDeadline+time.Second, cancel)
	defer gap.Stop()
	c.read(ctx, i, &a, p, gap)
	a.end = time.Now()
	a.abandoned = ctx.Err() != nil
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	c.world.log("client %s attempt %d id %s at %s: status %d, %d events, complete %v, first event after %d ms, end after %d ms, abandoned %v, error %v",
		a.kind, a.number, a.id, i.name, a.status, a.events, a.complete, a.firstAfter().Milliseconds(), a.end.Sub(a.sent).Milliseconds(), a.abandoned, a.err)
	return a
}

func (a *attempt) firstAfter() time.Duration {
	if a.firstEvent.IsZero() {
		return -time.Millisecond
	}
	return a.firstEvent.Sub(a.sent)
}

func (c *clients) read(ctx context.Context, i *instance, a *attempt, p prompt, gap *time.Timer) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.front+"/lohu930/2f", strings.NewReader("{}"))
	if err != nil {
		a.err = err
		return
	}
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(draftDeadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("X-Model", model)
	req.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", p.tokens, 6*defaultCount))
	req.Header.Set("X-Prefix-Hash", p.header())
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if seconds, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil {
		a.retryAfter = seconds
	}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id: ") && err == nil {
			a.events++
			gap.Reset(streamGap)
			if a.events == 1 {
				a.firstEvent = time.Now()
			}
		}
		if errors.Is(err, io.EOF) {
			a.complete = a.status == http.StatusOK
			return
		}
		if err != nil {
			a.err = err
			return
		}
	}
}

// ask sends a request and repeats it once if it fails, as the platform's clients do.
func (c *clients) ask(kind string, p prompt) {
	c.group.Go(func() {
		began := time.Now()
		for number := 1; number <= 2; number++ {
			a := c.stream(c.world.pick(), kind, number, p)
			left := draftDeadline - time.Since(began)
			if a.complete && a.status == http.StatusOK || left < 500*time.Millisecond {
				return
			}
			time.Sleep(min(a.retryAfter, left/3))
		}
	})
}

// pick returns an instance that takes connections.
func (w *world) pick() *instance { return w.instances[rand.IntN(len(w.instances))] }

// every calls a function at a rate until the time is over.
func every(interval, d time.Duration, call func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
		call()
	}
}
