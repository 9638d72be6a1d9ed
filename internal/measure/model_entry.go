package measure

import (
	"errors"
	"time"

	"github.com/chicorystall/chicorystall/pkg/limit"
	"github.com/chicorystall/chicorystall/pkg/queue"
	"github.com/chicorystall/chicorystall/pkg/route"
)

const (
	maxAttempts      = 3
	coldMarkInterval = 5 * time.Second // signs of a cold start within this time count as one
	maxLenders       = 3               // lenders asked for a request before another group is tried
)

type modelReport struct {
	at       time.Duration
	requests int
	pending  int
	speed    int
	warm     bool
	boot     string
}

// modelServerView is an entry instance's view of a server.
type modelServerView struct {
	server       *modelServer
	connected    bool
	boot         string
	report       modelReport
	cache        route.Cache
	digest       route.Digest
	sends        []modelSend
	inFlight     int // requests from this entry instance
	detector     limit.Detector
	markedColdAt time.Duration // when the server was last marked cold
}

type modelSend struct {
	at, end time.Duration // end is 0 while the request runs
	tokens  int
}

// modelEntry is a simulated entry instance.
type modelEntry struct {
	fleet       *modelFleet
	dc          *modelDataCentre
	ledger      *limit.Ledger
	queue       queue.Queue
	waiting     map[uint64]*modelJob
	serverViews []*modelServerView
	spilled     map[string][]time.Duration
	nextID      uint64
	rotation    int
	borrowing   bool
	dead        bool
	messages    int // loan messages
}

func newModelEntry(f *modelFleet, dc *modelDataCentre, self limit.Member) *modelEntry {
	e := &modelEntry{
		fleet:   f,
		dc:      dc,
		ledger:  &limit.Ledger{Self: self},
		waiting: make(map[uint64]*modelJob),
		spilled: make(map[string][]time.Duration),
	}
	e.queue.Config = queue.Config{MaxEntries: 256, Rate: 1e6}
	for _, s := range dc.servers {
		e.serverViews = append(e.serverViews, &modelServerView{server: s})
	}
	return e
}

// connect opens a connection, on which the server sends its boot ID.
func (e *modelEntry) connect(s *modelServer) {
	p := e.serverView(s)
	if !s.up {
		return
	}
	p.connected, p.boot = true, s.bootID()
	p.report = modelReport{at: e.fleet.clock.now, warm: s.maxRequests() == serverBatch, boot: p.boot, speed: s.speed()}
	e.ledger.Observe(s.name, p.boot)
	if p.report.warm {
		e.ledger.MarkWarm(s.name, p.boot)
	}
}

func (e *modelEntry) serverView(s *modelServer) *modelServerView {
	for _, p := range e.serverViews {
		if p.server == s {
			return p
		}
	}
	return nil
}

// applyReport applies a load report and, unless they were lost, cache events.
func (e *modelEntry) applyReport(s *modelServer, r modelReport, ev route.Event, lost bool) {
	if e.dead {
		return
	}
	p := e.serverView(s)
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
	e.serveQueue()
}

// checkCold requests the state of a server that has become slow.
func (e *modelEntry) checkCold(p *modelServerView) {
	if e.fleet.policy.latencyAlone {
		e.markCold(p)
		return
	}
	e.fleet.clock.after(2*delayInside, func() {
		if p.server.up && p.server.bootID() == p.boot && p.server.maxRequests() < serverBatch {
			e.markCold(p)
		}
	})
}

// markCold lowers the limit of a cold server and notifies the other entry
// instances at once.
func (e *modelEntry) markCold(p *modelServerView) {
	f := e.fleet
	if f.policy.bootIDOnly || f.clock.now < p.markedColdAt+coldMarkInterval {
		return
	}
	p.markedColdAt = f.clock.now
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

// enqueue queues a request and serves the queue.
func (e *modelEntry) enqueue(j *modelJob) {
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
	e.serveQueue()
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

func (e *modelEntry) crash() {
	e.dead = true
	for _, j := range e.fleet.jobs {
		if j.entry == e && j.outcome == outcomeOpen && !j.forwarded {
			j.outcome = outcomeLost
		}
	}
}

// serveQueue sends queued requests while servers have free slots.
func (e *modelEntry) serveQueue() {
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
