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

// Faults are set as a whole: each call of Inject replaces the ones before.
type Faults struct {
	Crash    bool // once: the process ends, another one starts cold
	TurnCold bool // once: the process is cold again under the same boot ID

	Freeze          bool         // connections are accepted and go silent
	SlowFactor      float64      // multiplies the step time; 0 counts as 1
	Endless         endless.Part // this part of each answer but the state has no end
	Leaving         bool         // the state says that the instance leaves
	LoseOrderAnswer int          // so many orders take effect and lose their answer; -1 is all

	CutStreamAfter int // the connection is cut after so many chunks; 0 never
	SilentAfter    int // the connection goes silent after so many chunks; 0 never
	RepeatChunk    int // the chunk of this number is sent twice; 0 none
	CrossChunk     int // before this chunk comes one of another request; 0 none
	SkipChunk      int // the chunk of this number is not sent; 0 none
	Streams        int // so many streams have the five faults above; 0 is all
}

// Counts is what the stand-in saw, over all of its processes.
type Counts struct {
	Started             map[string]int // by request ID
	Completed           map[string]int // by request ID
	MaxInFlight         int
	ColdOverloads       int
	MemoryOverflows     int
	Crashes             int
	StartedWhileLeaving int
	CutByOrder          int            // requests that an order ended
	CutByPeer           int            // requests that a lost member ended
	StaleOrders         int            // orders obeyed although their fencing number was old
	Orders              []engine.Order // that were obeyed
}

func newCounts() Counts {
	return Counts{Started: make(map[string]int), Completed: make(map[string]int)}
}

func (c *Counts) admitted(id string, inFlight int, leaving bool) {
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

// Inject sets the faults.
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
			p.state.Phase, p.warming = engine.Cold, 0
		}
		p.report()
		p.wake()
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

// streamFaults are the faults of one connection.
type streamFaults struct {
	Faults
	sent int
}

// takeStreamFaults returns the faults of the next stream.
func (w *Worker) takeStreamFaults() *streamFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	taken := &streamFaults{Faults: w.faults}
	if w.faults.Streams == 1 {
		w.faults.CutStreamAfter, w.faults.SilentAfter = 0, 0
		w.faults.RepeatChunk, w.faults.CrossChunk, w.faults.SkipChunk = 0, 0, 0
	}
	if w.faults.Streams > 0 {
		w.faults.Streams--
	}
	return taken
}

// skips reports whether the chunk is left out.
func (f *streamFaults) skips(number int) bool { return number == f.SkipChunk }

// before acts before a chunk is sent.
func (f *streamFaults) before(rw http.ResponseWriter, number int) {
	if number == f.CrossChunk {
		fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", number, `{"id":"another request","choices":[]}`)
	}
}

// after acts after a chunk was sent.
func (f *streamFaults) after(rw http.ResponseWriter, r *http.Request, number int, chunk []byte) {
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
