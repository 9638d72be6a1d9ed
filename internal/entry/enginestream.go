package entry

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/pkg/stream"
)

// engineStream reads a streamed answer from its engine into a buffer. It stops
// reading when the caller is slow, and resumes a cut stream where it was cut.
type engineStream struct {
	run     *modelRun
	client  *engine.Client
	call    engine.Request
	events  *engine.Stream
	buffer  *stream.Buffer
	resumes int
}

// pump reads until the answer ends, can't go on, or ctx ends.
func (e *engineStream) pump(ctx context.Context) {
	for {
		chunk, err := e.events.Next()
		switch {
		case errors.Is(err, io.EOF):
			e.buffer.Close(stream.End{Complete: true, Chunks: uint64(e.events.NextNumber() - 1)})
			return
		case err != nil:
			if !e.resume(ctx, err) {
				e.buffer.Close(stream.End{Reason: err.Error()})
				return
			}
		case !e.put(ctx, chunk):
			return
		}
	}
}

// put waits until the buffer has taken the chunk. Past the buffer's patience
// the engine's stream is cancelled, and resumed when the caller reads again.
func (e *engineStream) put(ctx context.Context, chunk engine.Chunk) bool {
	data := append([]byte(nil), chunk.Data...)
	next := stream.Chunk{Stream: e.call.ID, Sequence: uint64(chunk.Number - 1), Data: data}
	for e.buffer.Put(next) == stream.Full {
		advice, err := e.buffer.Await(ctx)
		switch {
		case err != nil || advice == stream.Stop:
			return false
		case advice == stream.Cancel:
			e.run.server.counters.add("SlowReadersPaused", 1)
			if !e.pause(ctx) {
				return false
			}
			return true
		}
	}
	return true
}

// pause closes the engine's stream until the caller has read, then resumes it
// at the chunk that the buffer wants next.
func (e *engineStream) pause(ctx context.Context) bool {
	_ = e.events.Close()
	for {
		advice, err := e.buffer.Await(ctx)
		if err != nil || advice == stream.Stop {
			return false
		}
		if advice == stream.Send {
			break
		}
	}
	return e.resume(ctx, errPaused)
}

// errPaused is the reason of a resume after a slow caller's pause.
var errPaused = errors.New("stream was paused for a slow reader")

// resume continues the answer at the engine where it ended.
func (e *engineStream) resume(ctx context.Context, cause error) bool {
	for e.resumes < resumesPerRun && ctx.Err() == nil {
		if !errors.Is(cause, errPaused) {
			e.resumes++
		}
		events, err := e.client.Resume(ctx, e.call, int(e.buffer.NextSequence())+1)
		if err == nil {
			e.run.server.counters.add("StreamsResumed", 1)
			_ = e.events.Close()
			e.events = events
			return true
		}
		if !e.worthAnother(err) || !sleep(ctx, resumeDelay) {
			return false
		}
		cause = err
	}
	return false
}

// worthAnother reports whether the engine may still hold the answer.
func (e *engineStream) worthAnother(err error) bool {
	var refused *engine.RefusedError
	return !errors.As(err, &refused) && !errors.Is(err, engine.ErrBootChanged)
}
