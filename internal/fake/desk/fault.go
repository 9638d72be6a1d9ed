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

// Faults are the faults of the stand-in. Each call of Inject replaces all of them. A
// count of -1 means all calls.
type Faults struct {
	CrashBeforeRun   int          // number of calls that crash the process before they run
	CrashAfterRun    int          // number of calls that run and then crash the process
	LoseAnswers      int          // number of calls that run but get no answer
	SlowMilliseconds int          // delay added to each call
	Busy             bool         // calls are refused with status 503 and do not run
	Endless          endless.Part // part of each answer that never ends
	Freeze           bool         // connections are accepted but calls get no answer
	Leaving          bool         // the instance is listed as leaving
}

// Inject replaces the faults.
func (d *Desk) Inject(faults Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
	close(d.changed)
	d.changed = make(chan struct{})
}

// consumeFault reports whether the fault with the count applies to the current call,
// and decrements the count unless it means all calls.
func (d *Desk) consumeFault(count *int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}

// crash closes every connection and refuses new ones until the restart delay is over.
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

// restart starts a new process with a new boot ID.
func (d *Desk) restart() {
	d.mu.Lock()
	d.down = false
	d.bootID = uuid.NewString()
	server := d.server
	d.mu.Unlock()
	for server != nil && server.Up() != nil {
		// Another socket uses the port at the moment.
	}
}

// withFaults returns a handler that applies the latency and the faults which affect
// every call.
func (d *Desk) withFaults(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r = r.WithContext(context.WithValue(r.Context(), bootIDKey{}, d.beginCall()))
		defer d.endCall()
		faults := d.waitUntilUnfrozen(r)
		if faults.Busy {
			w.Header().Set(engine.HeaderNotStarted, "true")
			w.Header().Set("Retry-After", "1")
			http.Error(w, "service is busy", http.StatusServiceUnavailable)
			return
		}
		if faults.Endless != endless.None {
			// An error means that the caller closed the connection.
			_ = faults.Endless.Answer(w, engine.HeaderRequestID+": "+r.Header.Get(engine.HeaderRequestID)+"\r\n", endless.NoLimit)
			return
		}
		latency := d.config.Latency + time.Duration(faults.SlowMilliseconds)*time.Millisecond
		if latency > 0 {
			time.Sleep(latency) // not canceled when the caller disconnects, so the call still runs
		}
		handle(w, r)
	}
}

// waitUntilUnfrozen waits while the stand-in is frozen, and returns the faults in
// force. It closes the connection if the process is down or the caller disconnects.
func (d *Desk) waitUntilUnfrozen(r *http.Request) Faults {
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

// bootIDKey is the context key for the boot ID of the process that received a call.
type bootIDKey struct{}

// receivingBootID returns the boot ID of the process that received the call.
func receivingBootID(r *http.Request) string {
	bootID, _ := r.Context().Value(bootIDKey{}).(string)
	return bootID
}

// beginCall counts a call in flight and returns the boot ID of the current process.
func (d *Desk) beginCall() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight++
	d.counts.MaxInFlight = max(d.counts.MaxInFlight, d.inFlight)
	return d.bootID
}

func (d *Desk) endCall() {
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
