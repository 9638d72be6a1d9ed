package platform

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake"
	wire "github.com/chicorystall/chicorystall/internal/platform"
)

// registration is the current record of an instance, before the lag of the list.
type registration struct {
	instance     wire.Instance
	process      osProcess
	registeredAt time.Time
}

func (p *Platform) handleRegister(w http.ResponseWriter, r *http.Request) {
	var instance wire.Registration
	if !fake.ReadJSON(w, r, &instance) {
		return
	}
	if instance.Name != r.PathValue("name") {
		http.Error(w, "instance name in the body differs from that in the path", http.StatusBadRequest)
		return
	}
	if !p.register(instance) {
		http.Error(w, "instance with this boot ID is listed as gone", http.StatusConflict)
		return
	}
	fake.WriteJSON(w, http.StatusOK, struct{}{})
}

// register adds or renews the registration of an instance. It returns false for a
// process that was listed as gone, since readers of the list rely on gone being final.
func (p *Platform) register(r wire.Registration) bool {
	instance := r.Instance
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseRegistrations {
		return true
	}
	p.markEndedInstances(time.Now())
	existing := p.instances[instance.Name]
	if existing != nil && existing.instance.BootID == instance.BootID {
		if existing.instance.State == wire.Gone {
			return false
		}
		instance.State = max(instance.State, existing.instance.State)
	}
	p.instances[instance.Name] = &registration{instance: instance, process: findProcess(r.PID), registeredAt: time.Now()}
	p.recordList(time.Now())
	return true
}

// setStates raises the instances to the state; it never lowers a state. The caller
// holds the lock.
func (p *Platform) setStates(names []string, state wire.InstanceState) {
	for _, name := range names {
		if existing := p.instances[name]; existing != nil {
			existing.instance.State = max(existing.instance.State, state)
		}
	}
	p.recordList(time.Now())
}

// minSweepInterval is the minimum time between two checks of the processes.
const minSweepInterval = 50 * time.Millisecond

// markEndedInstances marks the instances as gone whose process has ended, or that
// have not registered within the configured time. The caller holds the lock.
func (p *Platform) markEndedInstances(now time.Time) {
	if now.Sub(p.lastSweep) < minSweepInterval {
		return
	}
	p.lastSweep = now
	for _, registered := range p.instances {
		silent := p.config.GoneAfter > 0 && now.Sub(registered.registeredAt) > p.config.GoneAfter
		if silent || registered.process.ended() {
			registered.instance.State = wire.Gone
		}
	}
}

// recordList adds the current list to the versions if it has changed. The caller holds
// the lock.
func (p *Platform) recordList(now time.Time) {
	var instances []wire.Instance
	for _, registered := range p.instances {
		instances = append(instances, registered.instance)
	}
	slices.SortFunc(instances, func(a, b wire.Instance) int { return strings.Compare(a.Name, b.Name) })
	if slices.Equal(p.listVersions.At(now), instances) {
		return
	}
	p.listVersions.Set(now, instances, now.Add(-p.lag()))
}

func (p *Platform) lag() time.Duration {
	return p.config.ListLag + time.Duration(p.faults.AddListMilliseconds)*time.Millisecond
}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	fake.WriteJSON(w, http.StatusOK, p.list(time.Now()))
}

// list returns the list as it was before the configured lag.
func (p *Platform) list(now time.Time) wire.InstanceList {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markEndedInstances(now)
	p.recordList(now)
	asOf := now.Add(-p.lag())
	return wire.InstanceList{AsOf: asOf, Instances: p.listVersions.At(asOf)}
}
