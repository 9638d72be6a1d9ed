package entry

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/internal/capacity"
	"github.com/chicorystall/chicorystall/pkg/queue"
)

// expireInterval is how often requests past their deadline leave the queues.
const expireInterval = 50 * time.Millisecond

// waitingRoom holds the requests that wait for a backend server, one queue for
// each model.
type waitingRoom struct {
	config queue.Config
	book   *capacity.Book

	mu    sync.Mutex
	gates map[string]*queue.Gate
}

func newWaitingRoom(limits Limits, book *capacity.Book) *waitingRoom {
	return &waitingRoom{
		config: queue.Config{MaxEntries: limits.MaxQueueEntries, MaxBytes: limits.MaxQueueBytes},
		book:   book,
		gates:  make(map[string]*queue.Gate),
	}
}

// gate returns the queue of a model.
func (w *waitingRoom) gate(model string) *queue.Gate {
	w.mu.Lock()
	defer w.mu.Unlock()
	gate := w.gates[model]
	if gate == nil {
		gate = &queue.Gate{Config: w.config}
		w.gates[model] = gate
	}
	return gate
}

// Len returns the number of waiting requests.
func (w *waitingRoom) Len() int {
	waiting := 0
	for _, gate := range w.all() {
		waiting += gate.Len()
	}
	return waiting
}

func (w *waitingRoom) all() []*queue.Gate {
	w.mu.Lock()
	defer w.mu.Unlock()
	gates := make([]*queue.Gate, 0, len(w.gates))
	for _, gate := range w.gates {
		gates = append(gates, gate)
	}
	return gates
}

// run wakes the queues when a place may be free, until ctx ends.
func (w *waitingRoom) run(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
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
