package main

import (
	"fmt"
	"slices"
	"time"
)

// config is an operator's configuration with one route to the model workers.
func config() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "brief", "host": host, "path-prefix": "/lohu930/", "kind": "streaming", "service": service, "timeout-ms": 8000, "slo-ms": 400,
			"priority": 1, "max-attempts": 2, "anonymous": false, "resumable": true, "sticky": true, "gap-target-ms": 250,
		}},
		"services": []any{map[string]any{
			"name": service, "health-path": "/health", "max-conns": 474, "cold-start-s": 0, "cold-per-s": 0,
			"engine": map[string]any{
				"batch-slots": batchSlots, "kv-capacity": 2470000, "stride": 4, "step_ms": 6.45, "per_seq_ms": 0.1, "read_per_s": 56100, "chunk": 2048,
				"loads-per-s": 2, "loads_at_once": 4, "form-ms": formTime.Milliseconds(), "report_lag_ms": 0,
				"usual":  map[string]any{"prompt": 1400, "answer": 72},
				"models": []any{map[string]any{"name": model, "size": modelSize, "share": 1.0, "pace": 1.0, "load-s": 12, "warm-s": 1.1}},
			},
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 65536, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{apiKey}}},
	}
}

// begin starts a small deployment: workers of one domain and entry instances.
func (w *world) begin(workers, instances int) error {
	if err := w.put("config", config()); err != nil {
		return err
	}
	for range workers {
		if err := w.fleet.add(); err != nil {
			return err
		}
	}
	if err := w.addInstances(slices.Repeat([]string{zone}, instances)...); err != nil {
		return err
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	if !waitFor(startTimeout, func() bool { return w.fleet.openHeads() >= 2 }) {
		return fmt.Errorf("%d groups are open, want 2", w.fleet.openHeads())
	}
	time.Sleep(2 * time.Second)
	return nil
}

const (
	calmTime    = 14 * time.Second
	contact     = 3 * time.Second
	soundRate   = 40 // requests per second
	minRequests = 20

	// refusedTime is how long the store turns an instance away, twice in a row, from
	// refusedBefore the first request with the deadly part on.
	refusedTime   = 9 * time.Second
	refusedBefore = 2800 * time.Millisecond
)

// prompts makes the prompts of the cases: all begin with the same part.
type prompts struct {
	system, deadly string
	documents      []string
	asked          int
}

func newPrompts() *prompts {
	p := &prompts{system: randomPart(), deadly: randomPart()}
	for range 8 {
		p.documents = append(p.documents, randomPart())
	}
	return p
}

func (p *prompts) sound() prompt {
	p.asked++
	return prompt{parts: []string{p.system, p.documents[p.asked%len(p.documents)], randomPart()}, tokens: 714}
}

func (p *prompts) withDeadly() prompt {
	return prompt{parts: []string{p.system, p.deadly, randomPart()}, tokens: 1460}
}

// playUnframedCrash sends requests with a part that crashes the workers, whose streams have neither
// a length nor chunks.
func playUnframedCrash(w *world, trouble bool) (bool, error) {
	w.fleet.unframe, w.fleet.first = true, 1
	if err := w.begin(8, 2); err != nil {
		return false, err
	}
	return w.playDeadly(trouble, 40*time.Second, 700*time.Millisecond, func(time.Duration) {}), nil
}

// playForgotten is playUnframedCrash with chunked streams, while all entry instances are killed
// twice.
func playForgotten(w *world, trouble bool) (bool, error) {
	if err := w.begin(8, 2); err != nil {
		return false, err
	}
	kills := []time.Duration{12200 * time.Millisecond, 30200 * time.Millisecond}
	var failure error
	isBroken := w.playDeadly(trouble, 52*time.Second, 9*time.Second, func(since time.Duration) {
		if !trouble || len(kills) == 0 || since < kills[0] {
			return
		}
		kills = kills[1:]
		if err := w.killAll(); err != nil {
			failure = err
		}
	})
	return isBroken, failure
}

// playTurnedAway is playUnframedCrash with chunked streams, while the store turns the keeper away
// and serves the other instances.
func playTurnedAway(w *world, trouble bool) (bool, error) {
	if err := w.begin(8, 3); err != nil {
		return false, err
	}
	keeper := w.lastGranted()
	w.excused = keeper
	w.say("%s has written to the store last", keeper.name)
	isBroken := w.playDeadly(trouble, 14500*time.Millisecond, 700*time.Millisecond, func(since time.Duration) {
		if refused := trouble && since >= -refusedBefore && since < 2*refusedTime-refusedBefore; refused != keeper.refused.Load() {
			keeper.refused.Store(refused)
			w.log("the store turns %s away: %v", keeper.name, refused)
		}
	})
	return isBroken, nil
}

// playDeadly sends sound requests all the time, and from calmTime on requests with the deadly
// part beside them. It calls meanwhile with the time since the first of those.
func (w *world) playDeadly(trouble bool, d, interval time.Duration, meanwhile func(time.Duration)) bool {
	c, p := &clients{world: w}, newPrompts()
	calmStart := time.Now()
	deadlyStart := calmStart.Add(calmTime)
	every(time.Second/soundRate, calmTime-4*time.Second, func() { c.ask("sound", p.sound()) })
	calmEnd := time.Now()
	if trouble {
		w.fleet.mu.Lock()
		w.fleet.deadly = p.deadly
		w.fleet.mu.Unlock()
	}
	next := deadlyStart
	every(time.Second/soundRate, 4*time.Second+d, func() {
		meanwhile(time.Since(deadlyStart))
		c.ask("sound", p.sound())
		if time.Now().After(next) {
			next = next.Add(interval)
			c.ask("deadly", p.withDeadly())
		}
	})
	end := time.Now()
	c.group.Wait()
	return w.judgePoisoned(c, calmStart, calmEnd, deadlyStart, end)
}

// isCalm reports whether the entry instances are in touch, as far as their starts go.
func (w *world) isCalm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.restarted) > contact
}

func (w *world) judgePoisoned(c *clients, calmStart, calmEnd, poisonStart, poisonEnd time.Time) bool {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	crashes := w.fleet.crashes
	from := poisonStart
	if n := len(crashes); n > 0 {
		from = crashes[min(n, 5)-1]
	}
	reached := 0
	for _, r := range w.fleet.runs {
		if r.deadly && r.calm && len(crashes) >= 5 && r.at.After(from.Add(contact)) {
			reached++
		}
	}
	w.say("%d crashes, %d requests with the deadly part reached workers later than %v after the fifth", len(crashes), reached, contact)
	share := func(from, to time.Time) (begun, all int) {
		for _, a := range c.attempts {
			if a.kind != "sound" || a.number != 1 || a.instance == w.excused || a.sent.Before(from) || !a.sent.Before(to) {
				continue
			}
			all++
			if w.fleet.begun[a.id] {
				begun++
			}
		}
		return begun, all
	}
	calmBegun, calm := share(calmStart, calmEnd)
	begun, all := share(from.Add(2*contact), poisonEnd)
	w.say("begun at the first attempt: %d of %d before, %d of %d from %v after the fifth or last crash", calmBegun, calm, begun, all, 2*contact)
	late := 0
	for _, a := range c.attempts {
		if a.end.Sub(a.sent) > 8500*time.Millisecond {
			late++
		}
	}
	w.say("%d of %d attempts have no final answer 0.5 s after the timeout of their route", late, len(c.attempts))
	lost := calm >= minRequests && all >= minRequests && 2*begun*calm < calmBegun*all
	if lost {
		w.say("LOST: sound requests begin less than half as often")
	}
	if reached > 3 {
		w.say("BUDGET: more than three requests with the deadly part reached workers")
	}
	return lost || reached > 3
}
