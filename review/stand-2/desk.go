package stand2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Desk is a set of workers of the plain service.
type Desk struct {
	Record *Record
	Work   time.Duration // time of each request
	// Handle, if not nil, handles a request instead of a sound worker. It returns false to
	// leave it to that.
	Handle func(worker string, rw http.ResponseWriter, r *http.Request) bool
	// OnRun is called when a worker begins to work on a request.
	OnRun func(worker string, r *http.Request)

	mu      sync.Mutex
	workers []*deskWorker
	put     func(id string, entry []byte)
	done    chan struct{}
}

const deskSlots = 6

type deskWorker struct {
	desk              *Desk
	id, address, zone string
	server            *http.Server
	born              time.Time
	seq               int
	running           int
}

// StartDesk starts workers of the plain service in a zone.
func (d *Deployment) StartDesk(s *Desk, n int, zone string) error {
	s.put = func(id string, entry []byte) { d.Store.Put(topicWorkers, id, entry) }
	s.done = make(chan struct{})
	for i := range n {
		w := &deskWorker{desk: s, id: fmt.Sprintf("i-%08x", 0x02d9e600+i), zone: zone, born: time.Now()}
		listener, err := net.Listen("tcp4", d.IP(200+i)+":0")
		if err != nil {
			return err
		}
		w.address = listener.Addr().String()
		w.server = &http.Server{Handler: w, IdleTimeout: 5 * time.Second}
		go w.server.Serve(listener)
		s.workers = append(s.workers, w)
		w.write()
	}
	go func() {
		ticker := time.NewTicker(Heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-s.done:
				return
			case <-ticker.C:
			}
			for _, w := range s.workers {
				w.write()
			}
		}
	}()
	return nil
}

// Close stops the workers.
func (s *Desk) Close() {
	close(s.done)
	for _, w := range s.workers {
		w.server.Close()
	}
}

func (w *deskWorker) write() {
	w.desk.mu.Lock()
	defer w.desk.mu.Unlock()
	w.seq++
	data, err := json.Marshal(map[string]any{
		"service": "atelier-desk", "address": w.address, "zone": w.zone, "version": "v1", "batch-slots": deskSlots, "state": "ready",
		"cold-ms": 0, "seq": w.seq, "born": w.born.UnixMilli(),
	})
	if err != nil {
		panic(err) // plain values only
	}
	w.desk.put(w.id, data)
}

// ServeHTTP implements http.Handler.
func (w *deskWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h := rw.Header()
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		h.Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", w.id)
		return
	}
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if s := w.desk; s.Handle != nil && s.Handle(w.id, rw, r) {
		return
	}
	s := w.desk
	s.mu.Lock()
	runs := w.running < deskSlots
	if runs {
		w.running++
	}
	s.mu.Unlock()
	if !runs {
		h.Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.OnRun != nil {
		s.OnRun(w.id, r)
	}
	time.Sleep(s.Work)
	s.mu.Lock()
	w.running--
	s.mu.Unlock()
	h.Set("X-Response-Stamp", "3e1b.07.5a2.600.0."+w.id)
	fmt.Fprintf(rw, "done %s\n", r.Header.Get("X-Request-Id"))
}
