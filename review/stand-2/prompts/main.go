// Command prompts plays a part of prompts that crashes each worker that begins to write an
// answer on it, and judges the rule on such requests.
//
//	prompts PROGRAM FOLDER [VARIANT]
//
// In the variant "head", the worker has sent the head of its answer by then, otherwise
// nothing. In the variant "quiet", it has, and there are few sound requests. In the variant
// "long", it has, and prompts have the parts of a long conversation, of which the bad one is
// among the last.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	stand2 "github.com/chicorystall/chicorystall/review/stand-2"
)

const (
	badPart = "bad0c0de"
	// maxAfter is how many requests with the part may reach workers later than Contact after
	// the fifth crash.
	maxAfter    = 3
	fatalCrash  = 5
	poisonEvery = 700 * time.Millisecond
	longTurns   = 34
	topics      = 8
)

// shared are parts that sound requests and those with the bad part have in common.
var shared = []string{"5c1e07a2", "91bd3f06", "0b7d22e4", "77a1c93f"}

// judge counts crashes and the requests with the bad part that reach workers.
type judge struct {
	mu       sync.Mutex
	record   *stand2.Record
	crashes  []time.Time
	arrivals []time.Time
	sound    int // sound requests that reached workers
}

func isBad(r *http.Request) bool { return strings.Contains(r.Header.Get("X-Prefix-Hash"), badPart) }

func (j *judge) onRequest(worker string, r *http.Request, ran bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !isBad(r) {
		j.sound++
		return
	}
	j.arrivals = append(j.arrivals, time.Now())
	j.record.Add("worker %s: request %s with the bad part arrives, runs: %v", worker, r.Header.Get("X-Request-Id"), ran)
}

func (j *judge) onCrash(worker string, r *http.Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashes = append(j.crashes, time.Now())
	j.record.Add("worker %s crashes, number %d, request %s", worker, len(j.crashes), r.Header.Get("X-Request-Id"))
}

// verdict reports whether the rule is broken.
func (j *judge) verdict() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record.Add("%d crashes, %d requests with the bad part and %d sound ones reached workers", len(j.crashes), len(j.arrivals), j.sound)
	if len(j.crashes) < fatalCrash {
		return false
	}
	after := 0
	for _, at := range j.arrivals {
		if at.After(j.crashes[fatalCrash-1].Add(stand2.Contact)) {
			after++
		}
	}
	j.record.Add("%d requests with the bad part reached workers later than %v after crash %d, at most %d may", after, stand2.Contact, fatalCrash, maxAfter)
	fmt.Printf("%d crashes, %d requests with the bad part later than %v after crash %d\n", len(j.crashes), after, stand2.Contact, fatalCrash)
	return after > maxAfter
}

func main() {
	c, err := stand2.FromEnvironment(110 * time.Second)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(stand2.CannotRun)
	}
	variant := ""
	if len(os.Args) > 3 {
		variant = os.Args[3]
	}
	os.Exit(c.Run([]string{"muscat-qurum"}, func(ctx context.Context, d *stand2.Deployment) (bool, error) {
		return play(ctx, d, c, variant)
	}))
}

func play(ctx context.Context, d *stand2.Deployment, c stand2.Case, variant string) (bool, error) {
	j := &judge{record: d.Record}
	pool := &stand2.Pool{
		Record: d.Record, SendHead: variant != "", Back: 3 * time.Second, OnRequest: j.onRequest, OnCrash: j.onCrash,
		Crashes: func(r *http.Request) bool { return c.Trouble && isBad(r) },
	}
	if err := d.StartPool(pool, 11, "muscat-qurum"); err != nil {
		return false, err
	}
	defer pool.Close()
	if err := d.PutConfig(stand2.Config(7)); err != nil {
		return false, err
	}
	if err := d.StartEntries(c.Program, 2); err != nil {
		return false, err
	}
	ready, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := d.AwaitReady(ready); err != nil {
		return false, err
	}
	for pool.OpenHeads() < 3 {
		select {
		case <-ready.Done():
			return false, errors.New("no groups are open")
		case <-time.After(100 * time.Millisecond):
		}
	}
	soundEvery := 100 * time.Millisecond
	if variant == "quiet" {
		soundEvery = 8 * time.Second
	}
	load, stop := context.WithTimeout(ctx, 50*time.Second)
	defer stop()
	var clients sync.WaitGroup
	clients.Go(func() {
		repeat(load, d, &clients, soundEvery, "sound", func() []string {
			if variant == "long" {
				return conversation(longTurns + 1)
			}
			return draw(2)
		})
	})
	time.Sleep(5 * time.Second)
	d.Record.Add("requests with the part %s begin", badPart)
	clients.Go(func() {
		repeat(load, d, &clients, poisonEvery, "bad", func() []string {
			parts := append(draw(1), badPart)
			if variant == "long" {
				return append(conversation(longTurns), badPart)
			}
			rand.Shuffle(len(parts), func(a, b int) { parts[a], parts[b] = parts[b], parts[a] })
			return parts
		})
	})
	clients.Wait()
	return j.verdict(), nil
}

// conversation returns the parts of a conversation of n turns.
func conversation(n int) []string {
	parts := draw(1)
	topic := rand.IntN(topics)
	for turn := 1; turn < n; turn++ {
		parts = append(parts, fmt.Sprintf("%04x%04x", 0xa000+topic, turn))
	}
	return parts
}

func draw(n int) []string {
	parts := slices.Clone(shared)
	rand.Shuffle(len(parts), func(a, b int) { parts[a], parts[b] = parts[b], parts[a] })
	return parts[:n]
}

// repeat sends requests at regular intervals, each with parts of the prompt and a last part
// of its own.
func repeat(ctx context.Context, d *stand2.Deployment, clients *sync.WaitGroup, every time.Duration, name string, parts func() []string) {
	var client stand2.Client
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var prompt strings.Builder
		for _, p := range parts() {
			prompt.WriteString(p + ":40,")
		}
		fmt.Fprintf(&prompt, "%08x:634", rand.Uint32())
		request := stand2.Stream(fmt.Sprintf("%s-%d", name, n), prompt.String())
		e := d.Entries()[rand.IntN(len(d.Entries()))]
		clients.Go(func() {
			d.Record.Add("client: %s at %s, prompt %s", request.ID, e.Name, prompt.String())
			a := client.Send(context.WithoutCancel(ctx), e, request)
			d.Record.Add("client: %s ends: %v, %d bytes", request.ID, a, len(a.Body))
		})
	}
}
