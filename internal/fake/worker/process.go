package worker

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake"
)

// process is one run of the engine, with its own boot ID. The worker's lock guards its
// fields.
type process struct {
	worker *Worker
	ctx    context.Context
	cancel context.CancelFunc

	state              engine.State
	stopMemberWatch    context.CancelFunc // ends the checks of the group's other members
	completedWhileCold int                // completions since the process became cold
	stateVersions      fake.Lagged[engine.State]

	jobs    map[string]*job // by request ID, including completed ones that can still be resumed
	waiting []*job
	running []*job
	wakeup  chan struct{} // wakes the batch loop

	cache           *prefixCache
	events          []timedEvent
	lastEventNumber int64 // number of the newest cache event
}

func (w *Worker) newProcess(warm bool) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{
		worker: w,
		ctx:    ctx,
		cancel: cancel,
		jobs:   make(map[string]*job),
		wakeup: make(chan struct{}, 1),
	}
	p.state = engine.State{
		Name:         w.config.Name,
		BootID:       uuid.NewString(),
		Group:        w.config.Group,
		Epoch:        w.config.Epoch,
		Model:        w.config.Model,
		ModelVersion: w.config.ModelVersion,
		Role:         w.config.Role,
		Phase:        initialPhase(w.config.Model, warm),
	}
	p.cache = newPrefixCache(w.config.BlockTokens, w.config.CacheTokens, p.recordCacheEvent)
	p.recordState()
	go p.runBatches()
	return p
}

func initialPhase(model string, warm bool) engine.Phase {
	switch {
	case model == "":
		return engine.Unloaded
	case warm:
		return engine.Warm
	default:
		return engine.Cold
	}
}

// recordState records the current state, which readers see after the report lag. The
// caller holds the lock.
func (p *process) recordState() {
	p.state.InFlight = len(p.waiting) + len(p.running)
	p.state.KVTokens = p.heldTokens()
	p.state.Leaving = p.worker.faults.Leaving
	now := time.Now()
	p.stateVersions.Set(now, p.state, now.Add(-p.worker.config.ReportLag))
}

// laggedState returns the state as readers see it now. The caller holds the lock.
func (p *process) laggedState() engine.State {
	state := p.stateVersions.At(time.Now().Add(-p.worker.config.ReportLag))
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

// admit adds a request to the queue. It returns false if the process has ended, or if
// the request made it crash. The caller holds the lock.
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
	w.counts.countAdmission(j.id, inFlight, w.faults.Leaving)
	if p.state.Phase == engine.Cold && inFlight > w.config.ColdInFlight {
		w.counts.ColdOverloads++
		w.crash()
		return false
	}
	if !p.checkMemory() {
		return false
	}
	p.recordState()
	p.wakeBatchLoop()
	return true
}

// checkMemory crashes the process and returns false if the tokens that it holds exceed
// its memory. The caller holds the lock.
func (p *process) checkMemory() bool {
	w := p.worker
	if w.config.MaxKVTokens == 0 || p.heldTokens() <= w.config.MaxKVTokens {
		return true
	}
	w.counts.MemoryOverflows++
	w.crash()
	return false
}

// remove aborts a request and drops its answer. The caller holds the lock.
func (p *process) remove(j *job) {
	p.waiting = withoutJob(p.waiting, j)
	p.running = withoutJob(p.running, j)
	if p.jobs[j.id] == j {
		delete(p.jobs, j.id)
	}
	j.fail()
}

// withoutJob removes a job from the slice in place.
func withoutJob(jobs []*job, removed *job) []*job {
	kept := jobs[:0]
	for _, j := range jobs {
		if j != removed {
			kept = append(kept, j)
		}
	}
	clear(jobs[len(kept):])
	return kept
}

func (p *process) wakeBatchLoop() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}
