package main

import (
	"bytes"
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

const (
	heartbeat    = 1200 * time.Millisecond
	stallTime    = 6 * time.Second
	formTime     = 100 * time.Millisecond
	hotJoin      = 200 * time.Millisecond
	warmJoin     = 1100 * time.Millisecond
	engineTick   = 5 * time.Millisecond
	tokensPerMs  = 56
	eventTime    = 25 * time.Millisecond
	batchSlots   = 26
	modelSize    = 3
	model        = "daka510000"
	service      = "lohu930"
	crashedFor   = 3 * time.Second
	defaultCount = 12 // events of a stream
)

// fleet is the model workers of one domain.
type fleet struct {
	world *world

	mu      sync.Mutex
	workers map[string]*worker // by ID, also those that have ended
	nextID  int
	deadly  string          // part of prompts that crashes the worker that begins to write; empty for none
	crashes []time.Time     // by the deadly part
	runs    []run           // requests that were accepted by a head
	begun   map[string]bool // IDs of requests with a first token
	unframe bool            // streams have neither a length nor chunks and end with their connection
	first   int             // events that are sent before the deadly part crashes the worker
}

// run is a request that a head accepted.
type run struct {
	at     time.Time
	calm   bool // the entry instances were started longer than contact ago
	id     string
	worker string
	deadly bool
}

// worker is one run of a worker.
type worker struct {
	fleet    *fleet
	id       string
	born     int64
	address  string
	listener net.Listener
	server   *http.Server
	dead     bool

	seq, entrySeq     int64
	highestEpoch      int64
	staged, lastModel string
	membership        *membership
	conns             map[net.Conn]bool
	requests          []*request
}

// membership is a worker's place in a group.
type membership struct {
	name    string
	epoch   int64
	rank    int
	members []string
	model   string
	readyAt time.Time
	state   string // joining, ready, open, closing, broken
	openAt  time.Time
	stalled time.Time // since when the group lacks a member
}

// request is a request at a head.
type request struct {
	id     string
	prompt int // tokens that are left to read
	deadly bool
	from   int
	next   time.Time // of the next event
	events chan int
	cut    chan struct{}
	notRun bool // it had not begun when the group broke
	begun  bool
	sent   int
}

func newFleet(w *world) *fleet {
	return &fleet{world: w, workers: map[string]*worker{}, begun: map[string]bool{}}
}

// add starts a worker that has the model staged.
func (f *fleet) add() error {
	l, err := net.Listen("tcp4", f.world.network+".200:0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	w := &worker{
		fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a0000+f.nextID), born: time.Now().UnixMilli(), address: l.Addr().String(), listener: l,
		staged: model, conns: map[net.Conn]bool{},
	}
	w.server = &http.Server{Handler: w, ConnState: func(c net.Conn, s http.ConnState) {
		f.mu.Lock()
		defer f.mu.Unlock()
		switch s {
		case http.StateNew:
			w.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(w.conns, c)
		}
	}}
	f.workers[w.id] = w
	go func() { _ = w.server.Serve(l) }() // ends when the listener is closed
	go w.runEngine()
	go w.beat()
	w.writeEntry()
	return nil
}

// beat writes the worker's entry in each heartbeat.
func (w *worker) beat() {
	for {
		time.Sleep(heartbeat)
		w.fleet.mu.Lock()
		if w.dead {
			w.fleet.mu.Unlock()
			return
		}
		w.writeEntry()
		w.fleet.mu.Unlock()
	}
}

// crash ends the process of a worker: its connections are reset. Another run begins after
// a time, and its entry is removed after three heartbeats.
func (w *worker) crash(d time.Duration) {
	w.dead = true
	w.listener.Close()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok && !w.fleet.unframe {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	for _, r := range w.requests {
		close(r.cut)
	}
	w.requests = nil
	time.AfterFunc(3*heartbeat, func() { w.fleet.world.store.Put("keyed.servers", w.id, nil) })
	time.AfterFunc(d, func() {
		if err := w.fleet.add(); err != nil {
			w.fleet.world.log("no worker: %v", err)
		}
	})
}

func (w *worker) state() string {
	m := w.membership
	switch {
	case m == nil:
		return ""
	case m.state == "joining" && !time.Now().Before(m.readyAt):
		m.state = "ready"
	case m.state == "opening" && !time.Now().Before(m.openAt):
		m.state = "open"
	}
	if m.state == "opening" {
		return "ready"
	}
	return m.state
}

func (w *worker) fields() map[string]any {
	m := map[string]any{"born": w.born, "domain": 1, "staged": []string{w.staged}, "models": []any{}, "stage": "colocated", "group": nil}
	if s := w.state(); s != "" {
		g := w.membership
		m["group"] = map[string]any{"name": g.name, "epoch": g.epoch, "rank": g.rank, "state": s}
		m["models"] = []any{map[string]any{"name": g.model, "version": 1, "adapters": []any{}}}
	}
	return m
}

// writeEntry writes the worker's entry. The fleet's mutex must be held.
func (w *worker) writeEntry() {
	w.entrySeq++
	e := w.fields()
	e["service"], e["address"], e["zone"], e["version"], e["batch-slots"] = service, w.address, zone, "1", batchSlots
	e["state"], e["cold-ms"], e["seq"] = "ready", 0, w.entrySeq
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // can't happen, since the entry holds plain values only
	}
	w.fleet.world.store.Put("keyed.servers", w.id, data)
}

// changed writes the entry, and again after a delay in which the state changes by itself.
func (w *worker) changed(delay time.Duration) {
	w.writeEntry()
	time.AfterFunc(delay+time.Millisecond, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if !w.dead {
			w.writeEntry()
		}
	})
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("X-Instance-Id", w.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /report":
		w.fleet.mu.Lock()
		m := w.fields()
		m["seq"], m["busy"], m["queued"], m["running"], m["kv-used"], m["kv-total"], m["handles"], m["pace"] = w.seq, false, 0, len(w.requests), 0, 2470000, 0, 1.0
		w.fleet.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(m) // a caller that has left asks again
	case "POST /order":
		w.serveOrder(rw, r)
	case "GET /health":
	default:
		w.serveRequest(rw, r)
	}
}

func (w *worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation    string   `json:"operation"`
		Group        string   `json:"group"`
		Epoch        int64    `json:"epoch"`
		Model        string   `json:"model"`
		Members      []string `json:"members"`
		CloseMode    string   `json:"close-mode"`
		Precondition *int64   `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	m, status := w.membership, http.StatusAccepted
	w.state()
	fits := m != nil && m.name == o.Group && m.epoch == o.Epoch
	switch {
	case w.dead:
		return
	case o.Precondition != nil && *o.Precondition != w.seq:
		status = http.StatusConflict
	case o.Operation == "join" && (o.Epoch < w.highestEpoch || fits && !slices.Equal(m.members, o.Members)):
		status = http.StatusPreconditionFailed
	case o.Operation == "join" && fits:
		status = http.StatusOK
	case o.Operation == "join":
		d := warmJoin
		if w.lastModel == o.Model {
			d = hotJoin
		}
		w.cutRequests()
		w.highestEpoch, w.lastModel, w.staged = o.Epoch, o.Model, o.Model
		w.membership = &membership{name: o.Group, epoch: o.Epoch, rank: slices.Index(o.Members, w.id), members: o.Members, model: o.Model, state: "joining", readyAt: time.Now().Add(d)}
		w.seq++
		w.changed(d)
	case !fits:
		status = http.StatusConflict
	case o.Operation == "open" && m.rank == 0 && m.state == "ready":
		m.state, m.openAt = "opening", time.Now().Add(formTime)
		w.seq++
		w.changed(formTime)
	case o.Operation == "open" && (m.state == "open" || m.state == "opening"):
		status = http.StatusOK
	case o.Operation == "close" && m.rank == 0 && (m.state == "open" || m.state == "closing" || m.state == "opening"):
		m.state = "closing"
		if o.CloseMode == "cancel" {
			w.cutRequests()
		}
		if len(w.requests) == 0 {
			m.state = "ready"
		}
		w.seq++
		w.changed(0)
	case o.Operation == "leave":
		w.cutRequests()
		w.membership = nil
		w.seq++
		w.changed(0)
	default:
		status = http.StatusConflict
	}
	w.fleet.world.log("order %s %s epoch %d to %s: %d", o.Operation, o.Group, o.Epoch, w.id, status)
	rw.WriteHeader(status)
}

func (w *worker) cutRequests() {
	for _, r := range w.requests {
		r.notRun = !r.begun
		close(r.cut)
	}
	w.requests = nil
}

// isComplete reports whether all members of the head's group live and are in it.
func (w *worker) isComplete() bool {
	m := w.membership
	if len(m.members) != modelSize {
		return false
	}
	for _, id := range m.members {
		o := w.fleet.workers[id]
		if o == nil || o.dead || o.membership == nil || o.membership.name != m.name || o.membership.epoch != m.epoch || o.state() == "joining" {
			return false
		}
	}
	return true
}

// runEngine reads prompts and writes events until the worker ends.
func (w *worker) runEngine() {
	for range time.Tick(engineTick) {
		w.fleet.mu.Lock()
		if w.dead {
			w.fleet.mu.Unlock()
			return
		}
		w.step(time.Now())
		w.fleet.mu.Unlock()
	}
}

func (w *worker) step(now time.Time) {
	m := w.membership
	if m == nil || m.rank != 0 || len(w.requests) == 0 {
		return
	}
	if !w.isComplete() {
		if m.stalled.IsZero() {
			m.stalled = now
		}
		if now.Sub(m.stalled) > stallTime && m.state != "broken" {
			w.cutRequests()
			m.state = "broken"
			w.changed(0)
		}
		return
	}
	m.stalled = time.Time{}
	reading := 0
	for _, r := range w.requests {
		if r.prompt > 0 {
			reading++
		}
	}
	var left []*request
	for n, r := range w.requests {
		if r.prompt > 0 {
			r.prompt -= tokensPerMs * int(engineTick.Milliseconds()) / reading
			left = append(left, r)
			continue
		}
		if now.Before(r.next) {
			left = append(left, r)
			continue
		}
		if !r.begun {
			r.begun = true
			w.fleet.begun[r.id] = true
			w.fleet.world.log("worker %s begins to run request %s", w.id, r.id)
		}
		if r.deadly && r.sent >= w.fleet.first {
			w.fleet.crashes = append(w.fleet.crashes, now)
			w.fleet.world.log("worker %s crashes as it begins to write on request %s, with %d other requests", w.id, r.id, len(w.requests)-1)
			w.requests = append(left, w.requests[n:]...)
			w.crash(crashedFor)
			return
		}
		r.next = now.Add(eventTime)
		r.sent++
		select {
		case r.events <- r.from + r.sent:
		default:
		}
		if r.from+r.sent >= defaultCount {
			close(r.events)
			continue
		}
		left = append(left, r)
	}
	w.requests = left
	if len(left) == 0 && m.state == "closing" {
		m.state = "ready"
		w.changed(0)
	}
}

// promptOf returns the tokens of a prompt and whether it has a part.
func promptOf(r *http.Request, part string) (tokens int, has bool) {
	text, _, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	tokens, _ = strconv.Atoi(text)
	if part == "" {
		return tokens, false
	}
	for entry := range strings.SplitSeq(r.Header.Get("X-Prefix-Hash"), ",") {
		if id, _, _ := strings.Cut(entry, ":"); id == part {
			return tokens, true
		}
	}
	return tokens, false
}

func (w *worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	h := rw.Header()
	h.Set("X-Request-Id", id)
	f := w.fleet
	f.mu.Lock()
	s := w.state()
	switch {
	case w.membership == nil || w.membership.rank != 0:
		f.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case s != "open" || len(w.requests) >= batchSlots+4:
		f.mu.Unlock()
		h.Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := &request{id: id, events: make(chan int, defaultCount), cut: make(chan struct{})}
	q.prompt, q.deadly = promptOf(r, f.deadly)
	q.from, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.requests = append(w.requests, q)
	f.runs = append(f.runs, run{at: time.Now(), calm: f.world.isCalm(), id: id, worker: w.id, deadly: q.deadly})
	unframed := f.unframe
	f.mu.Unlock()
	f.world.log("worker %s takes request %s, deadly part %v, after event %d", w.id, id, q.deadly, q.from)
	defer w.drop(q)
	h.Set("X-Response-Stamp", "signed."+w.id)
	h.Set("X-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	var first int
	select {
	case <-r.Context().Done():
		return
	case <-q.cut:
		if !q.notRun {
			panic(http.ErrAbortHandler)
		}
		h.Del("X-Response-Stamp")
		h.Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case first = <-q.events:
	}
	write, flush := io.Writer(rw), http.NewResponseController(rw).Flush
	if unframed {
		conn, buffered, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		f.mu.Lock()
		if !w.dead {
			w.conns[conn] = true
		}
		f.mu.Unlock()
		var head bytes.Buffer
		head.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
		_ = h.Write(&head) // a buffer takes all
		head.WriteString("\r\n")
		_, _ = buffered.Write(head.Bytes())
		write, flush = buffered, buffered.Flush
	} else {
		rw.WriteHeader(http.StatusOK)
	}
	for n, more := first, true; more; {
		if _, err := fmt.Fprintf(write, "id: %d\ndata: token %d of %s\n\n", n, n, id); err != nil || flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-q.cut:
			panic(http.ErrAbortHandler)
		case n, more = <-q.events:
		}
	}
}

// drop forgets a request whose sender has left.
func (w *worker) drop(q *request) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.requests = slices.DeleteFunc(w.requests, func(r *request) bool { return r == q })
}

// openHeads returns the number of heads that take requests.
func (f *fleet) openHeads() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		if !w.dead && w.membership != nil && w.membership.rank == 0 && w.state() == "open" {
			n++
		}
	}
	return n
}
