package worker

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake"
)

// process is one life of the engine, with its own boot ID. The worker's lock
// guards its fields.
type process struct {
	worker *Worker
	ctx    context.Context
	cancel context.CancelFunc

	state   engine.State
	unwatch context.CancelFunc // ends the watch of the peers
	warming int                // completions since cold
	reports fake.Lagged[engine.State]

	jobs    map[string]*job // by request ID, also those that are kept for a resume
	waiting []*job
	running []*job
	kick    chan struct{} // wakes the batch loop

	cache  *prefixCache
	events []timedEvent
	number int64 // of the newest cache event
}

func (w *Worker) newProcess(warm bool) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{
		worker: w,
		ctx:    ctx,
		cancel: cancel,
		jobs:   make(map[string]*job),
		kick:   make(chan struct{}, 1),
	}
	p.state = engine.State{
		Name:         w.config.Name,
		BootID:       uuid.NewString(),
		Group:        w.config.Group,
		Epoch:        w.config.Epoch,
		Model:        w.config.Model,
		ModelVersion: w.config.ModelVersion,
		Role:         w.config.Role,
		Phase:        firstPhase(w.config.Model, warm),
	}
	p.cache = newPrefixCache(w.config.BlockTokens, w.config.CacheTokens, p.cacheChanged)
	p.report()
	go p.loop()
	return p
}

func firstPhase(model string, warm bool) engine.Phase {
	switch {
	case model == "":
		return engine.Unloaded
	case warm:
		return engine.Warm
	default:
		return engine.Cold
	}
}

// report records the state for readers, who see it with a lag.
func (p *process) report() {
	p.state.InFlight = len(p.waiting) + len(p.running)
	p.state.KVTokens = p.heldTokens()
	p.state.Leaving = p.worker.faults.Leaving
	now := time.Now()
	p.reports.Set(now, p.state, now.Add(-p.worker.config.ReportLag))
}

// reported is the state as others see it now.
func (p *process) reported() engine.State {
	state := p.reports.At(time.Now().Add(-p.worker.config.ReportLag))
	state.Name = p.state.Name
	state.BootID = p.state.BootID
	return state
}

func (p *process) heldTokens() int {
	tokens := 0
	for _, j := range p.waiting {
		tokens += j.heldTokens()
	}
	for _, j := range p.running {
		tokens += j.heldTokens()
	}
	return tokens
}

// admit takes a request in. It returns false when the process has ended, or when
// the request made it fall over. The caller holds the lock.
func (p *process) admit(j *job) bool {
	w := p.worker
	if p.ctx.Err() != nil {
		return false
	}
	if old := p.jobs[j.id]; old != nil {
		p.remove(old)
	}
	p.jobs[j.id] = j
	p.waiting = append(p.waiting, j)
	inFlight := len(p.waiting) + len(p.running)
	w.counts.admitted(j.id, inFlight, w.faults.Leaving)
	if p.state.Phase == engine.Cold && inFlight > w.config.ColdInFlight {
		w.counts.ColdOverloads++
		w.crash()
		return false
	}
	if !p.fits() {
		return false
	}
	p.report()
	p.wake()
	return true
}

// fits ends the process when what it holds outgrows its memory.
func (p *process) fits() bool {
	w := p.worker
	if w.config.MaxKVTokens == 0 || p.heldTokens() <= w.config.MaxKVTokens {
		return true
	}
	w.counts.MemoryOverflows++
	w.crash()
	return false
}

// remove stops work on a request and forgets it.
func (p *process) remove(j *job) {
	p.waiting = without(p.waiting, j)
	p.running = without(p.running, j)
	if p.jobs[j.id] == j {
		delete(p.jobs, j.id)
	}
	j.fail()
}

func without(jobs []*job, removed *job) []*job {
	kept := jobs[:0]
	for _, j := range jobs {
		if j != removed {
			kept = append(kept, j)
		}
	}
	clear(jobs[len(kept):])
	return kept
}

func (p *process) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}
