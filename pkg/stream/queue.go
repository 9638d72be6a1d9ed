package stream

import (
	"fmt"
	"time"
)

// Chunk is a numbered part of an answer.
type Chunk struct {
	Stream   string // ID of the stream, which is the ID of the request
	Sequence uint64 // from 0
	Data     []byte
}

// PutResult is the result of [Buffer.Put].
type PutResult uint8

//go:generate go tool stringer -type=PutResult

// Results of [Buffer.Put]. Only an Accepted chunk is stored.
const (
	Accepted  PutResult = iota
	Duplicate           // the chunk was accepted before
	Foreign             // the chunk belongs to another stream
	Gap                 // a previous chunk is missing; resume the stream from NextSequence
	Full                // no memory is free; put the chunk again when Await returns Send
	TooLarge            // the chunk exceeds the maximum size, so the stream must be ended
	Ended               // the producer or the consumer has closed the buffer
)

// End says how a stream ended.
type End struct {
	Complete bool   // whether the engine sent its end mark
	Chunks   uint64 // number of chunks of a complete answer
	Reason   string // why the answer is incomplete
}

// Advice says what the producer should do.
type Advice uint8

//go:generate go tool stringer -type=Advice

// Values of [Advice].
const (
	Send   Advice = iota // put chunks; after Cancel, first resume the stream at the engine from NextSequence
	Wait                 // stop reading from the engine
	Cancel               // cancel the stream at the engine
	Stop                 // end the stream: the producer or the consumer has closed the buffer
)

// DropCounts counts the chunks that a buffer dropped, by PutResult.
type DropCounts struct {
	Duplicates int
	Foreign    int
	Gaps       int
}

// TruncatedError is the error for an answer that ended before it was complete.
type TruncatedError struct {
	Stream       string
	NextSequence uint64 // of the first missing chunk
	Reason       string
}

// Error returns the stream, the first missing chunk and the reason.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("stream %s was truncated before chunk %d: %s", e.Stream, e.NextSequence, e.Reason)
}

// producerState is the state of the producer's stream at the engine.
type producerState uint8

const (
	stateSending   producerState = iota
	stateFull                    // a chunk was refused, at fullSince
	stateCancelled               // the producer was advised to cancel
)

// queue is the state machine of a buffer. It reads no clock and does no locking.
type queue struct {
	id          string
	memory      *Memory
	lowWater    int // a full or cancelled stream continues when it holds at most this many bytes
	cancelAfter time.Duration

	nextSequence uint64 // of the chunk that Put accepts next
	chunks       []Chunk
	bytes        int
	state        producerState
	fullSince    time.Time
	refusedBytes int // size of the last chunk with the result Full
	end          *End
	readClosed   bool // by the consumer
	dropped      DropCounts
}

func (q *queue) put(c Chunk, now time.Time) PutResult {
	switch {
	case q.end != nil || q.readClosed:
		return Ended
	case c.Stream != q.id:
		q.dropped.Foreign++
		return Foreign
	case c.Sequence < q.nextSequence:
		q.dropped.Duplicates++
		return Duplicate
	case c.Sequence > q.nextSequence:
		q.dropped.Gaps++
		return Gap
	case len(c.Data) > q.memory.maxChunkBytes():
		return TooLarge
	case !q.memory.reserve(len(c.Data), q.bytes):
		q.markFull(now, len(c.Data))
		return Full
	}
	q.state = stateSending
	q.nextSequence++
	q.bytes += len(c.Data)
	q.chunks = append(q.chunks, c)
	return Accepted
}

func (q *queue) markFull(now time.Time, chunkBytes int) {
	q.refusedBytes = chunkBytes
	if q.state == stateSending {
		q.state = stateFull
		q.fullSince = now
	}
}

// advise returns what the producer should do now.
func (q *queue) advise(now time.Time) Advice {
	canSend := q.bytes <= q.lowWater && q.memory.fits(q.refusedBytes, q.bytes)
	switch {
	case q.end != nil || q.readClosed:
		return Stop
	case q.state == stateSending || canSend:
		return Send
	case q.state == stateFull && now.Sub(q.fullSince) >= q.cancelAfter:
		q.state = stateCancelled
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
	q.memory.release(len(c.Data))
	return c, true
}

// close sets the end of the stream. If e claims a complete answer but its number of
// chunks differs from those accepted, the answer counts as truncated.
func (q *queue) close(e End) {
	if q.end != nil {
		return
	}
	if e.Complete && e.Chunks != q.nextSequence {
		e = End{Reason: fmt.Sprintf("end mark announces %d chunks, but %d arrived", e.Chunks, q.nextSequence)}
	}
	q.end = &e
}

// closeRead drops all chunks, because the consumer has stopped reading.
func (q *queue) closeRead() {
	q.readClosed = true
	q.memory.release(q.bytes)
	q.bytes = 0
	q.chunks = nil
}
