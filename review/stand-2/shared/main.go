// Command shared plays a part of prompts that crashes each worker that begins to write an
// answer on it, before a part that all requests of one small account have, and judges
// whether sound requests of that account still begin.
//
//	shared PROGRAM FOLDER
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	stand2 "github.com/chicorystall/chicorystall/review/stand-2"
)

const (
	badPart   = "bad0c0de"
	housePart = "0b7d22e4" // of all requests of the small account
	smallKey  = "anfqasnmgkcuyj8pjbvk"

	largeEvery  = 30 * time.Millisecond
	smallEvery  = 1500 * time.Millisecond
	badEvery    = 3 * time.Second
	calmTime    = 36 * time.Second
	troubleTime = 52 * time.Second
	fatalCrash  = 5
	leastCount  = 20
)

var themes = []string{"5c1e07a2", "91bd3f06", "77a1c93f", "c0ffee11"}

// judge knows which sound requests of the small account were sent and began.
type judge struct {
	mu      sync.Mutex
	record  *stand2.Record
	sent    map[string]time.Time
	began   map[string]bool
	crashes []time.Time
	troubleFrom,
	end time.Time
}

func isBad(r *http.Request) bool { return strings.Contains(r.Header.Get("X-Prefix-Hash"), badPart) }

func (j *judge) onRequest(worker string, r *http.Request, ran bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	if isBad(r) {
		j.record.Add("worker %s: request %s with the bad part arrives, runs: %v", worker, id, ran)
	}
	if ran && strings.HasPrefix(id, "small-") {
		j.began[id] = true
	}
}

func (j *judge) onCrash(worker string, r *http.Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashes = append(j.crashes, time.Now())
	j.record.Add("worker %s crashes, number %d, request %s", worker, len(j.crashes), r.Header.Get("X-Request-Id"))
}

// verdict compares the sound requests that began before the trouble with those from 2 x
// contact-ms after the fifth crash, or the last one, until the requests with the part end.
func (j *judge) verdict() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	from := j.troubleFrom
	if n := len(j.crashes); n > 0 {
		from = j.crashes[min(n, fatalCrash)-1].Add(2 * stand2.Contact)
	}
	var calm, calmBegan, later, laterBegan int
	for id, at := range j.sent {
		switch {
		case at.Before(j.troubleFrom):
			calm++
			if j.began[id] {
				calmBegan++
			}
		case at.After(from) && at.Before(j.end):
			later++
			if j.began[id] {
				laterBegan++
			}
		}
	}
	text := fmt.Sprintf("%d crashes; sound requests of the small account that began: %d of %d before, %d of %d later", len(j.crashes), calmBegan, calm, laterBegan, later)
	j.record.Add("%s", text)
	fmt.Println(text)
	if calm < leastCount || later < leastCount {
		return false
	}
	return 2*laterBegan*calm < calmBegan*later
}

func main() {
	c, err := stand2.FromEnvironment(118 * time.Second)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(stand2.CannotRun)
	}
	os.Exit(c.Run([]string{"muscat-qurum"}, func(ctx context.Context, d *stand2.Deployment) (bool, error) { return play(ctx, d, c) }))
}

func play(ctx context.Context, d *stand2.Deployment, c stand2.Case) (bool, error) {
	j := &judge{record: d.Record, sent: map[string]time.Time{}, began: map[string]bool{}}
	pool := &stand2.Pool{
		Record: d.Record, SendHead: true, Back: 3 * time.Second, OnRequest: j.onRequest, OnCrash: j.onCrash,
		Crashes: func(r *http.Request) bool { return c.Trouble && isBad(r) },
	}
	if err := d.StartPool(pool, 22, "muscat-qurum"); err != nil {
		return false, err
	}
	defer pool.Close()
	config := stand2.Config(7)
	config["tenants"] = append(config["tenants"].([]any), map[string]any{"name": "small114", "api-keys": []string{smallKey}})
	if err := d.PutConfig(config); err != nil {
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
	for pool.OpenHeads() < 6 {
		select {
		case <-ready.Done():
			return false, errors.New("no groups are open")
		case <-time.After(100 * time.Millisecond):
		}
	}
	time.Sleep(time.Second)
	j.mu.Lock()
	j.troubleFrom = time.Now().Add(calmTime)
	j.end = j.troubleFrom.Add(troubleTime)
	j.mu.Unlock()
	load, stop := context.WithDeadline(ctx, j.end)
	defer stop()
	var clients sync.WaitGroup
	send := func(id, key string, parts ...string) {
		prompt := fmt.Sprintf("%s:40,%08x:634", strings.Join(parts, ":40,"), rand.Uint32())
		request := stand2.Stream(id, prompt)
		request.Key = key
		e := d.Entries()[rand.IntN(len(d.Entries()))]
		clients.Go(func() {
			var client stand2.Client
			a := client.Send(context.WithoutCancel(ctx), e, request)
			if !strings.HasPrefix(id, "large-") {
				d.Record.Add("client: %s at %s, prompt %s, ends: %v, %q", id, e.Name, prompt, a, a.Body[:min(len(a.Body), 50)])
			}
		})
	}
	clients.Go(func() {
		repeat(load, largeEvery, func(n int) { send(fmt.Sprintf("large-%d", n), "", themes[rand.IntN(len(themes))]) })
	})
	clients.Go(func() {
		repeat(load, smallEvery, func(n int) {
			id := fmt.Sprintf("small-%d", n)
			j.mu.Lock()
			j.sent[id] = time.Now()
			j.mu.Unlock()
			send(id, smallKey, themes[rand.IntN(len(themes))], housePart)
		})
	})
	time.Sleep(time.Until(j.troubleFrom))
	d.Record.Add("requests with the part %s begin", badPart)
	time.Sleep(smallEvery * 2 / 5) // between two requests of the small account
	clients.Go(func() {
		repeat(load, badEvery, func(n int) {
			send(fmt.Sprintf("bad-%da", n), smallKey, badPart, housePart)
			send(fmt.Sprintf("bad-%db", n), smallKey, badPart, housePart, themes[rand.IntN(len(themes))])
		})
	})
	clients.Wait()
	return j.verdict(), nil
}

func repeat(ctx context.Context, every time.Duration, do func(n int)) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		do(n)
	}
}
