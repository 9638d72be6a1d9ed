// Command silence stops an entry instance by SIGTERM while a sound worker is silent for a
// second, and judges whether streams end whole.
//
//	silence PROGRAM FOLDER
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
	"syscall"
	"time"

	stand2 "github.com/chicorystall/chicorystall/review/stand-2"
)

const (
	events      = 120
	streams     = 16
	streamEvery = 60 * time.Millisecond
	silence     = time.Second
	settleTime  = 6 * time.Second
	afterTerm   = 300 * time.Millisecond
)

func main() {
	c, err := stand2.FromEnvironment(70 * time.Second)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(stand2.CannotRun)
	}
	os.Exit(c.Run([]string{"muscat-qurum"}, func(ctx context.Context, d *stand2.Deployment) (bool, error) { return play(ctx, d, c) }))
}

func play(ctx context.Context, d *stand2.Deployment, c stand2.Case) (bool, error) {
	var mu sync.Mutex
	cut := map[string]bool{} // streams that the head broke off because it was ordered to
	pool := &stand2.Pool{Record: d.Record, Events: events, OnCut: func(worker string, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("X-Request-Id")
		cut[id] = true
		d.Record.Add("worker %s: %s is cancelled by an order", worker, id)
	}}
	if err := d.StartPool(pool, 4, "muscat-qurum"); err != nil {
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
	for pool.OpenHeads() < 1 {
		select {
		case <-ready.Done():
			return false, errors.New("no group is open")
		case <-time.After(50 * time.Millisecond):
		}
	}
	time.Sleep(settleTime)
	_, member, _ := pool.Roles()
	var stopped *stand2.Entry
	for _, e := range d.Entries() {
		if !e.ActsAsKeeper() {
			stopped = e
		}
	}
	if stopped == nil || member == "" {
		return false, errors.New("all entry instances are keepers, or no group is open")
	}
	var clients sync.WaitGroup
	whole, lost := 0, 0
	for n := range streams {
		clients.Go(func() {
			var client stand2.Client
			id := fmt.Sprintf("stream-%d", n)
			a := client.Send(context.WithoutCancel(ctx), stopped, stand2.Stream(id, fmt.Sprintf("5c1e07a2:40,%08x:674", rand.Uint32())))
			d.Record.Add("client: %s ends: %v, %d of %d events", id, a, strings.Count(string(a.Body), "\n\n"), events)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.Err == nil && a.Status == http.StatusOK:
				whole++
			case a.Err != nil:
				lost++
			}
		})
		time.Sleep(streamEvery)
	}
	stopped.Signal(syscall.SIGTERM)
	d.Record.Add("platform: %s gets SIGTERM", stopped.Name)
	time.Sleep(afterTerm)
	if c.Trouble {
		pool.Silence(member, silence)
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	text := fmt.Sprintf("%d streams whole, %d ended without a complete answer, %d cancelled by an order to close their group", whole, lost, len(cut))
	d.Record.Add("%s", text)
	fmt.Println(text)
	return lost > 0, nil
}
