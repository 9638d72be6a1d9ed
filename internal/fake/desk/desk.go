package desk

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake"
	"github.com/chicorystall/chicorystall/internal/platform"
)

const (
	maxBodyBytes        = 1 << 20
	defaultRestartDelay = 200 * time.Millisecond
)

// Config sizes the stand-in. The zero value works.
type Config struct {
	Name         string
	Latency      time.Duration // of each call
	RestartDelay time.Duration // from a crash to the new process; 0 counts as 200 ms
}

// Desk is the stand-in. It serves POST /COLLECTION, GET /COLLECTION/NUMBER and
// its control page. What it has run outlives its crashes.
type Desk struct {
	config Config
	mux    *http.ServeMux
	server *fake.Server

	mu       sync.Mutex
	bootID   string
	down     bool
	faults   Faults
	changed  chan struct{} // closed and replaced when a fault changes
	orders   map[string][]json.RawMessage
	inFlight int
	counts   Counts
}

// Record is one thing that the service made.
type Record struct {
	Number int
	Body   json.RawMessage
}

// Counts is what the stand-in saw.
type Counts struct {
	Runs                map[string]int // by idempotency key
	RunsWithoutKey      int
	MaxInFlight         int
	Crashes             int
	StartedWhileLeaving int
}

// New returns a stand-in that is not served yet.
func New(config Config) *Desk {
	if config.RestartDelay == 0 {
		config.RestartDelay = defaultRestartDelay
	}
	d := &Desk{
		config:  config,
		mux:     http.NewServeMux(),
		bootID:  uuid.NewString(),
		changed: make(chan struct{}),
		orders:  make(map[string][]json.RawMessage),
		counts:  Counts{Runs: make(map[string]int)},
	}
	d.mux.HandleFunc("POST /{collection}", d.faulty(d.handlePost))
	d.mux.HandleFunc("GET /{collection}/{number}", d.faulty(d.handleGet))
	d.mux.HandleFunc("POST /control", d.handleControl)
	d.mux.HandleFunc("GET /control", d.handleCounts)
	return d
}

// Start serves the stand-in at the address until the context ends.
func (d *Desk) Start(ctx context.Context, address string) error {
	server, err := fake.Listen(ctx, address, d)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.server = server
	return nil
}

// Address returns the IP:port that Start listens at.
func (d *Desk) Address() string { return d.server.Address() }

// ServeHTTP serves the service and its control page.
func (d *Desk) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.mux.ServeHTTP(w, r) }

// Counts returns a copy of the counts.
func (d *Desk) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.counts
	counts.Runs = maps.Clone(counts.Runs)
	return counts
}

// Instance fills in what the platform's list tells of the process. It returns
// false while there is none.
func (d *Desk) Instance(instance platform.Instance) (platform.Instance, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	instance.Name, instance.Kind = d.config.Name, platform.Backend
	instance.BootID = d.bootID
	if d.faults.Leaving {
		instance.State = platform.Leaving
	}
	return instance, !d.down
}

func (d *Desk) handlePost(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || !json.Valid(body) {
		w.Header().Set(engine.HeaderNotStarted, "true")
		http.Error(w, "the body is not JSON", http.StatusBadRequest)
		return
	}
	if d.take(&d.faults.CrashBeforeRun) {
		d.crash()
		fake.AbortRequest()
	}
	record, ok := d.run(r, body)
	if !ok {
		fake.AbortRequest()
	}
	if d.take(&d.faults.CrashAfterRun) {
		d.crash()
		fake.AbortRequest()
	}
	if d.take(&d.faults.LoseAnswers) {
		fake.AbortRequest()
	}
	fake.WriteJSON(w, http.StatusCreated, record)
}

// run is what must not happen twice for one key. It does nothing when the
// process that received the call has crashed since.
func (d *Desk) run(r *http.Request, body []byte) (Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down || bootOf(r) != d.bootID {
		return Record{}, false
	}
	if key := r.Header.Get(engine.HeaderIdempotencyKey); key == "" {
		d.counts.RunsWithoutKey++
	} else {
		d.counts.Runs[key]++
	}
	if d.faults.Leaving {
		d.counts.StartedWhileLeaving++
	}
	collection := r.PathValue("collection")
	d.orders[collection] = append(d.orders[collection], body)
	return Record{Number: len(d.orders[collection]), Body: body}, true
}

func (d *Desk) handleGet(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.Atoi(r.PathValue("number"))
	d.mu.Lock()
	orders := d.orders[r.PathValue("collection")]
	d.mu.Unlock()
	if err != nil || number < 1 || number > len(orders) {
		http.NotFound(w, r)
		return
	}
	fake.WriteJSON(w, http.StatusOK, Record{Number: number, Body: orders[number-1]})
}
