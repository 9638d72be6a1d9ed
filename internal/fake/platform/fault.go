package platform

import (
	"fmt"
	"net/http"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake"
	wire "github.com/chicorystall/chicorystall/internal/platform"
)

//go:generate go tool stringer -type=Outage

// Outage is how calls fail while the platform is down.
type Outage int

// Kinds of outages. The control page works in all but Refuse.
const (
	None   Outage = iota
	Busy          // answers 503 at once, nothing is taken
	Refuse        // connections are refused; needs Start
	Hang          // calls get no answer
)

// Faults are set as a whole: each call of Inject replaces the ones before.
type Faults struct {
	Outage              Outage
	OutageMilliseconds  int      // the outage ends by itself after so long; 0 lasts
	LoseAnswers         int      // so many appends take effect and lose their answer; -1 is all
	SlowMilliseconds    int      // added to each call
	KeepEntries         int      // squeezes the retention of each stream; 0 leaves it
	MarkLeaving         []string // names of instances
	MarkGone            []string // names of instances
	AddListMilliseconds int      // added to the list's lag
	LoseRegistrations   bool     // instances no longer get through
}

// Inject sets the faults.
func (p *Platform) Inject(faults Faults) {
	p.mu.Lock()
	p.faults = faults
	p.injected++
	injected := p.injected
	p.mark(faults.MarkLeaving, wire.Leaving)
	p.mark(faults.MarkGone, wire.Gone)
	server := p.server
	p.wake()
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
		time.AfterFunc(time.Duration(faults.OutageMilliseconds)*time.Millisecond, func() { p.endOutage(injected) })
	}
}

// endOutage ends the outage of one call of Inject unless another one followed.
func (p *Platform) endOutage(injected int) {
	p.mu.Lock()
	if p.injected != injected {
		p.mu.Unlock()
		return
	}
	p.faults.Outage = None
	server := p.server
	p.wake()
	p.mu.Unlock()
	for server.Up() != nil {
		// Another socket has the port for the moment.
	}
}

// faulty applies the faults that every call is subject to.
func (p *Platform) faulty(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults, changed := p.current()
		sleep(r, time.Duration(faults.SlowMilliseconds)*time.Millisecond)
		for faults.Outage == Hang {
			select {
			case <-changed:
			case <-r.Context().Done():
				fake.AbortRequest()
			}
			faults, changed = p.current()
		}
		if faults.Outage == Busy {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "platform is out", http.StatusServiceUnavailable)
			return
		}
		if faults.Outage == Refuse {
			fake.AbortRequest()
		}
		handle(w, r)
	}
}

func (p *Platform) current() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed
}

func (p *Platform) takeLostAnswer() bool {
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

// Status is what GET /control tells.
type Status struct {
	Faults  Faults
	Streams map[string]wire.PageAnswer // without entries
	Loads   int                        // weight reads that were begun
}

func (p *Platform) handleStatus(w http.ResponseWriter, r *http.Request) {
	fake.WriteJSON(w, http.StatusOK, p.Status())
}

// Status returns the faults in force and the bounds of each stream.
func (p *Platform) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	status := Status{Faults: p.faults, Streams: make(map[string]wire.PageAnswer), Loads: p.loads}
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
	return fmt.Errorf("outage %q is not known", text)
}
