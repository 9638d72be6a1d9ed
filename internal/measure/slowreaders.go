package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chicorystall/chicorystall/pkg/stream"
)

const (
	slowStalled    = 1000
	slowMoving     = 100
	slowChunks     = 300                    // per stream
	slowChunkBytes = 4000                   // ten tokens as server-sent events
	slowInterval   = 500 * time.Millisecond // between two chunks of an answer
	slowWakeAfter  = 2 * time.Minute        // when the stalled readers resume
	slowPauseAfter = 10 * time.Second
	slowSpan       = 20 * time.Minute
	slowReadBurst  = 4 // maximum of chunks that a reader takes per slowInterval
)

// slowPayload is the data of every chunk. All chunks share it, since only their sizes
// are counted.
var slowPayload = make([]byte, slowChunkBytes)

// slowStream is one answer streamed from an engine to a reader.
type slowStream struct {
	id         string
	chunks     uint64 // chunks in the whole answer
	buffer     *stream.Buffer
	stalled    bool
	running    bool // the engine is sending
	sent       uint64
	read       uint64
	whole      bool
	lateChunks int // intervals in which the reader found no chunk
	cancels    int
}

// SlowReaders simulates 1,000 stalled readers and 100 moving ones, and compares the
// bytes held by bounded and unbounded buffers.
func SlowReaders(seed uint64) Table { return slowReadersBufferTable(seed, slowChunks) }

func slowReadersBufferTable(seed uint64, chunks uint64) Table {
	t := Table{
		Name: "slow readers", Seed: seed,
		Columns: []string{"buffers", "bound MiB", "peak MiB", "whole answers", "late chunks of moving readers", "cancels"},
		Note: fmt.Sprintf("%d stalled and %d moving readers, %d chunks of %d bytes every %v; the stalled ones wake after %v",
			slowStalled, slowMoving, chunks, slowChunkBytes, slowInterval, slowWakeAfter),
	}
	t.Rows = append(t.Rows, runSlowReaders(seed, chunks, "unbounded", 1<<40))
	for _, total := range []int{64 << 20, 16 << 20} {
		t.Rows = append(t.Rows, runSlowReaders(seed, chunks, "bounded", total))
	}
	return t
}

func runSlowReaders(seed, chunks uint64, name string, total int) []string {
	streamBytes := 0
	if name == "unbounded" {
		streamBytes = total
	}
	memory := &stream.Memory{TotalBytes: total, StreamBytes: streamBytes}
	now := eventEpoch
	options := stream.Options{CancelAfter: slowPauseAfter, Now: func() time.Time { return now }}
	random := rand.New(rand.NewPCG(seed, 3))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	var streams []*slowStream
	for n := range slowStalled + slowMoving {
		id := fmt.Sprint(n)
		s := &slowStream{id: id, chunks: chunks, stalled: n < slowStalled, running: true}
		s.buffer = stream.NewBuffer(id, memory, options)
		streams = append(streams, s)
	}
	for open := len(streams); open > 0 && now.Sub(eventEpoch) < slowSpan; now = now.Add(slowInterval) {
		awake := now.Sub(eventEpoch) >= slowWakeAfter
		random.Shuffle(len(streams), func(a, b int) { streams[a], streams[b] = streams[b], streams[a] })
		open = 0
		for _, s := range streams {
			if s.whole {
				continue
			}
			open++
			s.produce()
			if awake || !s.stalled {
				s.consume(ended)
			}
		}
	}
	return slowRow(name, memory, total, streams)
}

// produce sends one chunk from the engine, unless the buffer advises to wait, stop or
// cancel.
func (s *slowStream) produce() {
	if s.sent == s.chunks {
		return
	}
	switch s.buffer.Advise() {
	case stream.Cancel:
		s.running = false
		s.cancels++
		return
	case stream.Wait, stream.Stop:
		return
	}
	if !s.running {
		s.running = true
		s.sent = s.buffer.NextSequence()
	}
	chunk := stream.Chunk{Stream: s.id, Sequence: s.sent, Data: slowPayload}
	if s.buffer.Put(chunk) != stream.Accepted {
		return
	}
	s.sent++
	if s.sent == s.chunks {
		s.buffer.Close(stream.End{Complete: true, Chunks: s.chunks})
	}
}

// consume lets the reader take the available chunks, up to slowReadBurst. The context
// has ended, so that Next doesn't block.
func (s *slowStream) consume(ended context.Context) {
	taken := 0
	for taken < slowReadBurst {
		_, err := s.buffer.Next(ended)
		if err != nil {
			s.whole = s.read == s.chunks
			break
		}
		taken++
		s.read++
	}
	if taken == 0 && !s.whole && s.read < s.chunks {
		s.lateChunks++
	}
}

func slowRow(name string, memory *stream.Memory, total int, streams []*slowStream) []string {
	whole, late, cancels := 0, 0, 0
	for _, s := range streams {
		if s.whole {
			whole++
		}
		if !s.stalled {
			late += s.lateChunks
		}
		cancels += s.cancels
	}
	bound := "none"
	if name != "unbounded" {
		bound = fmt.Sprint(total >> 20)
	}
	peak := fmt.Sprintf("%.1f", float64(memory.Peak())/(1<<20))
	return []string{name, bound, peak, fmt.Sprintf("%d/%d", whole, len(streams)), fmt.Sprint(late), fmt.Sprint(cancels)}
}
