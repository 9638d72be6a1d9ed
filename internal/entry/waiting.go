package entry

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/internal/capacity"
	"github.com/chicorystall/chicorystall/pkg/queue"
)

// wakeInterval is how often waiting requests are checked for passed deadlines.
const wakeInterval = 50 * time.Millisecond

// requestQueues holds the requests that wait for a backend server, in one queue for
// each model or plain service.
type requestQueues struct {
	config queue.Config
	book   *capacity.Limiter

	mu     sync.Mutex
	queues map[string]*queue.Gate
}

func newRequestQueues(limits Limits, book *capacity.Limiter) *requestQueues {
	return &requestQueues{
		config: queue.Config{MaxEntries: limits.MaxQueueEntries, MaxBytes: limits.MaxQueueBytes},
		book:   book,
		queues: make(map[string]*queue.Gate),
	}
}

// queue returns the queue of a model or plain service.
func (w *requestQueues) queue(model string) *queue.Gate {
	w.mu.Lock()
	defer w.mu.Unlock()
	gate := w.queues[model]
	if gate == nil {
		gate = &queue.Gate{Config: w.config}
		w.queues[model] = gate
	}
	return gate
}

// Len returns the number of waiting requests.
func (w *requestQueues) Len() int {
	waiting := 0
	for _, gate := range w.all() {
		waiting += gate.Len()
	}
	return waiting
}

func (w *requestQueues) all() []*queue.Gate {
	w.mu.Lock()
	defer w.mu.Unlock()
	gates := make([]*queue.Gate, 0, len(w.queues))
	for _, gate := range w.queues {
		gates = append(gates, gate)
	}
	return gates
}

// run wakes the waiting requests when capacity may be free or deadlines may have
// passed, until ctx ends.
func (w *requestQueues) run(ctx context.Context) error {
	ticker := time.NewTicker(wakeInterval)
	defer ticker.Stop()
	for {
		freed := w.book.Freed()
		for _, gate := range w.all() {
			gate.Wake()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-freed:
		case <-ticker.C:
		}
	}
}
