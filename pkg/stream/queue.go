package stream

import (
	"fmt"
	"time"
)

// Chunk is one numbered piece of an answer.
type Chunk struct {
	Stream   string // ID of the request that it answers
	Sequence uint64 // from 0
	Data     []byte
}

// PutResult says what became of a chunk.
type PutResult uint8

//go:generate go tool stringer -type=PutResult

// The results of Put.
const (
	Accepted  PutResult = iota
	Duplicate           // it was accepted before; dropped
	Foreign             // it belongs to another stream; dropped
	Gap                 // a chunk before it is missing; dropped, resume from NextSequence
	Full                // no room; put it again when Await says Send
	TooLarge            // it never fits; the stream has to be cut
	Ended               // the buffer was closed; dropped
)

// End is the end mark of a stream.
type End struct {
	Complete bool   // the engine sent its end mark
	Chunks   uint64 // chunks of the whole answer
	Reason   string // of a cut
}

// Advice tells the producer what to do.
type Advice uint8

//go:generate go tool stringer -type=Advice

// The advice to a producer.
const (
	Send   Advice = iota // put chunks; after Cancel: resume the engine from NextSequence
	Wait                 // stop reading from the engine
	Cancel               // cancel the stream at the engine
	Stop                 // the consumer is gone or the buffer is closed
)

// Counts are what a buffer dropped.
type Counts struct {
	Duplicates int
	Foreign    int
	Gaps       int
}

// CutError reports an answer that ended without its end mark.
type CutError struct {
	Stream string
	Next   uint64 // number of the first chunk that is missing
	Reason string
}

// Error names the stream and where it was cut.
func (e *CutError) Error() string {
	return fmt.Sprintf("stream %s was cut before chunk %d: %s", e.Stream, e.Next, e.Reason)
}

// flow is how the producer stands with the engine.
type flow uint8

const (
	flowing flow = iota
	full         // since fullSince
	paused       // cancelled at the engine
)

// queue is the state machine of one buffer. It has no clock and no locks.
type queue struct {
	id       string
	memory   *Memory
	lowWater int // bytes under which a paused stream resumes
	pause    time.Duration

	next      uint64 // sequence that Put wants
	chunks    []Chunk
	bytes     int
	flow      flow
	fullSince time.Time
	wanted    int // bytes of the chunk that was refused
	end       *End
	gone      bool // the consumer left
	counts    Counts
}

func (q *queue) put(c Chunk, now time.Time) PutResult {
	switch {
	case q.end != nil || q.gone:
		return Ended
	case c.Stream != q.id:
		q.counts.Foreign++
		return Foreign
	case c.Sequence < q.next:
		q.counts.Duplicates++
		return Duplicate
	case c.Sequence > q.next:
		q.counts.Gaps++
		return Gap
	case len(c.Data) > q.memory.largest():
		return TooLarge
	case !q.memory.take(len(c.Data), q.bytes):
		q.fill(now, len(c.Data))
		return Full
	}
	q.flow = flowing
	q.next++
	q.bytes += len(c.Data)
	q.chunks = append(q.chunks, c)
	return Accepted
}

func (q *queue) fill(now time.Time, wanted int) {
	q.wanted = wanted
	if q.flow == flowing {
		q.flow = full
		q.fullSince = now
	}
}

// advise returns what the producer should do now.
func (q *queue) advise(now time.Time) Advice {
	drained := q.bytes <= q.lowWater && q.memory.fits(q.wanted, q.bytes)
	switch {
	case q.end != nil || q.gone:
		return Stop
	case q.flow == flowing || drained:
		return Send
	case q.flow == full && now.Sub(q.fullSince) >= q.pause:
		q.flow = paused
		return Cancel
	default:
		return Wait
	}
}

// take removes the oldest chunk.
func (q *queue) take() (Chunk, bool) {
	if len(q.chunks) == 0 {
		return Chunk{}, false
	}
	c := q.chunks[0]
	q.chunks[0] = Chunk{}
	q.chunks = q.chunks[1:]
	q.bytes -= len(c.Data)
	q.memory.give(len(c.Data))
	return c, true
}

// close sets the end mark. A whole end that counts other chunks than were put
// is a cut.
func (q *queue) close(e End) {
	if q.end != nil {
		return
	}
	if e.Complete && e.Chunks != q.next {
		e = End{Reason: fmt.Sprintf("end mark counts %d chunks, %d arrived", e.Chunks, q.next)}
	}
	q.end = &e
}

// leave drops all chunks, because the consumer is gone.
func (q *queue) leave() {
	q.gone = true
	q.memory.give(q.bytes)
	q.bytes = 0
	q.chunks = nil
}
