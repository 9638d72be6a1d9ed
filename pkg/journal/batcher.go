package journal

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// defaultBatchBytes limits a batch when Batcher.MaxBytes is 0.
const defaultBatchBytes = 64 << 10

// Position locates an item that was appended to the log as part of a batch.
type Position struct {
	Offset Offset // offset of the entry that contains the batch
	Index  int    // index of the item within the batch
}

// Batcher combines the items of concurrent callers into fewer entries of one
// stream. At most one append is in flight; items submitted meanwhile form the
// next batch.
type Batcher struct {
	// Append appends one entry to the stream and returns the errors of Log.Append.
	Append func(ctx context.Context, data []byte) (Offset, error)
	// Join encodes a batch as one entry.
	Join func(items [][]byte) ([]byte, error)

	MaxDelay time.Duration // maximum time that the first item of a batch waits for others
	MaxBytes int           // maximum total size of a batch's items; 0 means 64 KiB

	mu      sync.Mutex
	pending []*submission
	bytes   int // total size of the pending items, each counted as at least 1
	closed  bool
	wake    chan struct{} // capacity 1; signals Run that an item was added
}

// submission is an item passed to Submit, with its result.
type submission struct {
	item     []byte
	done     chan struct{} // closed once position and err are set
	position Position
	err      error
}

// Submit adds the item to a batch and waits until the batch has been appended.
// It returns ErrUnavailable if the item is not on the log and never will be,
// else ErrOutcomeUnknown. If the context ends before the item's append has
// started, the item is withdrawn.
func (b *Batcher) Submit(ctx context.Context, item []byte) (Position, error) {
	s := &submission{item: item, done: make(chan struct{})}
	if !b.add(s) {
		return Position{}, errors.Wrap(ErrUnavailable, "batcher is closed")
	}
	select {
	case <-s.done:
		return s.position, s.err
	case <-ctx.Done():
	}
	if b.withdraw(s) {
		return Position{}, errors.Mark(ctx.Err(), ErrUnavailable)
	}
	select {
	case <-s.done:
		return s.position, s.err
	default:
		return Position{}, errors.Mark(ctx.Err(), ErrOutcomeUnknown)
	}
}

// Run appends batches until the context ends. Items still pending at that time
// fail with ErrUnavailable.
func (b *Batcher) Run(ctx context.Context) error {
	defer b.shutDown()
	for {
		if err := b.waitForBatch(ctx); err != nil {
			return err
		}
		if batch := b.nextBatch(); len(batch) > 0 {
			b.write(ctx, batch)
		}
	}
}

// waitForBatch returns when a batch is full or its first item has waited for
// MaxDelay.
func (b *Batcher) waitForBatch(ctx context.Context) error {
	for b.pendingBytes() == 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wakeup():
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
		case <-b.wakeup():
		}
	}
	return ctx.Err()
}

// write appends a batch and reports the result to the callers of Submit.
func (b *Batcher) write(ctx context.Context, batch []*submission) {
	items := make([][]byte, len(batch))
	for i, s := range batch {
		items[i] = s.item
	}
	data, err := b.Join(items)
	if err != nil {
		err = errors.Mark(errors.Wrapf(err, "encode a batch of %d items", len(items)), ErrUnavailable)
	}
	var at Offset
	if err == nil {
		at, err = b.Append(ctx, data)
	}
	for i, s := range batch {
		s.position, s.err = Position{at, i}, err
		close(s.done)
	}
}

// add makes the item pending. It returns false if the batcher is closed.
func (b *Batcher) add(s *submission) bool {
	wake := b.wakeup()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.pending = append(b.pending, s)
	b.bytes += max(len(s.item), 1)
	select {
	case wake <- struct{}{}:
	default:
	}
	return true
}

// withdraw removes the item if it is still pending, and reports whether it was.
func (b *Batcher) withdraw(s *submission) bool {
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

// nextBatch removes the next batch from the pending items. An item larger than
// the limit forms a batch of its own.
func (b *Batcher) nextBatch() []*submission {
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

// shutDown fails all pending and later items with ErrUnavailable.
func (b *Batcher) shutDown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, s := range b.pending {
		s.err = errors.Wrap(ErrUnavailable, "batcher is closed")
		close(s.done)
	}
	b.pending, b.bytes = nil, 0
}

func (b *Batcher) pendingBytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// wakeup returns the channel that signals Run, and creates it if necessary.
func (b *Batcher) wakeup() chan struct{} {
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
