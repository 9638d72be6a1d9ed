// Command grants plays a late order of a keeper that was killed, with a store that has been
// restored from copies many times before, and judges the rule on joins.
//
//	grants PROGRAM FOLDER [ERAS]
//
// ERAS is how many times the store was restored before the start; 300 if it is left out.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	stand2 "github.com/chicorystall/chicorystall/review/stand-2"
)

const (
	defaultEras  = 300
	minLate      = 2 * time.Second // an order is late by 2 to 12 s
	maxLate      = 12 * time.Second
	restartAfter = 500 * time.Millisecond
	settleTime   = 6 * time.Second
	streamEvery  = 200 * time.Millisecond
)

func main() {
	c, err := stand2.FromEnvironment(100 * time.Second)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(stand2.CannotRun)
	}
	eras := defaultEras
	if len(os.Args) > 3 {
		if eras, err = strconv.Atoi(os.Args[3]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(stand2.CannotRun)
		}
	}
	os.Exit(c.Run([]string{"muscat-qurum"}, func(ctx context.Context, d *stand2.Deployment) (bool, error) {
		return play(ctx, d, c, eras)
	}))
}

// held is the order that is left without an answer.
type held struct {
	mu      sync.Mutex
	worker  string // whose next join is held back
	arrived chan time.Time
}

func (h *held) take(worker string, o stand2.Order) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.worker != worker || o.Operation != "join" {
		return false
	}
	h.worker = ""
	h.arrived <- time.Now()
	return true
}

func play(ctx context.Context, d *stand2.Deployment, c stand2.Case, eras int) (bool, error) {
	for range eras {
		d.Store.Restore(d.Store.Copy())
	}
	d.Record.Add("the store is in era %d", eras)
	h := &held{arrived: make(chan time.Time, 1)}
	pool := &stand2.Pool{Record: d.Record, HoldBack: h.take}
	if err := d.StartPool(pool, 4, "muscat-qurum"); err != nil {
		return false, err
	}
	defer pool.Close()
	if err := d.PutConfig(stand2.Config(7)); err != nil {
		return false, err
	}
	if err := d.StartEntries(c.Program, 1); err != nil {
		return false, err
	}
	if err := awaitGroup(ctx, d, pool); err != nil {
		return false, err
	}
	load, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stop()
	clients.Go(func() { sendStreams(load, d, &clients) })
	time.Sleep(settleTime)
	e := d.Entries()[0]
	if c.Trouble {
		if err := restart(ctx, d, e, c.Program); err != nil {
			return false, err
		}
		if err := awaitGroup(ctx, d, pool); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	head, member, spare := pool.Roles()
	if head == "" || spare == "" {
		return false, errors.New("there is no open group or no spare worker")
	}
	d.Record.Add("head %s, member %s, spare %s", head, member, spare)
	if c.Trouble {
		h.mu.Lock()
		h.worker = spare
		h.mu.Unlock()
	}
	pool.Crash(spare, 300*time.Millisecond)
	at := time.Now()
	if c.Trouble {
		select {
		case at = <-h.arrived:
		case <-time.After(20 * time.Second):
			return false, errors.New("no order to the spare worker")
		case <-ctx.Done():
			return false, ctx.Err()
		}
		time.Sleep(20 * time.Millisecond)
	} else {
		time.Sleep(3 * time.Second)
	}
	pool.Crash(member, time.Minute)
	if c.Trouble {
		if err := restart(ctx, d, e, c.Program); err != nil {
			return false, err
		}
	}
	for time.Since(at) < maxLate-500*time.Millisecond && !(time.Since(at) > minLate && pool.InOpenGroup(spare)) {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	d.Record.Add("%.1f s after the order, the spare worker is in an open group: %v", time.Since(at).Seconds(), pool.InOpenGroup(spare))
	pool.CarryOut()
	time.Sleep(2 * time.Second)
	for _, v := range pool.Violations() {
		fmt.Println(v)
	}
	return len(pool.Violations()) > 0, nil
}

// restart kills the entry instance and starts it again.
func restart(ctx context.Context, d *stand2.Deployment, e *stand2.Entry, program string) error {
	e.Signal(syscall.SIGKILL)
	d.Record.Add("platform: %s is killed", e.Name)
	select {
	case <-time.After(restartAfter):
	case <-ctx.Done():
		return ctx.Err()
	}
	return d.Start(e, program)
}

// awaitGroup waits until the entry instance is ready and a group is open.
func awaitGroup(ctx context.Context, d *stand2.Deployment, pool *stand2.Pool) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := d.AwaitReady(ctx); err != nil {
		return err
	}
	for pool.OpenHeads() < 1 {
		select {
		case <-ctx.Done():
			return errors.New("no group is open")
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

func sendStreams(ctx context.Context, d *stand2.Deployment, clients *sync.WaitGroup) {
	var client stand2.Client
	ticker := time.NewTicker(streamEvery)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		clients.Go(func() {
			id := fmt.Sprintf("stream-%d", n)
			a := client.Send(ctx, d.Entries()[0], stand2.Stream(id, fmt.Sprintf("5c1e07a2:40,%08x:674", rand.Uint32())))
			d.Record.Add("client: %s ends: %v, %d bytes", id, a, len(a.Body))
		})
	}
}
