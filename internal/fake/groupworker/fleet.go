package groupworker

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake/endless"
	"github.com/chicorystall/chicorystall/internal/fake/metastore"
)

// Times of the stand-in, some tens of times shorter than those of real workers.
type Times struct {
	Load, Warm, Hot, Form, Stall, Event time.Duration
}

// Fleet is a set of workers. Use NewFleet.
type Fleet struct {
	Store *metastore.Store
	Times Times
	Sizes map[string]int // by model
	// EndlessBytes is after how many bytes an answer without end stops; 0 never.
	EndlessBytes int64

	mu       sync.Mutex
	workers  map[string]*Worker
	findings []string
	stopped  int            // answers without end that were read until they stopped
	runs     map[string]int // by request
	closed   chan struct{}
}

// NewFleet returns a fleet without workers.
func NewFleet(store *metastore.Store, times Times, sizes map[string]int) *Fleet {
	return &Fleet{Store: store, Times: times, Sizes: sizes, workers: map[string]*Worker{}, runs: map[string]int{}, closed: make(chan struct{})}
}

// Worker is one worker of a fleet.
type Worker struct {
	ID, Service, Zone, Domain string

	fleet  *Fleet
	server *httptest.Server
	born   int64
	seq    int64 // writes of the entry
	orders int64
	staged string
	last   string // model of the last group
	group  *group
	dead   bool
	fault  Fault
	part   endless.Part // of Endless and EndlessControlAnswer
	served int          // requests that ran here
}

// Fault is what a worker does wrong with requests.
type Fault int

// The faults.
const (
	None    Fault = iota
	Reset         // the connection ends before an answer
	Cut           // the answer breaks off in the middle
	Extra         // a second copy of each answer follows
	Silent        // no answer
	Refuse        // 503, not run
	Endless       // a part of the answer has no end
	// EndlessControlAnswer is the same for answers to reports and orders, not to requests.
	EndlessControlAnswer
)

// group is a worker's membership.
type group struct {
	name    string
	epoch   int64
	rank    int
	members []string
	model   string
	ready   time.Time // when joining ends
	state   string    // of a head: "", open, closing
	opens   time.Time
}

// Add starts a worker. Without a domain it is a plain one.
func (f *Fleet) Add(id, service, zone, domain string) *Worker {
	w := &Worker{ID: id, Service: service, Zone: zone, Domain: domain, fleet: f, born: time.Now().UnixMilli()}
	w.server = httptest.NewServer(w)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = w
	f.report(w)
	return w
}

// Close stops all workers.
func (f *Fleet) Close() {
	close(f.closed)
	f.mu.Lock()
	workers := make([]*Worker, 0, len(f.workers))
	for _, w := range f.workers {
		workers = append(workers, w)
	}
	f.mu.Unlock()
	for _, w := range workers {
		w.server.CloseClientConnections()
		w.server.Close()
	}
}

// Kill makes a worker silent for good: it answers nothing, its entry lapses, and
// the group that it was in stands still.
func (f *Fleet) Kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.dead = true
	f.Store.Put("keyed.servers", id, nil)
}

// SetFault makes a worker do something wrong with each request.
func (f *Fleet) SetFault(id string, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].fault = fault
}

// SetEndlessFault makes a worker's answers have a part without end; the fault is
// Endless or EndlessControlAnswer.
func (f *Fleet) SetEndlessFault(id string, fault Fault, part endless.Part) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].fault, f.workers[id].part = fault, part
}

// EndlessCompleted returns how many answers without end were read until EndlessBytes.
func (f *Fleet) EndlessCompleted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped
}

// Served returns how many requests have run at a worker.
func (f *Fleet) Served(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].served
}

// Violations returns what must not have happened.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.findings)
}

// Runs returns how often a request has run.
func (f *Fleet) Runs(request string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[request]
}

// OpenHeads returns the heads that take requests, by model.
func (f *Fleet) OpenHeads(model string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var heads []string
	for id, w := range f.workers {
		if g := w.group; g != nil && g.rank == 0 && g.model == model && f.state(w) == "open" && !w.dead {
			heads = append(heads, id)
		}
	}
	slices.Sort(heads)
	return heads
}

// Members returns the members of the group whose head is given.
func (f *Fleet) Members(head string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g := f.workers[head].group; g != nil {
		return slices.Clone(g.members)
	}
	return nil
}

func (f *Fleet) find(format string, args ...any) {
	f.findings = append(f.findings, fmt.Sprintf(format, args...))
}

// state returns the state of a worker in its group.
func (f *Fleet) state(w *Worker) string {
	g := w.group
	switch {
	case g == nil:
		return ""
	case time.Now().Before(g.ready):
		return "joining"
	case g.state == "open" && time.Now().Before(g.opens):
		return "ready"
	case g.state != "":
		return g.state
	}
	return "ready"
}

// whole reports whether all members of a head's group live and are in it.
func (f *Fleet) whole(head *Worker) bool {
	g := head.group
	if len(g.members) != f.Sizes[g.model] {
		return false
	}
	for _, id := range g.members {
		w := f.workers[id]
		if w == nil || w.dead || w.group == nil || w.group.name != g.name || w.group.epoch != g.epoch || f.state(w) == "joining" {
			return false
		}
	}
	return true
}

// report writes a worker's entry.
func (f *Fleet) report(w *Worker) {
	w.seq++
	entry := map[string]any{
		"service": w.Service, "address": w.server.Listener.Addr().String(), "zone": w.Zone, "version": "v1",
		"batch-slots": 4, "state": "ready", "cold-ms": 0, "seq": w.seq, "born": w.born,
	}
	if w.Domain != "" {
		f.describe(w, entry)
	}
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // the entry holds plain values only
	}
	f.Store.Put("keyed.servers", w.ID, data)
}

// describe adds what model workers report of their group.
func (f *Fleet) describe(w *Worker, entry map[string]any) {
	entry["domain"], entry["staged"], entry["group"], entry["models"] = w.Domain, []string{}, nil, []any{}
	if w.staged != "" {
		entry["staged"] = []string{w.staged}
	}
	if g := w.group; g != nil {
		entry["group"] = map[string]any{"name": g.name, "epoch": g.epoch, "rank": g.rank, "state": f.state(w)}
		entry["models"] = []any{map[string]any{"name": g.model}}
	}
}
