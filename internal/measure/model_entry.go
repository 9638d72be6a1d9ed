package measure

import (
	"errors"
	"time"

	"github.com/chicorystall/chicorystall/pkg/limit"
	"github.com/chicorystall/chicorystall/pkg/queue"
	"github.com/chicorystall/chicorystall/pkg/route"
)

const (
	maxAttempts  = 3
	coldNotice   = 5 * time.Second // within which one more sign of cold start is the same one
	maxBorrowing = 3               // lenders asked for one request before another group is tried
)

type modelReport struct {
	at       time.Duration
	requests int
	pending  int
	speed    int
	warm     bool
	boot     string
}

// modelPeer is what an entry instance knows of a server.
type modelPeer struct {
	server    *modelServer
	connected bool
	boot      string
	report    modelReport
	cache     route.Cache
	digest    route.Digest
	sends     []modelSend
	inFlight  int // own
	detector  limit.Detector
	markedAt  time.Duration // when it was last marked cold
}

type modelSend struct {
	at, end time.Duration // end is 0 while it runs
	tokens  int
}

// modelEntry is an entry instance.
type modelEntry struct {
	fleet     *modelFleet
	dc        *modelDC
	ledger    *limit.Ledger
	queue     queue.Queue
	waiting   map[uint64]*modelJob
	peers     []*modelPeer
	spilled   map[string][]time.Duration
	nextID    uint64
	rotation  int
	borrowing bool
	dead      bool
	messages  int // loan messages
}

func newModelEntry(f *modelFleet, dc *modelDC, self limit.Member) *modelEntry {
	e := &modelEntry{
		fleet:   f,
		dc:      dc,
		ledger:  &limit.Ledger{Self: self},
		waiting: make(map[uint64]*modelJob),
		spilled: make(map[string][]time.Duration),
	}
	e.queue.Config = queue.Config{MaxEntries: 256, Rate: 1e6}
	for _, s := range dc.servers {
		e.peers = append(e.peers, &modelPeer{server: s})
	}
	return e
}

// connect opens a connection, on which the server tells its boot ID.
func (e *modelEntry) connect(s *modelServer) {
	p := e.peer(s)
	if !s.up {
		return
	}
	p.connected, p.boot = true, s.bootID()
	p.report = modelReport{at: e.fleet.clock.now, warm: s.bears() == serverBatch, boot: p.boot, speed: s.speed()}
	e.ledger.Observe(s.name, p.boot)
	if p.report.warm {
		e.ledger.MarkWarm(s.name, p.boot)
	}
}

func (e *modelEntry) peer(s *modelServer) *modelPeer {
	for _, p := range e.peers {
		if p.server == s {
			return p
		}
	}
	return nil
}

// learn takes a load report and cache events.
func (e *modelEntry) learn(s *modelServer, r modelReport, ev route.Event, lost bool) {
	if e.dead {
		return
	}
	p := e.peer(s)
	if !p.connected {
		e.connect(s)
	}
	if r.boot != p.boot {
		return
	}
	if r.at < p.report.at {
		return
	}
	if p.report.warm && !r.warm {
		e.markCold(p)
	}
	p.report = r
	if !lost {
		p.cache.Apply(ev)
		p.digest = p.cache.Digest()
	}
	var recent []modelSend
	for _, send := range p.sends {
		if send.end == 0 || send.end > r.at {
			recent = append(recent, send)
		}
	}
	p.sends = recent
	e.pump()
}

// suspect asks a server that has become slow for its state at once.
func (e *modelEntry) suspect(p *modelPeer) {
	if e.fleet.policy.latencyAlone {
		e.markCold(p)
		return
	}
	e.fleet.clock.after(2*delayInside, func() {
		if p.server.up && p.server.bootID() == p.boot && p.server.bears() < serverBatch {
			e.markCold(p)
		}
	})
}

// markCold lowers the level and tells the others at once.
func (e *modelEntry) markCold(p *modelPeer) {
	f := e.fleet
	if f.policy.noNotice || f.clock.now < p.markedAt+coldNotice {
		return
	}
	p.markedAt = f.clock.now
	p.report.warm = false
	e.ledger.MarkCold(p.server.name, p.boot)
	for _, other := range e.dc.entries {
		if other == e {
			continue
		}
		s := e.ledger.Statement(other.ledger.Self)
		f.clock.after(delayInside, func() { other.send(other.ledger.Reconcile(s)) })
	}
}

// take queues a request and serves what it can.
func (e *modelEntry) take(j *modelJob) {
	j.entry = e
	e.nextID++
	entry := queue.Entry{
		ID:       e.nextID,
		Account:  accountName(j.account),
		Cost:     j.prompt + j.estimate,
		Bytes:    4 * j.prompt,
		Deadline: modelEpoch.Add(j.arrival + startDeadline),
	}
	if e.fleet.policy.fifo {
		entry.Account = ""
	}
	if j.attempts > 0 {
		entry.Deadline = time.Time{}
	}
	e.waiting[entry.ID] = j
	displaced, err := e.queue.Push(e.fleet.clock.time(), entry)
	var refusal *queue.Refusal
	if errors.As(err, &refusal) {
		e.refuse(entry.ID)
	}
	for _, d := range displaced {
		e.refuse(d.ID)
	}
	e.pump()
}

func (e *modelEntry) refuse(id uint64) {
	j := e.waiting[id]
	delete(e.waiting, id)
	if j.attempts > 0 {
		j.outcome = outcomeLost
		return
	}
	j.outcome = outcomeRefused
}

func (e *modelEntry) die() {
	e.dead = true
	for _, j := range e.fleet.jobs {
		if j.entry == e && j.outcome == outcomeOpen && !j.moved {
			j.outcome = outcomeLost
		}
	}
}

// pump serves the queue while there are places.
func (e *modelEntry) pump() {
	if e.dead || e.borrowing {
		return
	}
	for _, x := range e.queue.Expire(e.fleet.clock.time()) {
		e.refuse(x.ID)
	}
	for {
		head, ok := e.queue.Peek()
		if !ok {
			return
		}
		j := e.waiting[head.ID]
		if j.outcome != outcomeOpen {
			e.pop()
			continue
		}
		served := e.serveProduct
		if e.fleet.policy.roundRobin {
			served = e.serveRoundRobin
		}
		if !served(j) {
			return
		}
	}
}

func (e *modelEntry) pop() {
	head, _ := e.queue.Pop()
	delete(e.waiting, head.ID)
}

// run sends a request to a server of the own data centre.
func (e *modelEntry) run(j *modelJob, p *modelPeer, release func(whole bool)) {
	f := e.fleet
	j.attempts++
	j.avoid = ""
	p.inFlight++
	p.sends = append(p.sends, modelSend{at: f.clock.now, tokens: j.prompt - p.digest.Match(j.blocks)*blockTokens})
	at := len(p.sends) - 1
	sentAt := p.sends[at].at
	p.cache.Sent(p.boot, j.blocks)
	q := &sequence{blocks: j.blocks, prompt: j.prompt, output: j.output}
	q.first = func() {
		if j.first == 0 {
			j.first = f.clock.now + delayInside
		}
	}
	q.token = func(between time.Duration) {
		bears := e.ledger.Level(p.server.name)
		if bears == serverBatch && !f.policy.reportOnly && p.detector.Observe(between) {
			e.suspect(p)
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
		// A restart ends the connection, and a new one asks for the boot ID.
		restarted := p.server.bootID() != boot && !f.policy.roundRobin
		if restarted || !p.server.submit(q) {
			p.connected = false
			q.done(false)
		}
	})
}

// finish ends a request, or tries again elsewhere.
func (e *modelEntry) finish(j *modelJob, p *modelPeer, whole bool) {
	if !whole && !p.server.up {
		p.connected = false
	}
	if j.outcome == outcomeOpen {
		e.queue.Served(e.fleet.clock.time(), j.prompt+j.estimate)
		switch {
		case whole:
			j.outcome = outcomeWhole
		case e.dead || j.attempts >= maxAttempts:
			j.outcome = outcomeLost
		default:
			j.avoid = p.server.name
			e.take(j)
		}
	}
	e.pump()
}

// forward hands a request to an entry instance of another data centre.
func (e *modelEntry) forward(j *modelJob, dc *modelDC) {
	f := e.fleet
	e.spilled[dc.name] = append(e.spilled[dc.name], f.clock.now)
	j.moved = true
	to := dc.entries[f.rng.IntN(len(dc.entries))]
	f.clock.after(delayBetween, func() {
		if to.dead {
			j.moved = false
			e.take(j)
			return
		}
		to.take(j)
	})
}
