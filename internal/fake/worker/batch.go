package worker

import (
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/internal/engine"
)

// loop runs the batch one step at a time until the process ends.
func (p *process) loop() {
	for {
		step := p.begin()
		if step == 0 {
			select {
			case <-p.kick:
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
		p.finish()
	}
}

// begin fills the batch and returns how long its next step takes, 0 when there
// is nothing to do.
func (p *process) begin() time.Duration {
	w := p.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.ctx.Err() != nil || w.faults.Freeze {
		return 0
	}
	prefill := p.fill()
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

// fill moves requests from the queue into the batch, the most urgent first, and
// returns the time that their prompts take.
func (p *process) fill() time.Duration {
	slices.SortStableFunc(p.waiting, func(a, b *job) int { return a.priority - b.priority })
	uncached := 0
	for len(p.waiting) > 0 && len(p.running) < p.worker.config.MaxBatch {
		j := p.waiting[0]
		p.waiting = without(p.waiting, j)
		p.running = append(p.running, j)
		j.cachedTokens = p.cache.use(j.prompt)
		uncached += j.promptTokens - j.cachedTokens
	}
	return time.Duration(uncached) * p.worker.config.PrefillTime
}

// finish gives each request of the batch one token.
func (p *process) finish() {
	w := p.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	for _, j := range slices.Clone(p.running) {
		if !j.step() {
			continue
		}
		p.running = without(p.running, j)
		w.counts.Completed[j.id]++
		p.completed()
	}
	if p.fits() {
		p.report()
	}
}

func (p *process) completed() {
	p.state.Completed++
	if p.state.Phase != engine.Cold {
		return
	}
	p.warming++
	if p.warming >= p.worker.config.WarmAfter {
		p.state.Phase = engine.Warm
	}
}
