package platform

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake"
	wire "github.com/chicorystall/chicorystall/internal/platform"
)

// registration is what the platform knows of an instance now.
type registration struct {
	instance wire.Instance
	process  osProcess
	seen     time.Time
}

func (p *Platform) handleRegister(w http.ResponseWriter, r *http.Request) {
	var instance wire.Registration
	if !fake.ReadJSON(w, r, &instance) {
		return
	}
	if instance.Name != r.PathValue("name") {
		http.Error(w, "name differs from the path", http.StatusBadRequest)
		return
	}
	if !p.register(instance) {
		http.Error(w, "this boot ID is gone", http.StatusConflict)
		return
	}
	fake.WriteJSON(w, http.StatusOK, struct{}{})
}

// register refuses a process that was listed gone, since others rely on it.
func (p *Platform) register(r wire.Registration) bool {
	instance := r.Instance
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseRegistrations {
		return true
	}
	p.sweep(time.Now())
	known := p.instances[instance.Name]
	if known != nil && known.instance.BootID == instance.BootID {
		if known.instance.State == wire.Gone {
			return false
		}
		instance.State = max(instance.State, known.instance.State)
	}
	p.instances[instance.Name] = &registration{instance: instance, process: findProcess(r.PID), seen: time.Now()}
	p.record(time.Now())
	return true
}

func (p *Platform) mark(names []string, state wire.InstanceState) {
	for _, name := range names {
		if known := p.instances[name]; known != nil {
			known.instance.State = max(known.instance.State, state)
		}
	}
	p.record(time.Now())
}

// sweepInterval is the shortest time between two looks at the processes.
const sweepInterval = 50 * time.Millisecond

// sweep marks those gone whose process is gone, or who have been silent for
// longer than the configuration allows.
func (p *Platform) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepInterval {
		return
	}
	p.swept = now
	for _, known := range p.instances {
		silent := p.config.GoneAfter > 0 && now.Sub(known.seen) > p.config.GoneAfter
		if silent || known.process.ended() {
			known.instance.State = wire.Gone
		}
	}
}

// record adds the list as it is now to the versions.
func (p *Platform) record(now time.Time) {
	var instances []wire.Instance
	for _, known := range p.instances {
		instances = append(instances, known.instance)
	}
	slices.SortFunc(instances, func(a, b wire.Instance) int { return strings.Compare(a.Name, b.Name) })
	if slices.Equal(p.listed.At(now), instances) {
		return
	}
	p.listed.Set(now, instances, now.Add(-p.lag()))
}

func (p *Platform) lag() time.Duration {
	return p.config.ListLag + time.Duration(p.faults.AddListMilliseconds)*time.Millisecond
}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	fake.WriteJSON(w, http.StatusOK, p.list(time.Now()))
}

func (p *Platform) list(now time.Time) wire.InstanceList {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	p.record(now)
	asOf := now.Add(-p.lag())
	return wire.InstanceList{AsOf: asOf, Instances: p.listed.At(asOf)}
}
