package journal

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// defaultBatchBytes bounds a batch whose Batcher sets no bound.
const defaultBatchBytes = 64 << 10

// Position is the place of an item in a batch on the log.
type Position struct {
	Offset Offset // of the entry that holds the batch
	Index  int    // of the item within the batch
}

// Batcher joins the items of many callers into few entries of one stream. At
// most one append is in flight, so a batch holds what came in meanwhile.
type Batcher struct {
	// Append writes one entry, with the errors of Log.Append.
	Append func(ctx context.Context, data []byte) (Offset, error)
	// Join encodes a batch as one entry.
	Join func(items [][]byte) ([]byte, error)

	MaxDelay time.Duration // how long the first item waits for others
	MaxBytes int           // bytes of the items of a batch, 0 counts as 64 KiB

	mu      sync.Mutex
	pending []*submission
	bytes   int // of the pending items
	ended   bool
	wake    chan struct{} // capacity 1, holds a token when there is news for Run
}

// submission is one caller's item.
type submission struct {
	item   []byte
	done   chan struct{} // closed when position and err are set
	result Position
	err    error
}

// Submit adds the item to a batch and waits until the batch is on the log. An
// error is ErrUnavailable (the item is not on the log and will not be) or
// ErrOutcomeUnknown. A context that ends takes back an item that is not in
// flight yet.
func (b *Batcher) Submit(ctx context.Context, item []byte) (Position, error) {
	s := &submission{item: item, done: make(chan struct{})}
	if !b.add(s) {
		return Position{}, errors.Wrap(ErrUnavailable, "batcher has ended")
	}
	select {
	case <-s.done:
		return s.result, s.err
	case <-ctx.Done():
	}
	if b.takeBack(s) {
		return Position{}, errors.Mark(ctx.Err(), ErrUnavailable)
	}
	select {
	case <-s.done:
		return s.result, s.err
	default:
		return Position{}, errors.Mark(ctx.Err(), ErrOutcomeUnknown)
	}
}

// Run writes batches until the context ends. Items that are pending then are
// refused with ErrUnavailable.
func (b *Batcher) Run(ctx context.Context) error {
	defer b.end()
	for {
		if err := b.waitForBatch(ctx); err != nil {
			return err
		}
		if batch := b.take(); len(batch) > 0 {
			b.write(ctx, batch)
		}
	}
}

// waitForBatch returns when a batch is full or its first item has waited long
// enough.
func (b *Batcher) waitForBatch(ctx context.Context) error {
	for b.pendingBytes() == 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.news():
		}
	}
	delay := time.NewTimer(b.MaxDelay)
	defer delay.Stop()
	for b.MaxDelay > 0 && b.pendingBytes() < b.maxBytes() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-delay.C:
			return nil
		case <-b.news():
		}
	}
	return ctx.Err()
}

// write appends a batch and tells its callers.
func (b *Batcher) write(ctx context.Context, batch []*submission) {
	items := make([][]byte, len(batch))
	for i, s := range batch {
		items[i] = s.item
	}
	data, err := b.Join(items)
	if err != nil {
		err = errors.Mark(errors.Wrapf(err, "join %d items", len(items)), ErrUnavailable)
	}
	var at Offset
	if err == nil {
		at, err = b.Append(ctx, data)
	}
	for i, s := range batch {
		s.result, s.err = Position{at, i}, err
		close(s.done)
	}
}

// add makes the item pending, unless the batcher has ended.
func (b *Batcher) add(s *submission) bool {
	news := b.news()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	b.pending = append(b.pending, s)
	b.bytes += max(len(s.item), 1)
	select {
	case news <- struct{}{}:
	default:
	}
	return true
}

// takeBack removes an item that is still pending.
func (b *Batcher) takeBack(s *submission) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, p := range b.pending {
		if p == s {
			b.pending = append(b.pending[:i:i], b.pending[i+1:]...)
			b.bytes -= max(len(s.item), 1)
			return true
		}
	}
	return false
}

// take removes the next batch from the pending items. An item above the bound
// makes a batch of its own.
func (b *Batcher) take() []*submission {
	b.mu.Lock()
	defer b.mu.Unlock()
	size, n := 0, 0
	for n < len(b.pending) {
		size += max(len(b.pending[n].item), 1)
		if n > 0 && size > b.maxBytes() {
			size -= max(len(b.pending[n].item), 1)
			break
		}
		n++
	}
	batch := b.pending[:n:n]
	b.pending = b.pending[n:]
	b.bytes -= size
	return batch
}

// end refuses what is pending and all that comes later.
func (b *Batcher) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	for _, s := range b.pending {
		s.err = errors.Wrap(ErrUnavailable, "batcher has ended")
		close(s.done)
	}
	b.pending, b.bytes = nil, 0
}

func (b *Batcher) pendingBytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// news returns the channel that wakes Run.
func (b *Batcher) news() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	return b.wake
}

func (b *Batcher) maxBytes() int {
	return cmp.Or(b.MaxBytes, defaultBatchBytes)
}
