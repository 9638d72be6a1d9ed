package desk

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake"
	"github.com/chicorystall/chicorystall/internal/fake/endless"
)

// Faults are set as a whole: each call of Inject replaces the ones before. A
// count of -1 stands for all calls.
type Faults struct {
	CrashBeforeRun   int          // so many calls end the process before they run
	CrashAfterRun    int          // so many calls run and then end the process
	LoseAnswers      int          // so many calls run and lose their answer
	SlowMilliseconds int          // added to each call
	Busy             bool         // calls are refused with 503 and do not run
	Endless          endless.Part // this part of each answer has no end
	Freeze           bool         // connections are accepted and go silent
	Leaving          bool         // the instance is listed as leaving
}

// Inject sets the faults.
func (d *Desk) Inject(faults Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
	close(d.changed)
	d.changed = make(chan struct{})
}

// take counts one fault down.
func (d *Desk) take(count *int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}

// crash cuts every connection and refuses new ones for the restart delay.
func (d *Desk) crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return
	}
	d.down = true
	d.counts.Crashes++
	if d.server != nil {
		d.server.Down()
	}
	time.AfterFunc(d.config.RestartDelay, d.restart)
}

func (d *Desk) restart() {
	d.mu.Lock()
	d.down = false
	d.bootID = uuid.NewString()
	server := d.server
	d.mu.Unlock()
	for server != nil && server.Up() != nil {
		// Another socket has the port for the moment.
	}
}

// faulty applies the faults that every call is subject to, and the latency.
func (d *Desk) faulty(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r = r.WithContext(context.WithValue(r.Context(), bootKey{}, d.enter()))
		defer d.leave()
		faults := d.waitThawed(r)
		if faults.Busy {
			w.Header().Set(engine.HeaderNotStarted, "true")
			w.Header().Set("Retry-After", "1")
			http.Error(w, "the service is busy", http.StatusServiceUnavailable)
			return
		}
		if faults.Endless != endless.None {
			// The error is that of a peer that has closed.
			_ = faults.Endless.Answer(w, engine.HeaderRequestID+": "+r.Header.Get(engine.HeaderRequestID)+"\r\n", endless.NoLimit)
			return
		}
		latency := d.config.Latency + time.Duration(faults.SlowMilliseconds)*time.Millisecond
		if latency > 0 {
			time.Sleep(latency) // runs on when the caller is gone
		}
		handle(w, r)
	}
}

func (d *Desk) waitThawed(r *http.Request) Faults {
	for {
		d.mu.Lock()
		faults, changed, down := d.faults, d.changed, d.down
		d.mu.Unlock()
		if down {
			fake.AbortRequest()
		}
		if !faults.Freeze {
			return faults
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			fake.AbortRequest()
		}
	}
}

// bootKey is the context key of the process that received a call.
type bootKey struct{}

func bootOf(r *http.Request) string {
	bootID, _ := r.Context().Value(bootKey{}).(string)
	return bootID
}

// enter returns the boot ID of the process that received the call.
func (d *Desk) enter() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight++
	d.counts.MaxInFlight = max(d.counts.MaxInFlight, d.inFlight)
	return d.bootID
}

func (d *Desk) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
}

func (d *Desk) handleControl(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if fake.ReadJSON(w, r, &faults) {
		d.Inject(faults)
		fake.WriteJSON(w, http.StatusOK, faults)
	}
}

func (d *Desk) handleCounts(w http.ResponseWriter, r *http.Request) {
	fake.WriteJSON(w, http.StatusOK, d.Counts())
}
