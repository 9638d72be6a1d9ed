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
