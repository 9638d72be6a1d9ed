package stream

import (
	"context"
	"io"
	"sync"
	"time"
)

// DefaultCancelAfter is how long a buffer stays full before its stream is
// cancelled at the engine.
const DefaultCancelAfter = 10 * time.Second

// lowWaterDivisor determines the default of [Options.LowWaterBytes], as a fraction of
// [Memory.StreamBytes].
const lowWaterDivisor = 4

// Options holds the options of a [Buffer]. Fields that are zero take the defaults.
type Options struct {
	FirstSequence uint64           // number of the first chunk, if the buffer continues an earlier stream
	LowWaterBytes int              // a full stream continues when it holds at most this; 0 means a quarter of StreamBytes
	CancelAfter   time.Duration    // 0 means DefaultCancelAfter
	Now           func() time.Time // nil means time.Now
}

// Buffer buffers the chunks of one stream between its producer and its consumer.
type Buffer struct {
	now func() time.Time

	mu       sync.Mutex
	queue    queue
	readable chan struct{} // notified of new chunks and of the end
	consumed chan struct{} // notified when a chunk is taken, and when either side closes the buffer
}

// NewBuffer returns a buffer for the stream with the ID id.
func NewBuffer(id string, memory *Memory, o Options) *Buffer {
	streamBytes := orDefault(memory.StreamBytes, DefaultStreamBytes)
	b := &Buffer{
		now:      o.Now,
		readable: make(chan struct{}, 1),
		consumed: make(chan struct{}, 1),
		queue: queue{
			id:           id,
			memory:       memory,
			nextSequence: o.FirstSequence,
			lowWater:     orDefault(o.LowWaterBytes, streamBytes/lowWaterDivisor),
			cancelAfter:  orDefault(o.CancelAfter, DefaultCancelAfter),
		},
	}
	if b.now == nil {
		b.now = time.Now
	}
	return b
}

// Put adds the next chunk to the buffer, if possible. The caller must not modify the
// chunk's data afterwards.
func (b *Buffer) Put(c Chunk) PutResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	result := b.queue.put(c, b.now())
	if result == Accepted {
		notify(b.readable)
	}
	return result
}

// Await blocks until the advice to the producer is other than Wait, and returns it.
func (b *Buffer) Await(ctx context.Context) (Advice, error) {
	for {
		freed := b.queue.memory.freedChan()
		b.mu.Lock()
		advice := b.queue.advise(b.now())
		untilCancel := b.untilCancel()
		if b.queue.bytes > b.queue.lowWater {
			freed = nil // the stream can only continue after its own consumer has read
		}
		b.mu.Unlock()
		if advice != Wait {
			return advice, nil
		}
		if err := b.awaitChange(ctx, freed, untilCancel); err != nil {
			return Wait, err
		}
	}
}

// Advise returns what the producer should do now. Unlike Await it does not block. It
// returns Cancel only once, and Wait after that.
func (b *Buffer) Advise() Advice {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.advise(b.now())
}

// untilCancel returns the time until the advice becomes Cancel, or 0 if the buffer is not
// full or the advice was Cancel already.
func (b *Buffer) untilCancel() time.Duration {
	if b.queue.state != stateFull {
		return 0
	}
	return b.queue.cancelAfter - b.now().Sub(b.queue.fullSince)
}

func (b *Buffer) awaitChange(ctx context.Context, freed <-chan struct{}, untilCancel time.Duration) error {
	var cancelDue <-chan time.Time
	if untilCancel > 0 {
		t := time.NewTimer(untilCancel)
		defer t.Stop()
		cancelDue = t.C
	}
	select {
	case <-b.consumed:
	case <-freed:
	case <-cancelDue:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// NextSequence returns the number of the chunk that Put accepts next. A stream that was
// cancelled at the engine is resumed there.
func (b *Buffer) NextSequence() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.nextSequence
}

// Close sets the end of the stream. The consumer still receives the buffered chunks.
func (b *Buffer) Close(e End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.close(e)
	notify(b.readable)
	notify(b.consumed)
}

// Next blocks until it can return the next chunk. After the last one it returns io.EOF if
// the answer is complete, or else a *TruncatedError.
func (b *Buffer) Next(ctx context.Context) (Chunk, error) {
	for {
		c, ok, err := b.tryNext()
		if ok || err != nil {
			return c, err
		}
		select {
		case <-b.readable:
		case <-ctx.Done():
			return Chunk{}, ctx.Err()
		}
	}
}

func (b *Buffer) tryNext() (Chunk, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.queue.take(); ok {
		notify(b.consumed)
		return c, true, nil
	}
	end := b.queue.end
	switch {
	case end == nil:
		return Chunk{}, false, nil
	case end.Complete:
		return Chunk{}, false, io.EOF
	default:
		return Chunk{}, false, &TruncatedError{Stream: b.queue.id, NextSequence: b.queue.nextSequence, Reason: end.Reason}
	}
}

// CloseRead releases the buffer's memory when the consumer stops reading. From then on the
// advice to the producer is Stop.
func (b *Buffer) CloseRead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.closeRead()
	notify(b.consumed)
}

// DropCounts returns the numbers of chunks dropped so far.
func (b *Buffer) DropCounts() DropCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.dropped
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
