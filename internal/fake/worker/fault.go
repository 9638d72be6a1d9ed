package worker

import (
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake"
	"github.com/chicorystall/chicorystall/internal/fake/endless"
)

// Faults are the faults of the stand-in. Each call of Inject replaces all of them.
type Faults struct {
	Crash    bool // applies once: the process crashes and a new one starts cold
	TurnCold bool // applies once: the process becomes cold again and keeps its boot ID

	Freeze          bool         // connections are accepted but calls get no answer
	SlowFactor      float64      // multiplies the duration of a step; 0 means 1
	Endless         endless.Part // part of each answer that never ends, except of answers to reads of the state
	Leaving         bool         // the instance is reported as leaving
	LoseOrderAnswer int          // number of orders that take effect but get no answer; -1 means all

	CutStreamAfter int // closes the connection after this number of chunks; 0 means never
	SilentAfter    int // sends nothing more after this number of chunks; 0 means never
	RepeatChunk    int // number of the chunk that is sent twice; 0 means none
	CrossChunk     int // number of the chunk before which a chunk of another request is sent; 0 means none
	SkipChunk      int // number of the chunk that is not sent; 0 means none
	Streams        int // number of streams to which the five faults above apply; 0 means all
}

// Counts are the counters of the stand-in, over all of its processes.
type Counts struct {
	Started             map[string]int // by request ID
	Completed           map[string]int // by request ID
	MaxInFlight         int
	ColdOverloads       int
	MemoryOverflows     int
	Crashes             int
	StartedWhileLeaving int
	CutByOrder          int            // requests aborted by an order
	CutByPeer           int            // requests aborted because another member of the group was lost
	StaleOrders         int            // orders carried out despite an outdated fencing number
	Orders              []engine.Order // orders carried out, up to maxOrdersKept
}

func newCounts() Counts {
	return Counts{Started: make(map[string]int), Completed: make(map[string]int)}
}

func (c *Counts) countAdmission(id string, inFlight int, leaving bool) {
	c.Started[id]++
	c.MaxInFlight = max(c.MaxInFlight, inFlight)
	if leaving {
		c.StartedWhileLeaving++
	}
}

// Counts returns a copy of the counts.
func (w *Worker) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := w.counts
	counts.Started = maps.Clone(counts.Started)
	counts.Completed = maps.Clone(counts.Completed)
	counts.Orders = slices.Clone(counts.Orders)
	return counts
}

// Inject replaces the faults.
func (w *Worker) Inject(faults Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	crash, turnCold := faults.Crash, faults.TurnCold
	faults.Crash, faults.TurnCold = false, false
	w.faults = faults
	close(w.changed)
	w.changed = make(chan struct{})
	if p := w.process; p != nil {
		if turnCold && p.state.Phase == engine.Warm {
			p.state.Phase, p.completedWhileCold = engine.Cold, 0
		}
		p.recordState()
		p.wakeBatchLoop()
	}
	if crash {
		w.crash()
	}
}

func (w *Worker) handleControl(rw http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !fake.ReadJSON(rw, r, &faults) {
		return
	}
	fake.WriteJSON(rw, http.StatusOK, faults)
	http.NewResponseController(rw).Flush()
	w.Inject(faults)
}

func (w *Worker) handleCounts(rw http.ResponseWriter, r *http.Request) {
	fake.WriteJSON(rw, http.StatusOK, w.Counts())
}

// streamFaults are the faults of one stream.
type streamFaults struct {
	Faults
	sent int // number of chunks sent
}

// nextStreamFaults returns the faults of a new stream, and counts it against
// Faults.Streams.
func (w *Worker) nextStreamFaults() *streamFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := &streamFaults{Faults: w.faults}
	if w.faults.Streams == 1 {
		w.faults.CutStreamAfter, w.faults.SilentAfter = 0, 0
		w.faults.RepeatChunk, w.faults.CrossChunk, w.faults.SkipChunk = 0, 0, 0
	}
	if w.faults.Streams > 0 {
		w.faults.Streams--
	}
	return next
}

// skips reports whether the chunk is not sent.
func (f *streamFaults) skips(number int) bool { return number == f.SkipChunk }

// sendBefore sends a chunk of another request if the fault CrossChunk requires it before
// the chunk.
func (f *streamFaults) sendBefore(rw http.ResponseWriter, number int) {
	if number == f.CrossChunk {
		fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", number, `{"id":"another request","choices":[]}`)
	}
}

// applyAfter applies the faults that take effect after a chunk is sent.
func (f *streamFaults) applyAfter(rw http.ResponseWriter, r *http.Request, number int, chunk []byte) {
	f.sent++
	if number == f.RepeatChunk {
		fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", number, chunk)
		http.NewResponseController(rw).Flush()
	}
	if f.sent == f.CutStreamAfter {
		fake.AbortRequest()
	}
	if f.sent == f.SilentAfter {
		<-r.Context().Done()
		fake.AbortRequest()
	}
}
