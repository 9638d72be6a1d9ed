package platform

import (
	"fmt"
	"net/http"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake"
	wire "github.com/chicorystall/chicorystall/internal/platform"
)

//go:generate go tool stringer -type=Outage

// Outage is the way in which calls fail while the platform is down.
type Outage int

// Kinds of outages. The control endpoint keeps working in all but Refuse.
const (
	None   Outage = iota
	Busy          // calls are answered with status 503 at once and have no effect
	Refuse        // connections are refused; requires that Start was called
	Hang          // calls are never answered
)

// Faults are the faults of the stand-in. Each call of Inject replaces all of them.
type Faults struct {
	Outage              Outage
	OutageMilliseconds  int      // duration of the outage; 0 lasts until the next call of Inject
	LoseAnswers         int      // number of appends that take effect but get no answer; -1 means all
	SlowMilliseconds    int      // delay added to each call
	KeepEntries         int      // additional limit on the entries retained in each stream; 0 sets none
	MarkLeaving         []string // names of instances to list as leaving
	MarkGone            []string // names of instances to list as gone
	AddListMilliseconds int      // added to the lag of the instance list
	LoseRegistrations   bool     // registrations are answered but ignored
}

// Inject replaces the faults.
func (p *Platform) Inject(faults Faults) {
	p.mu.Lock()
	p.faults = faults
	p.injectCalls++
	call := p.injectCalls
	p.setStates(faults.MarkLeaving, wire.Leaving)
	p.setStates(faults.MarkGone, wire.Gone)
	server := p.server
	p.wakeReaders()
	p.mu.Unlock()

	if server == nil {
		return
	}
	if faults.Outage == Refuse {
		server.Down()
	} else {
		server.Up()
	}
	if faults.Outage != None && faults.OutageMilliseconds > 0 {
		time.AfterFunc(time.Duration(faults.OutageMilliseconds)*time.Millisecond, func() { p.endOutage(call) })
	}
}

// endOutage ends the outage that the given call of Inject began, unless Inject was
// called again since.
func (p *Platform) endOutage(call int) {
	p.mu.Lock()
	if p.injectCalls != call {
		p.mu.Unlock()
		return
	}
	p.faults.Outage = None
	server := p.server
	p.wakeReaders()
	p.mu.Unlock()
	for server.Up() != nil {
		// Another socket uses the port at the moment.
	}
}

// withFaults returns a handler that applies the faults which affect every call.
func (p *Platform) withFaults(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults, changed := p.currentFaults()
		sleep(r, time.Duration(faults.SlowMilliseconds)*time.Millisecond)
		for faults.Outage == Hang {
			select {
			case <-changed:
			case <-r.Context().Done():
				fake.AbortRequest()
			}
			faults, changed = p.currentFaults()
		}
		if faults.Outage == Busy {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "platform outage", http.StatusServiceUnavailable)
			return
		}
		if faults.Outage == Refuse {
			fake.AbortRequest()
		}
		handle(w, r)
	}
}

// currentFaults returns the faults in force and a channel that is closed when they or
// a stream change.
func (p *Platform) currentFaults() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed
}

// consumeLostAnswer reports whether the answer to an append must be dropped, and
// counts it.
func (p *Platform) consumeLostAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return true
	}
	return p.faults.LoseAnswers < 0
}

func sleep(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

func (p *Platform) handleControl(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !fake.ReadJSON(w, r, &faults) {
		return
	}
	fake.WriteJSON(w, http.StatusOK, faults)
	http.NewResponseController(w).Flush()
	p.Inject(faults)
}

// Status is the answer to GET /control.
type Status struct {
	Faults  Faults
	Streams map[string]wire.PageAnswer // without entries
	Loads   int                        // number of weight reads started
}

func (p *Platform) handleStatus(w http.ResponseWriter, r *http.Request) {
	fake.WriteJSON(w, http.StatusOK, p.Status())
}

// Status returns the faults in force, the bounds of each stream and the number of
// weight reads.
func (p *Platform) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	status := Status{Faults: p.faults, Streams: make(map[string]wire.PageAnswer), Loads: p.weightReads}
	for name, s := range p.streams {
		status.Streams[name] = wire.PageAnswer{First: s.first, Next: s.next()}
	}
	return status
}

// MarshalText returns the outage's name.
func (o Outage) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText parses an outage's name.
func (o *Outage) UnmarshalText(text []byte) error {
	for _, outage := range []Outage{None, Busy, Refuse, Hang} {
		if outage.String() == string(text) {
			*o = outage
			return nil
		}
	}
	return fmt.Errorf("unknown platform outage %q", text)
}
