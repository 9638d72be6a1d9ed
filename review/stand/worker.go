package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// modelSize is the number of workers in a group.
const modelSize = 3

// Slots of a group and of a plain worker.
const (
	modelSlots = 26
	plainSlots = 6
)

// Times of the model workers, some of them shorter than those of real ones.
const (
	loadTime = 400 * time.Millisecond // a join that loads the weights
	hotTime  = 200 * time.Millisecond // a join of the model that the worker had last
	openTime = 300 * time.Millisecond
)

// worker is a stand-in of a worker, a plain one if it has no domain.
type worker struct {
	id, service, domain, address string
	born                         int64
	fleet                        *fleet

	// The fields below are guarded by fleet.mu.
	entrySeq, orderSeq int64
	seenEpoch          int64 // highest epoch of a join in this life
	down               bool  // its process is not there
	leaving            bool  // it says so in all its answers and in its entry
	staged             string
	group              *membership
}

type membership struct {
	name     string
	epoch    int64
	rank     int
	members  []string
	model    string
	joinedAt time.Time
	opened   bool
	openAt   time.Time
	closing  bool
}

// fleet is all workers of a case.
type fleet struct {
	env *env
	// answer answers a request that the worker runs.
	answer func(w *worker, rw http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	workers map[string]*worker
	runs    map[string]int // by request ID
	// holdsBack, if not nil, reports whether an order that fits is left unanswered, to be carried
	// out later with carryOutLate. It is called with the lock held.
	holdsBack func(w *worker, o order) bool
	broken    []string // rules broken by what the workers saw
}

func newFleet(e *env, answer func(w *worker, rw http.ResponseWriter, r *http.Request)) *fleet {
	return &fleet{env: e, answer: answer, workers: map[string]*worker{}, runs: map[string]int{}}
}

// add starts a worker.
func (f *fleet) add(id, service, domain string) (*worker, error) {
	w := &worker{id: id, service: service, domain: domain, born: time.Now().UnixMilli(), fleet: f}
	address, err := f.env.serve(f.env.ip(100+len(f.workers)), w)
	if err != nil {
		return nil, err
	}
	w.address = address
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = w
	return w, f.writeEntry(w)
}

// heartbeat writes all entries every interval until the case ends.
func (f *fleet) heartbeat(interval time.Duration) {
	for {
		time.Sleep(interval)
		f.mu.Lock()
		for _, w := range f.workers {
			if err := f.writeEntry(w); err != nil {
				f.env.record("entry of %s: %v", w.id, err)
			}
		}
		f.mu.Unlock()
	}
}

// restart starts a worker again under its ID and at its address, after it was away for a while.
func (w *worker) restart(away time.Duration) error {
	f := w.fleet
	f.mu.Lock()
	w.down = true
	f.mu.Unlock()
	f.env.record("worker %s ends", w.id)
	time.Sleep(away)
	f.mu.Lock()
	defer f.mu.Unlock()
	w.down, w.born, w.orderSeq, w.seenEpoch, w.group = false, time.Now().UnixMilli(), 0, 0, nil
	f.env.record("worker %s starts again", w.id)
	return f.writeEntry(w)
}

// leave makes a worker say that it leaves. Its next entry says so too.
func (w *worker) leave() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.leaving = true
	w.fleet.env.record("worker %s begins to leave", w.id)
}

// replaceInPlace stops a worker as planned and starts it again under its ID: its answers say that it
// leaves, its next entry says that it drains, it goes on serving for a while, ends, and comes back.
func (w *worker) replaceInPlace(serving, away time.Duration) error {
	f := w.fleet
	w.leave()
	time.Sleep(heartbeat / 2) // until its next entry, on average
	f.mu.Lock()
	err := f.writeEntry(w)
	f.mu.Unlock()
	if err != nil {
		return err
	}
	time.Sleep(serving)
	f.mu.Lock()
	w.down, w.leaving = true, false
	f.env.store.Put("keyed.servers", w.id, nil)
	f.mu.Unlock()
	return w.restart(away)
}

// timesRun returns how often a request has begun to run, at all workers.
func (f *fleet) timesRun(request string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[request]
}

// state returns a worker's state in its group. The caller holds the lock.
func (w *worker) state() string {
	g, now := w.group, time.Now()
	switch {
	case now.Before(g.joinedAt):
		return "joining"
	case g.closing:
		return "closing"
	case g.opened && !now.Before(g.openAt):
		return "open"
	}
	return "ready"
}

// statement is what a worker says about itself. The caller holds the lock.
func (w *worker) statement() map[string]any {
	s := map[string]any{"stage": "colocated", "models": []any{}, "staged": []string{}, "group": nil, "domain": w.domain, "born": w.born, "busy": false}
	if w.staged != "" {
		s["staged"] = []string{w.staged}
	}
	if g := w.group; g != nil {
		s["models"] = []any{map[string]any{"name": g.model, "version": 1, "adapters": []string{}}}
		s["group"] = map[string]any{"name": g.name, "epoch": g.epoch, "rank": g.rank, "state": w.state()}
	}
	return s
}

// writeEntry writes a worker's entry in the store, if the store is there. The caller holds the lock.
func (f *fleet) writeEntry(w *worker) error {
	if w.down || f.env.storeDown.Load() {
		return nil // the next heartbeat writes it
	}
	w.entrySeq++
	s := map[string]any{}
	if w.domain != "" {
		s = w.statement()
	}
	s["service"], s["address"], s["zone"], s["version"], s["state"] = w.service, w.address, zone, "v1", "ready"
	s["batch-slots"], s["cold-ms"], s["seq"], s["born"] = plainSlots, 0, w.entrySeq, w.born
	if w.domain != "" {
		s["batch-slots"] = modelSlots
	}
	if w.leaving {
		s["state"] = "draining"
	}
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	f.env.store.Put("keyed.servers", w.id, data)
	return nil
}

// writeEntryAfter writes a worker's entry when its state has changed without an order.
func (f *fleet) writeEntryAfter(w *worker, d time.Duration) {
	time.AfterFunc(d+time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := f.writeEntry(w); err != nil {
			f.env.record("entry of %s: %v", w.id, err)
		}
	})
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.fleet.mu.Lock()
	down := w.down
	w.fleet.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	rw = &answerWriter{ResponseWriter: rw, worker: w}
	rw.Header().Set("X-Instance-Id", w.id)
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		rw.Header().Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.turnAway(rw, http.StatusMisdirectedRequest)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /health":
		return
	case "GET /report":
		w.fleet.mu.Lock()
		s := w.statement()
		s["seq"] = w.orderSeq
		w.fleet.mu.Unlock()
		writeJSON(rw, s)
		return
	case "POST /order":
		w.serveOrder(rw, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	switch status := w.admit(id); {
	case id == "":
		w.turnAway(rw, http.StatusBadRequest)
	case status != http.StatusOK:
		w.turnAway(rw, status)
	default:
		w.fleet.env.record("worker %s runs %s, time budget %s ms", w.id, id, r.Header.Get("X-Deadline-Ms"))
		rw.Header().Set("X-Response-Stamp", "stamp-of-"+w.id)
		w.fleet.answer(w, rw, r)
	}
}

// answerWriter adds to an answer that its worker leaves, if it does so when the answer begins.
type answerWriter struct {
	http.ResponseWriter
	worker *worker
	begun  bool
}

// WriteHeader implements http.ResponseWriter.
func (a *answerWriter) WriteHeader(status int) {
	a.worker.fleet.mu.Lock()
	defer a.worker.fleet.mu.Unlock()
	if a.begun = true; a.worker.leaving {
		a.Header().Set("Server-Leaving", "1")
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (a *answerWriter) Write(data []byte) (int, error) {
	if !a.begun {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(data)
}

// Unwrap is used by http.ResponseController.
func (a *answerWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func writeJSON(rw http.ResponseWriter, body any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body) // a caller that has left asks again
}

// turnAway answers a request that the worker doesn't run.
func (w *worker) turnAway(rw http.ResponseWriter, status int) {
	rw.Header().Set("X-Not-Run", "1")
	rw.WriteHeader(status)
}

// admit decides whether a request runs, and counts it if so.
func (w *worker) admit(id string) int {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.domain != "" {
		if w.group == nil || w.group.rank != 0 {
			return http.StatusMisdirectedRequest
		}
		if w.state() != "open" {
			return http.StatusServiceUnavailable
		}
	}
	w.fleet.runs[id]++
	return http.StatusOK
}

type order struct {
	Operation    string   `json:"operation"`
	Group        string   `json:"group"`
	Epoch        int64    `json:"epoch"`
	Model        string   `json:"model"`
	Members      []string `json:"members"`
	Precondition *int64   `json:"precondition"`
}

func (w *worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	f := w.fleet
	f.mu.Lock()
	heldBack := f.holdsBack != nil && (o.Precondition == nil || *o.Precondition == w.orderSeq) && f.holdsBack(w, o)
	status := 0
	if !heldBack {
		status = w.carryOutAndReport(o)
	}
	f.mu.Unlock()
	if heldBack {
		f.env.record("worker %s: order %s %s, epoch %d, precondition %d: no answer", w.id, o.Operation, o.Group, o.Epoch, *o.Precondition)
		<-r.Context().Done()
		return
	}
	rw.WriteHeader(status)
}

// carryOutLate carries out an order that was held back, after newer orders. Its precondition held
// when it arrived. The caller holds the lock.
func (w *worker) carryOutLate(o order) {
	o.Precondition = nil
	w.fleet.env.record("worker %s: order %s %s, epoch %d, is carried out late", w.id, o.Operation, o.Group, o.Epoch)
	w.carryOutAndReport(o)
}

// carryOutAndReport carries out an order, writes the worker's entry if that changed it, and returns
// the status of the answer. The caller holds the lock.
func (w *worker) carryOutAndReport(o order) int {
	f := w.fleet
	status := w.carryOut(o)
	f.env.record("worker %s: order %s %s, epoch %d: %s", w.id, o.Operation, o.Group, o.Epoch, strconv.Itoa(status))
	if status < http.StatusMultipleChoices {
		if err := f.writeEntry(w); err != nil {
			f.env.record("entry of %s: %v", w.id, err)
		}
	}
	return status
}

// carryOut carries out an order and returns the status of the answer. The caller holds the
// lock.
func (w *worker) carryOut(o order) int {
	g := w.group
	switch {
	case o.Precondition != nil && *o.Precondition != w.orderSeq:
		return http.StatusConflict
	case o.Operation == "join":
		return w.join(o)
	case g == nil || g.name != o.Group || g.epoch != o.Epoch:
		return http.StatusConflict
	}
	switch {
	case o.Operation == "open" && g.rank == 0 && w.state() == "ready":
		if g.opened {
			return http.StatusOK
		}
		g.opened, g.openAt = true, time.Now().Add(openTime)
		w.fleet.writeEntryAfter(w, openTime)
	case o.Operation == "close" && g.rank == 0 && g.opened:
		g.opened, g.closing = false, false
	case o.Operation == "leave":
		w.group = nil
		w.orderSeq++
		return http.StatusOK
	default:
		return http.StatusConflict
	}
	w.orderSeq++
	return http.StatusAccepted
}

// checkLeftGroup notes that a worker joins another group while the head of its group serves. The
// caller holds the lock.
func (w *worker) checkLeftGroup(o order) {
	g := w.group
	if g == nil {
		return
	}
	head := w.fleet.workers[g.members[0]]
	if head == nil || head.down || head.group == nil || head.group.name != g.name || head.group.epoch != g.epoch || !head.group.opened {
		return
	}
	w.fleet.broken = append(w.fleet.broken, fmt.Sprintf("TWO: worker %s joined group %s, epoch %d, while head %s of its group %s, epoch %d, was open", w.id, o.Group, o.Epoch, head.id, g.name, g.epoch))
}

func (w *worker) join(o order) int {
	if g := w.group; g != nil {
		same := g.name == o.Group && g.epoch == o.Epoch
		switch {
		case same && !slices.Equal(g.members, o.Members):
			return http.StatusPreconditionFailed
		case same:
			return http.StatusOK
		}
	}
	if o.Epoch < w.seenEpoch {
		return http.StatusPreconditionFailed
	}
	w.checkLeftGroup(o)
	w.seenEpoch = o.Epoch
	d := loadTime
	if w.staged == o.Model {
		d = hotTime
	}
	w.group = &membership{
		name: o.Group, epoch: o.Epoch, rank: slices.Index(o.Members, w.id), members: o.Members, model: o.Model, joinedAt: time.Now().Add(d),
	}
	w.staged = o.Model
	w.orderSeq++
	w.fleet.writeEntryAfter(w, d)
	return http.StatusAccepted
}
