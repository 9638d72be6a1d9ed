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

// Config configures the stand-in. The zero value is usable.
type Config struct {
	Name         string
	Latency      time.Duration // of each call
	RestartDelay time.Duration // time from a crash to the new process; 0 means 200 ms
}

// Desk is the stand-in. It serves POST /COLLECTION, GET /COLLECTION/NUMBER and the
// control endpoint. Its records and counts survive simulated crashes.
type Desk struct {
	config Config
	mux    *http.ServeMux
	server *fake.Server

	mu       sync.Mutex
	bootID   string
	down     bool
	faults   Faults
	changed  chan struct{} // closed and replaced when the faults change
	records  map[string][]json.RawMessage
	inFlight int
	counts   Counts
}

// Record is one record that the service created.
type Record struct {
	Number int
	Body   json.RawMessage
}

// Counts are the counters of the stand-in, over all of its processes.
type Counts struct {
	Runs                map[string]int // by idempotency key
	RunsWithoutKey      int
	MaxInFlight         int
	Crashes             int
	StartedWhileLeaving int
}

// New returns a stand-in that is not yet served.
func New(config Config) *Desk {
	if config.RestartDelay == 0 {
		config.RestartDelay = defaultRestartDelay
	}
	d := &Desk{
		config:  config,
		mux:     http.NewServeMux(),
		bootID:  uuid.NewString(),
		changed: make(chan struct{}),
		records: make(map[string][]json.RawMessage),
		counts:  Counts{Runs: make(map[string]int)},
	}
	d.mux.HandleFunc("POST /{collection}", d.withFaults(d.handlePost))
	d.mux.HandleFunc("GET /{collection}/{number}", d.withFaults(d.handleGet))
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

// Address returns the IP:port at which the stand-in listens after Start.
func (d *Desk) Address() string { return d.server.Address() }

// ServeHTTP serves the service and the control endpoint.
func (d *Desk) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.mux.ServeHTTP(w, r) }

// Counts returns a copy of the counts.
func (d *Desk) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.counts
	counts.Runs = maps.Clone(counts.Runs)
	return counts
}

// Instance completes the instance with the fields that the platform lists about the
// process. It returns false while no process runs.
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
		http.Error(w, "request body is not valid JSON", http.StatusBadRequest)
		return
	}
	if d.consumeFault(&d.faults.CrashBeforeRun) {
		d.crash()
		fake.AbortRequest()
	}
	record, ok := d.run(r, body)
	if !ok {
		fake.AbortRequest()
	}
	if d.consumeFault(&d.faults.CrashAfterRun) {
		d.crash()
		fake.AbortRequest()
	}
	if d.consumeFault(&d.faults.LoseAnswers) {
		fake.AbortRequest()
	}
	fake.WriteJSON(w, http.StatusCreated, record)
}

// run counts the run of a call and stores its record; the system under test must
// prevent a second run for the same key. It returns false and does nothing if the
// process that received the call has crashed since.
func (d *Desk) run(r *http.Request, body []byte) (Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down || receivingBootID(r) != d.bootID {
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
	d.records[collection] = append(d.records[collection], body)
	return Record{Number: len(d.records[collection]), Body: body}, true
}

func (d *Desk) handleGet(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.Atoi(r.PathValue("number"))
	d.mu.Lock()
	records := d.records[r.PathValue("collection")]
	d.mu.Unlock()
	if err != nil || number < 1 || number > len(records) {
		http.NotFound(w, r)
		return
	}
	fake.WriteJSON(w, http.StatusOK, Record{Number: number, Body: records[number-1]})
}
