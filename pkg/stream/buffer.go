package stream

import (
	"context"
	"io"
	"sync"
	"time"
)

// DefaultPauseAfter is how long a buffer stays full before its stream is
// cancelled at the engine.
const DefaultPauseAfter = 10 * time.Second

// lowWaterDivisor sets the default of Options.LowWaterBytes.
const lowWaterDivisor = 4

// Options of a Buffer. All may stay zero.
type Options struct {
	First         uint64           // sequence of the first chunk, when an answer goes on elsewhere
	LowWaterBytes int              // a full stream goes on when it holds less; 0 means a quarter of StreamBytes
	CancelAfter   time.Duration    // 0 means DefaultPauseAfter
	Now           func() time.Time // nil means time.Now
}

// Buffer holds the chunks of one stream between one producer and one consumer.
type Buffer struct {
	now func() time.Time

	mu      sync.Mutex
	queue   queue
	arrived chan struct{} // a chunk or the end is there
	drained chan struct{} // the consumer took a chunk or left
}

// NewBuffer returns a buffer for the stream with this ID.
func NewBuffer(id string, memory *Memory, o Options) *Buffer {
	streamBytes := orDefault(memory.StreamBytes, DefaultStreamBytes)
	b := &Buffer{
		now:     o.Now,
		arrived: make(chan struct{}, 1),
		drained: make(chan struct{}, 1),
		queue: queue{
			id:       id,
			memory:   memory,
			next:     o.First,
			lowWater: orDefault(o.LowWaterBytes, streamBytes/lowWaterDivisor),
			pause:    orDefault(o.CancelAfter, DefaultPauseAfter),
		},
	}
	if b.now == nil {
		b.now = time.Now
	}
	return b
}

// Put offers the next chunk. The buffer keeps its data.
func (b *Buffer) Put(c Chunk) PutResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	result := b.queue.put(c, b.now())
	if result == Accepted {
		signal(b.arrived)
	}
	return result
}

// Await waits until the producer has something else to do than to wait.
func (b *Buffer) Await(ctx context.Context) (Advice, error) {
	for {
		freed := b.queue.memory.wait()
		b.mu.Lock()
		advice := b.queue.advise(b.now())
		left := b.untilPause()
		if b.queue.bytes > b.queue.lowWater {
			freed = nil // only this stream's own consumer can help
		}
		b.mu.Unlock()
		if advice != Wait {
			return advice, nil
		}
		if err := b.awaitChange(ctx, freed, left); err != nil {
			return Wait, err
		}
	}
}

// Advise returns what the producer should do now, without waiting. Cancel is
// said once.
func (b *Buffer) Advise() Advice {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.advise(b.now())
}

// untilPause returns the time until Cancel is due, or 0 if it is not to come.
func (b *Buffer) untilPause() time.Duration {
	if b.queue.flow != full {
		return 0
	}
	return b.queue.pause - b.now().Sub(b.queue.fullSince)
}

func (b *Buffer) awaitChange(ctx context.Context, freed <-chan struct{}, left time.Duration) error {
	var due <-chan time.Time
	if left > 0 {
		t := time.NewTimer(left)
		defer t.Stop()
		due = t.C
	}
	select {
	case <-b.drained:
	case <-freed:
	case <-due:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// NextSequence returns the number of the chunk that Put wants next: where to
// resume the stream at the engine.
func (b *Buffer) NextSequence() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.next
}

// Close sets the end mark. The consumer still gets the chunks before it.
func (b *Buffer) Close(e End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.close(e)
	signal(b.arrived)
	signal(b.drained)
}

// Next waits for the next chunk. After the last one it returns io.EOF if the
// answer is whole and a *CutError if not.
func (b *Buffer) Next(ctx context.Context) (Chunk, error) {
	for {
		c, ok, err := b.tryNext()
		if ok || err != nil {
			return c, err
		}
		select {
		case <-b.arrived:
		case <-ctx.Done():
			return Chunk{}, ctx.Err()
		}
	}
}

func (b *Buffer) tryNext() (Chunk, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.queue.take(); ok {
		signal(b.drained)
		return c, true, nil
	}
	end := b.queue.end
	switch {
	case end == nil:
		return Chunk{}, false, nil
	case end.Complete:
		return Chunk{}, false, io.EOF
	default:
		return Chunk{}, false, &CutError{Stream: b.queue.id, Next: b.queue.next, Reason: end.Reason}
	}
}

// CloseRead gives the memory back when the consumer is gone. The producer is advised
// to Stop.
func (b *Buffer) CloseRead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.leave()
	signal(b.drained)
}

// Counts returns what was dropped so far.
func (b *Buffer) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.counts
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
