package worker

import (
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/internal/engine"
)

// runBatches runs the steps of the batch until the process ends.
func (p *process) runBatches() {
	for {
		step := p.beginStep()
		if step == 0 {
			select {
			case <-p.wakeup:
				continue
			case <-p.ctx.Done():
				return
			}
		}
		select {
		case <-time.After(step):
		case <-p.ctx.Done():
			return
		}
		p.finishStep()
	}
}

// beginStep fills the batch and returns the duration of its next step, or 0 if there
// is nothing to do.
func (p *process) beginStep() time.Duration {
	w := p.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.ctx.Err() != nil || w.faults.Freeze {
		return 0
	}
	prefill := p.fillBatch()
	if len(p.running) == 0 {
		return 0
	}
	slowdown := 1 + w.config.BatchSlowdown*float64(len(p.running)-1)
	step := time.Duration(float64(w.config.TokenTime)*slowdown) + prefill
	if w.faults.SlowFactor > 0 {
		step = time.Duration(float64(step) * w.faults.SlowFactor)
	}
	return max(step, 1)
}

// fillBatch moves waiting requests into the batch, the most urgent ones first, and
// returns how long the prefill of their prompts takes. The caller holds the lock.
func (p *process) fillBatch() time.Duration {
	slices.SortStableFunc(p.waiting, func(a, b *job) int { return a.priority - b.priority })
	uncached := 0
	for len(p.waiting) > 0 && len(p.running) < p.worker.config.MaxBatch {
		j := p.waiting[0]
		p.waiting = withoutJob(p.waiting, j)
		p.running = append(p.running, j)
		j.cachedTokens = p.cache.lookupAndAdd(j.prompt)
		uncached += j.promptTokens - j.cachedTokens
	}
	return time.Duration(uncached) * p.worker.config.PrefillTime
}

// finishStep produces one token for each request of the batch.
func (p *process) finishStep() {
	w := p.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	for _, j := range slices.Clone(p.running) {
		if !j.produceToken() {
			continue
		}
		p.running = withoutJob(p.running, j)
		w.counts.Completed[j.id]++
		p.countCompletion()
	}
	if p.checkMemory() {
		p.recordState()
	}
}

// countCompletion counts a completed request. The process becomes warm after enough of
// them.
func (p *process) countCompletion() {
	p.state.Completed++
	if p.state.Phase != engine.Cold {
		return
	}
	p.completedWhileCold++
	if p.completedWhileCold >= p.worker.config.WarmAfter {
		p.state.Phase = engine.Warm
	}
}
