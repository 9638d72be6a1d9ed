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
	slowChunks     = 300                    // of each stream
	slowChunkBytes = 4000                   // ten tokens as server-sent events
	slowEvery      = 500 * time.Millisecond // between two chunks of an engine
	slowWakes      = 2 * time.Minute        // when the stalled readers read again
	slowPauseAfter = 10 * time.Second
	slowSpan       = 20 * time.Minute
	slowReadBurst  = 4 // chunks that a woken reader takes in slowEvery
)

// slowPayload is the data of every chunk: the measure counts bytes, and holds
// none of them.
var slowPayload = make([]byte, slowChunkBytes)

// slowStream is one answer on its way from an engine to a reader.
type slowStream struct {
	id      string
	chunks  uint64 // of the whole answer
	buffer  *stream.Buffer
	stalled bool
	running bool // the engine sends
	sent    uint64
	read    uint64
	whole   bool
	late    int // chunks of a moving reader that came later than slowEvery after they were due
	cancels int
}

// SlowReaders holds 1,000 stalled readers and 100 moving ones, and compares the
// bytes held with buffers that have no bound.
func SlowReaders(seed uint64) Table { return slowReadersBufferTable(seed, slowChunks) }

func slowReadersBufferTable(seed uint64, chunks uint64) Table {
	t := Table{
		Name: "slow readers", Seed: seed,
		Columns: []string{"buffers", "bound MiB", "peak MiB", "whole answers", "late chunks of moving readers", "cancels"},
		Note: fmt.Sprintf("%d stalled and %d moving readers, %d chunks of %d bytes every %v; the stalled ones wake after %v",
			slowStalled, slowMoving, chunks, slowChunkBytes, slowEvery, slowWakes),
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
	for open := len(streams); open > 0 && now.Sub(eventEpoch) < slowSpan; now = now.Add(slowEvery) {
		awake := now.Sub(eventEpoch) >= slowWakes
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

// produce lets the engine send one chunk, unless the buffer says otherwise.
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

// consume lets the reader take what is there, a burst at most. The context has
// ended, so that nothing waits.
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
		s.late++
	}
}

func slowRow(name string, memory *stream.Memory, total int, streams []*slowStream) []string {
	whole, late, cancels := 0, 0, 0
	for _, s := range streams {
		if s.whole {
			whole++
		}
		if !s.stalled {
			late += s.late
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
