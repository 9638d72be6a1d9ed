package measure

import "time"

// run sends a request to a server in the local data centre.
func (e *modelEntry) run(j *modelJob, p *modelServerView, release func(whole bool)) {
	f := e.fleet
	j.attempts++
	j.avoid = ""
	p.inFlight++
	p.sends = append(p.sends, modelSend{at: f.clock.now, tokens: j.prompt - p.digest.Match(j.blocks)*blockTokens})
	at := len(p.sends) - 1
	sentAt := p.sends[at].at
	p.cache.MarkExpected(p.boot, j.blocks)
	q := &sequence{blocks: j.blocks, prompt: j.prompt, output: j.output}
	q.first = func() {
		if j.first == 0 {
			j.first = f.clock.now + delayInside
		}
	}
	q.token = func(between time.Duration) {
		level := e.ledger.Level(p.server.name)
		if level == serverBatch && !f.policy.reportOnly && p.detector.Observe(between) {
			e.checkCold(p)
		}
	}
	q.done = func(whole bool) {
		p.inFlight--
		for i := range p.sends {
			if p.sends[i].at == sentAt && p.sends[i].end == 0 {
				p.sends[i].end = f.clock.now
				break
			}
		}
		release(whole)
		e.finish(j, p, whole)
	}
	boot := p.boot
	f.clock.after(delayInside, func() {
		// A restart closes the connection, and the boot ID is checked on a new one.
		restarted := p.server.bootID() != boot && !f.policy.roundRobin
		if restarted || !p.server.submit(q) {
			p.connected = false
			q.done(false)
		}
	})
}

// finish records the outcome of a request or retries it on another server.
func (e *modelEntry) finish(j *modelJob, p *modelServerView, whole bool) {
	if !whole && !p.server.up {
		p.connected = false
	}
	if j.outcome == outcomeOpen {
		e.queue.RecordServed(e.fleet.clock.time(), j.prompt+j.estimate)
		switch {
		case whole:
			j.outcome = outcomeWhole
		case e.dead || j.attempts >= maxAttempts:
			j.outcome = outcomeLost
		default:
			j.avoid = p.server.name
			e.enqueue(j)
		}
	}
	e.serveQueue()
}

// forward passes a request to an entry instance of another data centre.
func (e *modelEntry) forward(j *modelJob, dc *modelDataCentre) {
	f := e.fleet
	e.spilled[dc.name] = append(e.spilled[dc.name], f.clock.now)
	j.forwarded = true
	to := dc.entries[f.rng.IntN(len(dc.entries))]
	f.clock.after(delayBetween, func() {
		if to.dead {
			j.forwarded = false
			e.enqueue(j)
			return
		}
		to.enqueue(j)
	})
}
