package worker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake"
	"github.com/chicorystall/chicorystall/internal/fake/endless"
)

// Worker is the stand-in. Its handler may be served by any HTTP server; Start
// serves it so that a crash refuses connections.
type Worker struct {
	config Config
	mux    *http.ServeMux
	server *fake.Server

	mu      sync.Mutex
	process *process // nil between a crash and the new process
	faults  Faults
	changed chan struct{} // closed and replaced when a fault changes
	counts  Counts
	closed  bool
}

// New returns a stand-in whose process runs until Close, or until the context
// given to Start ends.
func New(config Config) *Worker {
	w := &Worker{
		config:  config.withDefaults(),
		mux:     http.NewServeMux(),
		changed: make(chan struct{}),
		counts:  newCounts(),
	}
	w.process = w.newProcess(config.Warm)
	w.handle("POST "+engine.ChatPath, w.handleChat)
	w.handle("POST "+engine.CompletionPath, w.handleCompletion)
	w.handle("GET "+engine.StreamPath+"{id}", w.handleResume)
	w.handle("DELETE "+engine.StreamPath+"{id}", w.handleCancel)
	w.handle("GET "+engine.StatePath, w.handleState)
	w.handle("POST "+engine.OrderPath, w.handleOrder)
	w.handle("GET "+engine.CacheEventsPath, w.handleCacheEvents)
	w.handle("POST "+engine.ExportPath, w.handleExport)
	w.handle("POST "+engine.ImportPath, w.handleImport)
	w.mux.HandleFunc("POST /control", w.handleControl)
	w.mux.HandleFunc("GET /control", w.handleCounts)
	return w
}

// Start serves the stand-in at the address until the context ends.
func (w *Worker) Start(ctx context.Context, address string) error {
	server, err := fake.Listen(ctx, address, w)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.server = server
	w.mu.Unlock()
	context.AfterFunc(ctx, w.Close)
	return nil
}

// Close ends the process for good.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.stopProcess()
}

// Address returns the IP:port that Start listens at.
func (w *Worker) Address() string { return w.server.Address() }

// ServeHTTP serves the engine's protocol and the control page.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

// handler serves a request in the process that received it.
type handler func(p *process, rw http.ResponseWriter, r *http.Request)

// handle registers a handler that is subject to crashes and freezes.
func (w *Worker) handle(pattern string, h handler) {
	w.mux.HandleFunc(pattern, func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		p := w.process
		w.mu.Unlock()
		if p == nil || !w.waitThawed(p, r) {
			fake.AbortRequest()
		}
		if part := w.endless(); part != endless.None && r.URL.Path != engine.StatePath {
			// The error is that of a peer that has closed.
			_ = part.Answer(rw, engine.HeaderRequestID+": "+r.Header.Get(engine.HeaderRequestID)+"\r\n", endless.NoLimit)
			return
		}
		h(p, rw, r)
	})
}

func (w *Worker) endless() endless.Part {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.Endless
}

// waitThawed returns false when the process or the request ends first.
func (w *Worker) waitThawed(p *process, r *http.Request) bool {
	for {
		w.mu.Lock()
		frozen, changed := w.faults.Freeze, w.changed
		w.mu.Unlock()
		if !frozen {
			return p.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-p.ctx.Done():
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

// crash ends the process and its connections; another one starts cold after a
// delay. The caller holds the lock.
func (w *Worker) crash() {
	if w.process == nil || w.closed {
		return
	}
	w.counts.Crashes++
	w.stopProcess()
	server := w.server
	if server != nil {
		server.Down()
	}
	time.AfterFunc(w.config.RestartDelay, func() { w.restart(server) })
}

func (w *Worker) restart(server *fake.Server) {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.process = w.newProcess(false)
	w.mu.Unlock()
	for server != nil && server.Up() != nil {
		// Another socket has the port for the moment.
	}
}

func (w *Worker) stopProcess() {
	if w.process != nil {
		w.process.cancel()
		w.process = nil
	}
}
