package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake/metastore"
)

const (
	deskService  = "puxa403"
	homeZone     = "zone-b" // that is evacuated
	copyAge      = 5 * time.Second
	drillTime    = 1100 * time.Millisecond
	evacuateTime = 5 * time.Second // evacuate-ms
	turnedAway   = 5 * time.Second // how long the store turns one instance away
	lookupRate   = 200             // requests per second at each instance
)

// desk is the workers of a plain service.
type desk struct {
	world *world

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that reached a worker.
type arrival struct {
	at           time.Time
	id, zone     string
	otherRequest bool // the worker answered 421
}

// add starts a worker in a zone.
func (d *desk) add(id, zone string) error {
	l, err := net.Listen("tcp4", d.world.network+".200:0")
	if err != nil {
		return err
	}
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Instance-Id", id)
		request := r.Header.Get("X-Request-Id")
		if request == "" { // a probe
			return
		}
		rw.Header().Set("X-Request-Id", request)
		_, _ = io.Copy(io.Discard, r.Body)
		expected := r.Header.Get("X-Expect-Instance")
		a := arrival{at: time.Now(), id: request, zone: zone, otherRequest: expected != "" && expected != id}
		d.mu.Lock()
		d.arrivals = append(d.arrivals, a)
		d.mu.Unlock()
		d.world.log("worker %s in %s gets request %s, for another worker %v", id, zone, request, a.otherRequest)
		if a.otherRequest {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		rw.Header().Set("X-Response-Stamp", "signed."+id)
		_, _ = io.WriteString(rw, strings.Repeat("b", 800))
	})
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }() // ends with the process
	go func() {
		born := time.Now().UnixMilli()
		for seq := 1; ; seq++ {
			data, err := json.Marshal(map[string]any{
				"service": deskService, "address": l.Addr().String(), "zone": zone, "version": "1", "batch-slots": 200, "state": "ready",
				"cold-ms": 0, "seq": seq, "born": born,
			})
			if err != nil {
				panic(err) // can't happen, since the entry holds plain values only
			}
			d.world.store.Put("keyed.servers", id, data)
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// lookUp sends a request to an instance and returns its ID and the status, 0 for none.
func (w *world) lookUp(client *http.Client, i *instance) (id string, status int) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	req, err := http.NewRequest(http.MethodGet, "http://"+i.front+"/puxa403/2f", nil)
	if err != nil {
		return id, 0
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "1500")
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := client.Do(req)
	if err != nil {
		return id, 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return id, resp.StatusCode
}

// playEvacuated evacuates a zone just after the store has come back from a copy, which one
// instance of the zone can't read yet, as the store turns it away for some seconds.
func playEvacuated(w *world, trouble bool) (bool, error) {
	cfg := config()
	cfg["services"] = append(cfg["services"].([]any), map[string]any{"name": deskService, "health-path": "/health", "max-conns": 110})
	cfg["routes"] = append(cfg["routes"].([]any), map[string]any{
		"name": "lookup", "host": host, "path-prefix": "/puxa403/", "kind": "safe", "service": deskService, "timeout-ms": 1500, "slo-ms": 300, "priority": 1, "max-attempts": 2,
	})
	if err := w.put("config", cfg); err != nil {
		return false, err
	}
	d := &desk{world: w}
	for n, z := range []string{zone, zone, homeZone, homeZone} {
		if err := d.add(fmt.Sprintf("i-%08x", 0x11a0+n), z); err != nil {
			return false, err
		}
	}
	if err := w.addInstances(homeZone, zone, zone); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	victim := w.instances[0]
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	sentTo, statuses := map[string]*instance{}, map[int]int{}
	done := make(chan struct{})
	var group sync.WaitGroup
	for _, i := range w.instances {
		group.Go(func() {
			client := &http.Client{Timeout: 2 * time.Second}
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Second / lookupRate):
				}
				id, status := w.lookUp(client, i)
				w.log("client sent request %s to %s: status %d", id, i.name, status)
				mu.Lock()
				sentTo[id] = i
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	old := w.store.Copy()
	time.Sleep(copyAge)
	start := time.Now()
	var turnedAwayUntil time.Time
	if trouble {
		w.log("the store is away, and turns %s away when it is back", victim.name)
		victim.refused.Store(true)
		w.store.SetFault(metastore.Down)
		time.Sleep(drillTime)
		w.store.Restore(old)
		w.store.SetFault(metastore.None)
		w.log("the store is back, from a copy")
	} else {
		time.Sleep(drillTime)
	}
	time.Sleep(300 * time.Millisecond)
	if err := w.put("evacuate/"+homeZone, map[string]any{}); err != nil {
		return false, err
	}
	evacuated := time.Now()
	w.log("%s is evacuated", homeZone)
	time.Sleep(time.Until(start.Add(turnedAway)))
	if trouble {
		victim.refused.Store(false)
		turnedAwayUntil = time.Now()
		w.log("the store serves %s again", victim.name)
	}
	time.Sleep(time.Until(evacuated.Add(evacuateTime + 6*time.Second)))
	w.store.Put("keyed.op", "evacuate/"+homeZone, nil)
	end := time.Now()
	w.log("%s is taken back", homeZone)
	close(done)
	group.Wait()

	d.mu.Lock()
	defer d.mu.Unlock()
	late, excused := 0, 0
	for _, a := range d.arrivals {
		after := a.at.Sub(evacuated)
		if a.zone != homeZone || a.otherRequest || after <= evacuateTime || !a.at.Before(end) {
			continue
		}
		i := sentTo[a.id]
		inTouch := i != victim || a.at.Sub(turnedAwayUntil) > contact
		w.log("request %s of %s reaches %s %d ms after its evacuation, in touch %v", a.id, i.name, a.zone, after.Milliseconds(), inTouch)
		if inTouch {
			late++
		} else {
			excused++
		}
	}
	w.say("answers by status: %v", statuses)
	w.say("%d requests reached %s later than %v after its evacuation from machines in touch, %d from the one out of touch", late, homeZone, evacuateTime, excused)
	return late > 0, nil
}
