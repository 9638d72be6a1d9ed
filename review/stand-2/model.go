package stand2

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Model is the only model, one of three workers as the site's second model.
const (
	Model      = "rada7437b5"
	groupSize  = 3
	domainSize = 11
	slots      = 26
	hotTime    = 200 * time.Millisecond
	warmTime   = 1100 * time.Millisecond
	loadTime   = 12 * time.Second
	formTime   = 300 * time.Millisecond
	coldTime   = 3 * time.Second
	readTime   = 60 * time.Millisecond // from the start of a request to its first event
	eventTime  = 25 * time.Millisecond
	eventCount = 12
	stallTime  = 6 * time.Second
	watchTime  = 20 * time.Millisecond
)

// Pool is a set of model workers in one domain.
type Pool struct {
	Record *Record
	// Crashes reports whether a worker crashes as it begins to write the answer to a
	// request. sendHead states whether it has sent the head of the answer by then.
	Crashes  func(r *http.Request) bool
	SendHead bool
	// Back is the time from a crash to the next start of the worker.
	Back time.Duration
	// OnRequest is called for each request that reaches a worker, unless it answers 421.
	OnRequest func(worker string, r *http.Request, ran bool)
	// OnCrash is called for each crash.
	OnCrash func(worker string, r *http.Request)

	// Events is how many events a stream has; 0 means eventCount.
	Events int
	// OnCut, if not nil, is called when an order to close a group cancels a stream.
	OnCut func(worker string, r *http.Request)
	// HoldBack, if not nil, reports whether an order that a worker has accepted is left without
	// an answer. It is carried out by CarryOut. It is called with the lock held.
	HoldBack func(worker string, o Order) bool

	put     func(id string, entry []byte)
	mu      sync.Mutex
	workers []*modelWorker
	served  bool
	closed  bool
	ready   map[string]bool // members that were ready, with the group and its epoch
	broken  []string        // how rules on groups were broken
	held    []heldOrder
}

type modelWorker struct {
	pool                      *Pool
	id, address, zone, domain string

	// Under the pool's lock.
	server    *http.Server
	alive     bool
	born      time.Time
	entrySeq  int
	orders    int64
	staged    string
	lastModel string
	maxEpoch  int64
	running   int
	group     *membership
	coldUntil time.Time
	lapse     *time.Timer
	silent    time.Time // until then nothing is answered
}

type membership struct {
	name    string
	epoch   int64
	members []string
	rank    int
	readyAt time.Time
	openAt  time.Time // zero unless an order to open was taken
	closing bool
	closed  int       // how many times an order to close cancelled the requests
	stalled time.Time // since when a member is missing; zero if none is
	failed  bool      // for longer than stallTime
}

func (m *membership) state(now time.Time) string {
	switch {
	case m.failed:
		return "broken"
	case now.Before(m.readyAt):
		return "joining"
	case m.closing:
		return "closing"
	case !m.openAt.IsZero() && !now.Before(m.openAt):
		return "open"
	}
	return "ready"
}

// StartPool starts model workers in a zone.
func (d *Deployment) StartPool(p *Pool, n int, zone string) error {
	p.put = func(id string, entry []byte) { d.Store.Put(topicWorkers, id, entry) }
	for i := range n {
		w := &modelWorker{pool: p, id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), zone: zone, domain: fmt.Sprintf("%s-d%d", zone, i/domainSize)}
		listener, err := net.Listen("tcp4", d.IP(100+i)+":0")
		if err != nil {
			return err
		}
		w.address = listener.Addr().String()
		p.mu.Lock()
		p.workers = append(p.workers, w)
		w.start(listener, false)
		p.mu.Unlock()
	}
	go p.beat()
	go p.watch()
	return nil
}

// watch notes which members are ready, and makes heads stand still that lack a member.
func (p *Pool) watch() {
	for range time.Tick(watchTime) {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return
		}
		now := time.Now()
		byID := map[string]*modelWorker{}
		for _, w := range p.workers {
			byID[w.id] = w
			if g := w.group; w.alive && g != nil && !now.Before(g.readyAt) {
				if p.ready == nil {
					p.ready = map[string]bool{}
				}
				p.ready[readyKey(g, w.id)] = true
			}
		}
		for _, w := range p.workers {
			g := w.group
			if !w.alive || g == nil || g.rank != 0 || g.openAt.IsZero() || g.failed {
				continue
			}
			whole := true
			for _, id := range g.members {
				m := byID[id]
				whole = whole && m != nil && m.alive && !now.Before(m.silent) && m.group != nil && m.group.name == g.name && m.group.epoch == g.epoch
			}
			switch {
			case whole:
				g.stalled = time.Time{}
			case g.stalled.IsZero():
				g.stalled = now
			case now.Sub(g.stalled) > stallTime:
				g.failed = true
				w.write()
			}
		}
		p.mu.Unlock()
	}
}

func readyKey(g *membership, worker string) string {
	return fmt.Sprintf("%s/%d/%v/%s", g.name, g.epoch, g.members, worker)
}

// Violations returns how rules on groups were broken.
func (p *Pool) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.broken)
}

// violate records that a rule is broken. The caller holds the lock.
func (p *Pool) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	p.broken = append(p.broken, text)
	p.Record.Add("broken: %s", text)
}

// checkJoin records a join while the head of the worker's group still runs. The caller
// holds the lock.
func (w *modelWorker) checkJoin(group string) {
	g := w.group
	if g == nil || g.name == group {
		return
	}
	for _, h := range w.pool.workers {
		if h.id != g.members[0] || !h.alive || h.group == nil || h.group.name != g.name || h.group.epoch != g.epoch {
			continue
		}
		if state := h.group.state(time.Now()); state == "open" || state == "closing" {
			w.pool.violate("TWO: %s joins %s while head %s of its group %s is %s", w.id, group, h.id, g.name, state)
		}
	}
}

// checkRun records a request that begins in a group that isn't complete. The caller holds
// the lock.
func (w *modelWorker) checkRun(request string) {
	g := w.group
	if len(g.members) != groupSize {
		w.pool.violate("PARTIAL: %s runs in %s, which has %d members", request, g.name, len(g.members))
	}
	for _, id := range g.members {
		if !w.pool.ready[readyKey(g, id)] {
			w.pool.violate("PARTIAL: %s runs in %s, whose member %s was never ready", request, g.name, id)
		}
	}
}

// Disturb crashes a worker, or makes it silent for a time if that isn't 0.
func (p *Pool) Disturb(n int, silence time.Duration) {
	p.mu.Lock()
	w := p.workers[n%len(p.workers)]
	born := w.born
	if silence > 0 {
		w.silent = time.Now().Add(silence)
		p.Record.Add("worker %s is silent for %v", w.id, silence)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	if w.crash(born) {
		p.Record.Add("worker %s crashes", w.id)
	}
}

// Close stops all workers.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, w := range p.workers {
		w.alive = false
		w.server.Close()
	}
}

func (p *Pool) beat() {
	for range time.Tick(Heartbeat) {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return
		}
		for _, w := range p.workers {
			if w.alive {
				w.write()
			}
		}
		p.mu.Unlock()
	}
}

// start starts a run of a worker. The caller holds the lock.
func (w *modelWorker) start(listener net.Listener, cold bool) {
	w.alive, w.born, w.entrySeq, w.orders, w.lastModel, w.maxEpoch, w.group, w.running = true, time.Now(), 0, 0, "", 0, nil, 0
	if cold {
		w.coldUntil = time.Now().Add(coldTime)
	}
	w.server = &http.Server{Handler: w, IdleTimeout: 5 * time.Second}
	go w.server.Serve(listener)
	w.write()
}

// crash ends the run of a worker, as a process that is killed does, and starts the next
// one later. The entry lapses after three heartbeats.
func (w *modelWorker) crash(born time.Time) bool {
	p := w.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !w.alive || w.born != born {
		return false
	}
	w.alive, w.group = false, nil
	w.server.Close()
	w.lapse = time.AfterFunc(3*Heartbeat, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !w.alive {
			p.put(w.id, nil)
		}
	})
	time.AfterFunc(p.Back, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.closed {
			return
		}
		listener, err := net.Listen("tcp4", w.address)
		if err != nil {
			p.Record.Add("worker %s can't start again: %v", w.id, err)
			return
		}
		w.lapse.Stop()
		p.Record.Add("worker %s started again", w.id)
		w.start(listener, true)
	})
	return true
}

// write writes the worker's entry. The caller holds the lock.
func (w *modelWorker) write() {
	w.entrySeq++
	entry := map[string]any{
		"service": "stylist-model", "address": w.address, "zone": w.zone, "version": "v1", "batch-slots": slots, "state": "ready",
		"cold-ms": max(time.Until(w.coldUntil).Milliseconds(), 0), "stage": "colocated", "seq": w.entrySeq, "born": w.born.UnixMilli(),
	}
	w.describe(entry)
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // plain values only
	}
	w.pool.put(w.id, data)
}

func (w *modelWorker) describe(fields map[string]any) {
	fields["domain"], fields["staged"], fields["models"], fields["group"] = w.domain, []string{}, []any{}, nil
	if w.staged != "" {
		fields["staged"] = []string{w.staged}
	}
	if g := w.group; g != nil {
		fields["group"] = map[string]any{"name": g.name, "epoch": g.epoch, "rank": g.rank, "state": g.state(time.Now())}
		fields["models"] = []any{map[string]any{"name": Model, "version": 1, "adapters": []string{}}}
	}
}

// writeLater writes the entry again when the state of the group has changed by itself.
func (w *modelWorker) writeLater(d time.Duration) {
	born := w.born
	time.AfterFunc(d+time.Millisecond, func() {
		w.pool.mu.Lock()
		defer w.pool.mu.Unlock()
		if w.alive && w.born == born {
			w.write()
		}
	})
}

// ServeHTTP implements http.Handler.
func (w *modelWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.pool.mu.Lock()
	silence := time.Until(w.silent)
	w.pool.mu.Unlock()
	time.Sleep(silence)
	switch r.Method + " " + r.URL.Path {
	case "GET /report":
		w.pool.mu.Lock()
		fields := map[string]any{"stage": "colocated", "busy": false, "seq": w.orders, "queued": 0, "running": w.running, "kv-used": 0, "kv-total": 2470000, "handles": 0, "pace": 1.0, "born": w.born.UnixMilli()}
		w.describe(fields)
		w.pool.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(fields)
	case "POST /order":
		w.pool.mu.Lock()
		if w.holdsBack(body) {
			w.pool.mu.Unlock()
			<-r.Context().Done()
			return
		}
		w.pool.mu.Unlock()
		w.pool.mu.Lock()
		status := w.order(body, true)
		w.pool.Record.Add("worker %s: order %s: status %d", w.id, body, status)
		w.pool.mu.Unlock()
		rw.WriteHeader(status)
	case "GET /health":
		rw.Header().Set("X-Instance-Id", w.id)
	default:
		w.serve(rw, r)
	}
}

// Order is an order to a worker.
type Order struct {
	Operation, Group, Model string
	Epoch                   int64
	Members                 []string
	CloseMode               string `json:"close-mode"`
	Precondition            *int64
}

// heldOrder is an order that was accepted and not carried out.
type heldOrder struct {
	worker *modelWorker
	born   time.Time
	body   []byte
}

// holdsBack keeps an order for later if it fits the number of orders so far and the pool says
// so. The caller holds the lock.
func (w *modelWorker) holdsBack(body []byte) bool {
	var o Order
	if json.Unmarshal(body, &o) != nil || o.Precondition != nil && *o.Precondition != w.orders || w.pool.HoldBack == nil || !w.pool.HoldBack(w.id, o) {
		return false
	}
	w.pool.held = append(w.pool.held, heldOrder{w, w.born, body})
	w.pool.Record.Add("worker %s: order %s is accepted and not answered", w.id, body)
	return true
}

// CarryOut carries out the orders that were held back, if their workers still run. Their
// epochs are compared now, their preconditions were when they arrived.
func (p *Pool) CarryOut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.held {
		if h.worker.alive && h.worker.born == h.born {
			p.Record.Add("worker %s carries out a late order: %s", h.worker.id, h.body)
			p.Record.Add("worker %s: status %d", h.worker.id, h.worker.order(h.body, false))
		}
	}
	p.held = nil
}

// Roles returns the head and another member of an open group, and a worker that is in none.
func (p *Pool) Roles() (head, member, spare string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		switch g := w.group; {
		case !w.alive:
		case g == nil || len(g.members) < groupSize:
			spare = w.id
		case g.rank == 0 && g.state(time.Now()) == "open":
			head, member = w.id, g.members[1]
		}
	}
	return head, member, spare
}

// InOpenGroup reports whether a worker is a member of an open group.
func (p *Pool) InOpenGroup(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if g := w.group; w.alive && g != nil && len(g.members) == groupSize && g.rank == 0 && g.state(time.Now()) == "open" && slices.Contains(g.members, id) {
			return true
		}
	}
	return false
}

// Silence makes a worker answer nothing for a time.
func (p *Pool) Silence(id string, d time.Duration) {
	p.mu.Lock()
	i := slices.IndexFunc(p.workers, func(w *modelWorker) bool { return w.id == id })
	p.mu.Unlock()
	p.Disturb(i, d)
}

// Crash crashes a worker, which starts again after a time.
func (p *Pool) Crash(id string, back time.Duration) {
	p.mu.Lock()
	p.Back = back
	i := slices.IndexFunc(p.workers, func(w *modelWorker) bool { return w.id == id })
	p.mu.Unlock()
	p.Disturb(i, 0)
}

// order carries out an order and returns the status. The caller holds the lock.
func (w *modelWorker) order(body []byte, checkCount bool) int {
	var o Order
	if err := json.Unmarshal(body, &o); err != nil {
		return http.StatusBadRequest
	}
	if checkCount && o.Precondition != nil && *o.Precondition != w.orders {
		return http.StatusConflict
	}
	now, g := time.Now(), w.group
	status := http.StatusAccepted
	switch {
	case o.Operation == "join" && o.Epoch < w.maxEpoch:
		return http.StatusPreconditionFailed
	case o.Operation == "join" && g != nil && g.name == o.Group && g.epoch == o.Epoch:
		if slices.Equal(g.members, o.Members) {
			return http.StatusOK
		}
		return http.StatusPreconditionFailed
	case o.Operation == "join":
		d := loadTime
		switch {
		case w.lastModel == o.Model:
			d = hotTime
		case w.staged == o.Model:
			d = warmTime
		case !w.pool.served:
			d /= 10
		}
		w.checkJoin(o.Group)
		w.group = &membership{name: o.Group, epoch: o.Epoch, members: o.Members, rank: slices.Index(o.Members, w.id), readyAt: now.Add(d)}
		w.maxEpoch, w.lastModel, w.staged = o.Epoch, o.Model, o.Model
		w.writeLater(d)
	case g == nil || g.name != o.Group || g.epoch != o.Epoch:
		return http.StatusConflict
	case o.Operation == "open" && g.rank == 0 && g.state(now) == "ready" && g.openAt.IsZero():
		g.openAt = now.Add(formTime)
		w.writeLater(formTime)
	case o.Operation == "close" && g.rank == 0 && g.state(now) == "open":
		g.openAt = time.Time{}
		if o.CloseMode == "cancel" {
			g.closed++
		}
	case o.Operation == "leave":
		w.group, status = nil, http.StatusOK
	default:
		return http.StatusConflict
	}
	w.orders++
	w.write()
	return status
}

// serve runs a request if the worker is the head of an open group.
func (w *modelWorker) serve(rw http.ResponseWriter, r *http.Request) {
	p := w.pool
	h := rw.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	p.mu.Lock()
	g, born := w.group, w.born
	closed := 0
	if g != nil {
		closed = g.closed
	}
	if g == nil || g.rank != 0 {
		p.mu.Unlock()
		h.Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	runs := g.state(time.Now()) == "open" && w.running < slots
	if runs {
		w.running++
		w.checkRun(r.Header.Get("X-Request-Id"))
		p.served = true
	}
	p.mu.Unlock()
	if p.OnRequest != nil {
		p.OnRequest(w.id, r, runs)
	}
	if !runs {
		h.Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if w.born == born {
			w.running--
		}
	}()
	h.Set("X-Response-Stamp", "3e1b.07.5a2.600.0."+w.id)
	h.Set("Content-Type", "text/event-stream")
	select {
	case <-r.Context().Done():
		return
	case <-time.After(readTime):
	}
	control := http.NewResponseController(rw)
	if p.Crashes != nil && p.Crashes(r) {
		if p.SendHead {
			rw.WriteHeader(http.StatusOK)
			_ = control.Flush()
		}
		if w.crash(born) && p.OnCrash != nil {
			p.OnCrash(w.id, r)
		}
		panic(http.ErrAbortHandler)
	}
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	for n := last + 1; n <= cmp.Or(p.Events, eventCount); n++ {
		for p.isStalled(w, g, closed, born, r) {
			select {
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(watchTime):
			}
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 50))
		if control.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(eventTime):
		}
	}
}

// isStalled reports whether a head stands still, since a member is missing or silent. It panics
// to cut the stream if the group is broken or closed.
func (p *Pool) isStalled(w *modelWorker, g *membership, closed int, born time.Time, r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.born == born && (w.group != g || g.closed != closed) && p.OnCut != nil {
		p.OnCut(w.id, r)
	}
	if w.born != born || w.group != g || g.failed || g.closed != closed {
		panic(http.ErrAbortHandler)
	}
	return !g.stalled.IsZero()
}

// OpenHeads returns how many groups are open.
func (p *Pool) OpenHeads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, w := range p.workers {
		if w.alive && w.group != nil && w.group.rank == 0 && w.group.state(time.Now()) == "open" {
			n++
		}
	}
	return n
}
