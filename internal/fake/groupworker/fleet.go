package groupworker

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake/endless"
	"github.com/chicorystall/chicorystall/internal/fake/metastore"
)

// Times are the durations of the workers' actions, some tens of times shorter than
// those of real workers. Load, Warm and Hot are the durations of a join: when the
// model must be loaded, is staged, or is that of the worker's last group. Form is the
// time from the order to open until the group is open. Stall is how long a stream
// waits for an incomplete group before it is aborted. Event is the time between two
// events of a stream, and Answer that until a plain worker answers.
type Times struct {
	Load, Warm, Hot, Form, Stall, Event, Answer time.Duration
}

// Fleet is a set of workers. Use NewFleet.
type Fleet struct {
	Store *metastore.Store
	Times Times
	Sizes map[string]int // group size by model
	// EndlessBytes is the number of bytes after which an endless answer stops; 0 means
	// that it never stops.
	EndlessBytes int64
	// Slots is the number of requests that a worker states to run at once; 0 means 4.
	Slots int
	// OnArrival, if not nil, is called for each request that reaches a worker. The function
	// that it returns is called when the request has ended there.
	OnArrival func(Arrival) func(Outcome)

	mu               sync.Mutex
	workers          map[string]*Worker
	violations       []string
	endlessCompleted int            // endless answers that were read until they stopped
	runs             map[string]int // by request ID
	closed           chan struct{}
}

// Arrival is a request that reached a worker.
type Arrival struct {
	Worker, Service, Request string
	Ran                      bool // the worker did not reject it
}

// Outcome is how a request ended at a worker.
type Outcome int

// The outcomes.
const (
	BrokenOff Outcome = iota // by the worker
	Canceled                 // by the sender
	Completed
)

// NewFleet returns a fleet without workers, which writes their entries to the store.
func NewFleet(store *metastore.Store, times Times, sizes map[string]int) *Fleet {
	return &Fleet{Store: store, Times: times, Sizes: sizes, workers: map[string]*Worker{}, runs: map[string]int{}, closed: make(chan struct{})}
}

// Worker is one worker of a fleet.
type Worker struct {
	ID, Service, Zone, Domain string

	fleet       *Fleet
	server      *httptest.Server
	startTimeMs int64
	entrySeq    int64 // number of writes of the entry
	orderSeq    int64 // number of orders carried out
	stagedModel string
	lastModel   string // model of the last group joined
	group       *group
	dead        bool
	fault       Fault
	endlessPart endless.Part // used with the faults Endless and EndlessControlAnswer
	served      int          // requests that ran at this worker
	running     int          // requests that run now
	silentUntil time.Time
	limit       string // value of the header Server-Limit in answers to requests; empty for none
}

// Fault is a way in which a worker mishandles requests.
type Fault int

// The faults.
const (
	None    Fault = iota
	Reset         // closes the connection before the answer
	Cut           // closes the connection in the middle of the answer
	Extra         // sends a second copy of each answer
	Silent        // accepts requests and never answers
	Refuse        // answers 503 and does not run the request
	Endless       // sends an answer of which one part never ends
	// EndlessControlAnswer is like Endless, but for the answers to calls for a report and to
	// orders instead of requests.
	EndlessControlAnswer
)

// group is the membership of a worker in a group.
type group struct {
	name     string
	epoch    int64
	rank     int
	members  []string
	model    string
	joinedAt time.Time // when the worker has finished joining
	state    string    // of a head: "", open or closing; see Fleet.state
	openAt   time.Time
}

// Add starts a worker. A worker without a domain is a plain worker.
func (f *Fleet) Add(id, service, zone, domain string) *Worker {
	w := &Worker{ID: id, Service: service, Zone: zone, Domain: domain, fleet: f, startTimeMs: time.Now().UnixMilli()}
	w.server = httptest.NewServer(w)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = w
	f.writeEntry(w)
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

// Kill makes a worker stop answering permanently. Its entry is removed from the
// store, and streams of its group stall.
func (f *Fleet) Kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.dead = true
	f.Store.Put("keyed.servers", id, nil)
}

// SetFault sets the fault that a worker has with each request; None ends it.
func (f *Fleet) SetFault(id string, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].fault = fault
}

// SetLimit makes a worker name the requests per second that it takes in its answers to
// requests, as a decimal number. An empty text ends that.
func (f *Fleet) SetLimit(id, perSecond string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].limit = perSecond
}

// Silence makes a worker send nothing for a while, and then go on. The streams of its group
// stand still meanwhile.
func (f *Fleet) Silence(id string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].silentUntil = time.Now().Add(d)
}

// SetEndlessFault makes a worker send answers of which the part never ends. The fault
// is Endless or EndlessControlAnswer.
func (f *Fleet) SetEndlessFault(id string, fault Fault, part endless.Part) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].fault, f.workers[id].endlessPart = fault, part
}

// EndlessCompleted returns how many endless answers were read up to EndlessBytes.
func (f *Fleet) EndlessCompleted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endlessCompleted
}

// Served returns the number of requests that have run at a worker.
func (f *Fleet) Served(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].served
}

// Violations returns the violations that were recorded.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Runs returns how many times the request with the ID has run, at all workers.
func (f *Fleet) Runs(request string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[request]
}

// OpenHeads returns the IDs of the heads of a model that take requests.
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

// Members returns the members of the group that the head is in, or nil.
func (f *Fleet) Members(head string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g := f.workers[head].group; g != nil {
		return slices.Clone(g.members)
	}
	return nil
}

func (f *Fleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// state returns the state of a worker in its group as the worker reports it, which
// depends on the time. The caller holds the lock.
func (f *Fleet) state(w *Worker) string {
	g := w.group
	switch {
	case g == nil:
		return ""
	case time.Now().Before(g.joinedAt):
		return "joining"
	case g.state == "open" && time.Now().Before(g.openAt):
		return "ready"
	case g.state != "":
		return g.state
	}
	return "ready"
}

// isComplete reports whether all members of a head's group are alive, have finished
// joining it and aren't silent. The caller holds the lock.
func (f *Fleet) isComplete(head *Worker) bool {
	g := head.group
	if len(g.members) != f.Sizes[g.model] {
		return false
	}
	for _, id := range g.members {
		w := f.workers[id]
		if w == nil || w.dead || w.group == nil || w.group.name != g.name || w.group.epoch != g.epoch || f.state(w) == "joining" || time.Now().Before(w.silentUntil) {
			return false
		}
	}
	return true
}

// writeEntry writes a worker's entry to the store. The caller holds the lock.
func (f *Fleet) writeEntry(w *Worker) {
	w.entrySeq++
	entry := map[string]any{
		"service": w.Service, "address": w.server.Listener.Addr().String(), "zone": w.Zone, "version": "v1",
		"batch-slots": cmp.Or(f.Slots, 4), "state": "ready", "cold-ms": 0, "seq": w.entrySeq, "born": w.startTimeMs,
	}
	if w.Domain != "" {
		f.addGroupFields(w, entry)
	}
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // can't happen, since the entry holds plain values only
	}
	f.Store.Put("keyed.servers", w.ID, data)
}

// WriteEntries makes all workers that run write their entries again.
func (f *Fleet) WriteEntries() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if !w.dead {
			f.writeEntry(w)
		}
	}
}

// addGroupFields adds the fields with which a model worker reports its group. The
// caller holds the lock.
func (f *Fleet) addGroupFields(w *Worker, entry map[string]any) {
	entry["domain"], entry["staged"], entry["group"], entry["models"] = w.Domain, []string{}, nil, []any{}
	if w.stagedModel != "" {
		entry["staged"] = []string{w.stagedModel}
	}
	if g := w.group; g != nil {
		entry["group"] = map[string]any{"name": g.name, "epoch": g.epoch, "rank": g.rank, "state": f.state(w)}
		entry["models"] = []any{map[string]any{"name": g.model}}
	}
}
