package measure

import (
	"errors"
	"time"

	"github.com/chicorystall/chicorystall/pkg/limit"
	"github.com/chicorystall/chicorystall/pkg/route"
)

// retryAfter is the delay before a request that got no permit is tried again.
const retryAfter = 10 * time.Millisecond

// serveRoundRobin sends a request to the next server whose static share is not
// used up, or to the other data centres in turn while the local one is drained.
func (e *modelEntry) serveRoundRobin(j *modelJob) bool {
	f := e.fleet
	if e.dc.drained && !j.forwarded {
		for range f.dcs {
			e.rotation++
			dc := f.dcs[e.rotation%len(f.dcs)]
			if dc != e.dc && !dc.drained && !dc.lost {
				e.pop()
				e.forward(j, dc)
				return true
			}
		}
		return false
	}
	share := max(serverBatch/len(e.dc.entries), 1)
	for range e.serverViews {
		e.rotation++
		p := e.serverViews[e.rotation%len(e.serverViews)]
		if !p.connected || p.inFlight >= share {
			continue
		}
		e.pop()
		e.run(j, p, func(bool) {})
		return true
	}
	return false
}

// serveProduct chooses a server by the routing view and acquires a permit,
// borrowing capacity if necessary.
func (e *modelEntry) serveProduct(j *modelJob) bool {
	f := e.fleet
	r := route.Request{
		Account:      accountName(j.account),
		Model:        "m",
		Blocks:       j.blocks,
		PromptTokens: j.prompt,
		OutputTokens: j.estimate,
		Random:       f.rng.Uint64(),
		AvoidBackend: j.avoid,
		Forwarded:    j.forwarded,
	}
	if f.policy.noAffinity {
		r.Blocks = nil
	}
	d, refusal := e.view().Choose(&r)
	if refusal != nil {
		return false
	}
	if d.DataCentre != e.dc.name {
		e.pop()
		e.forward(j, f.dc(d.DataCentre))
		return true
	}
	for _, p := range e.serverViews {
		if p.server.name == d.Backend {
			return e.acquirePermit(j, p, maxLenders)
		}
	}
	return false
}

// acquirePermit acquires a permit for the first request in the queue, and borrows if the
// entry instance's own share is used up. It reports whether the request was sent.
func (e *modelEntry) acquirePermit(j *modelJob, p *modelServerView, tries int) bool {
	permit, err := e.ledger.Acquire(p.server.name, j.prompt+j.estimate)
	if err == nil {
		e.pop()
		e.run(j, p, func(whole bool) { e.send(e.ledger.Release(permit, whole)) })
		return true
	}
	var refusal *limit.Refusal
	if !errors.As(err, &refusal) || len(refusal.Lenders) == 0 || tries == 0 {
		e.send(e.ledger.LeaveQueue(p.server.name))
		return false
	}
	lender := refusal.Lenders[(maxLenders-tries)%len(refusal.Lenders)]
	request := e.ledger.Borrow(p.server.name, lender, refusal.Missing, false)
	e.borrowing = true
	e.messages += 2
	e.sendTo(lender, func(to *modelEntry) {
		reply := to.ledger.Lend(request)
		e.fleet.clock.after(delayInside, func() { e.acceptLoan(j, p, reply, tries-1) })
	})
	return false
}

func (e *modelEntry) acceptLoan(j *modelJob, p *modelServerView, reply limit.LoanReply, tries int) {
	e.borrowing = false
	_, out := e.ledger.Accept(reply)
	e.send(out)
	head, ok := e.queue.Peek()
	if ok && e.waiting[head.ID] == j && !e.acquirePermit(j, p, tries) {
		if !e.borrowing {
			j.avoid = p.server.name
			e.fleet.clock.after(retryAfter, e.serveQueue)
		}
		return
	}
	e.serveQueue()
}

// sendTo delivers a message to another entry instance of the data centre.
func (e *modelEntry) sendTo(m limit.Member, deliver func(*modelEntry)) {
	for _, other := range e.dc.entries {
		if other.ledger.Self == m && !other.dead {
			e.fleet.clock.after(delayInside, func() { deliver(other) })
		}
	}
}

// send delivers the messages that a ledger call returned.
func (e *modelEntry) send(out limit.Outbox) {
	for _, r := range out.Returns {
		e.messages++
		e.sendTo(r.Lender, func(to *modelEntry) { to.send(to.ledger.TakeBack(r)) })
	}
}

// view builds the routing view on which a choice is based.
func (e *modelEntry) view() *route.View {
	f := e.fleet
	c := route.Config{DataCentre: e.dc.name, EntryInstances: len(e.dc.entries)}
	c.Tuning.LoadBound = f.policy.loadBound
	var names []string
	for _, dc := range f.dcs {
		c.DataCentres = append(c.DataCentres, route.DataCentre{
			Name:      dc.name,
			Drained:   dc.drained,
			Reachable: dc.seemsReachable(f.clock.now),
			Ramp:      dc.ramp(f.clock.now),
			FreeSlots: dc.freeSlots,
			Spilled:   e.spilledSince(dc),
			Work:      dc.work,
		})
		if dc == e.dc {
			continue
		}
		for _, s := range dc.servers {
			capacity := limit.Amount{Requests: serverBatch, Tokens: serverKVTokens}
			c.Groups = append(c.Groups, route.Group{Name: s.name, Model: "m", DataCentre: dc.name, Backend: s.name, Complete: true, Capacity: capacity})
		}
	}
	for _, p := range e.serverViews {
		c.Groups = append(c.Groups, e.group(p))
	}
	for _, g := range c.Groups {
		names = append(names, g.Name)
	}
	c.Routes = []route.Route{{Accounts: []string{"*"}, Groups: names}}
	return route.NewView(c)
}

func (e *modelEntry) spilledSince(dc *modelDataCentre) int {
	n := 0
	for _, at := range e.spilled[dc.name] {
		if at >= dc.freeSlotsAt {
			n++
		}
	}
	return n
}

func (e *modelEntry) group(p *modelServerView) route.Group {
	s := p.server
	g := route.Group{
		Name:       s.name,
		Model:      "m",
		DataCentre: s.dataCentre,
		Backend:    s.name,
		Complete:   p.connected,
		Capacity:   e.ledger.Capacity(s.name),
		Digest:     p.digest,
		Report: route.Report{
			Age:           e.fleet.clock.now - p.report.at,
			Requests:      p.report.requests,
			PendingTokens: p.report.pending,
			TokensPerSec:  p.report.speed,
		},
	}
	for _, send := range p.sends {
		if send.at > p.report.at {
			g.Sent.Requests++
			g.Sent.PendingTokens += max(send.tokens, 0)
		}
		if send.end > p.report.at {
			g.Sent.Ended++
		}
	}
	// A loan can supply what the entry instance's own share lacks, so the available
	// capacity is the server's total.
	inUse := max(g.Report.Requests+g.Sent.Requests-g.Sent.Ended, 0)
	own := e.ledger.Available(s.name)
	g.Available = limit.Amount{
		Requests: max(own.Requests, g.Capacity.Requests-inUse),
		Tokens:   max(own.Tokens, g.Capacity.Tokens),
	}
	return g
}
