package entry

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/pkg/stream"
)

// engineStream reads a streamed answer from a model engine into a buffer. It stops
// reading while the caller is slow, and resumes an interrupted stream at the next
// chunk.
type engineStream struct {
	run     *modelRun
	client  *engine.Client
	call    engine.Request
	events  *engine.Stream
	buffer  *stream.Buffer
	resumes int
}

// copyToBuffer reads until the answer ends, the stream can't be resumed, or ctx
// ends.
func (e *engineStream) copyToBuffer(ctx context.Context) {
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
		case !e.putChunk(ctx, chunk):
			return
		}
	}
}

// putChunk waits until the buffer has accepted the chunk. If the buffer stays full
// beyond its timeout, the stream at the engine is closed, and resumed when the
// caller reads again.
func (e *engineStream) putChunk(ctx context.Context, chunk engine.Chunk) bool {
	data := append([]byte(nil), chunk.Data...)
	buffered := stream.Chunk{Stream: e.call.ID, Sequence: uint64(chunk.Number - 1), Data: data}
	for e.buffer.Put(buffered) == stream.Full {
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

// pause closes the stream at the engine until the caller has read from the buffer.
// It then resumes the stream at the next chunk that the buffer expects.
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

// errPaused is the cause of a resumption after a pause for a slow caller. Such
// resumptions don't count against maxResumesPerRun.
var errPaused = errors.New("stream was paused for a slow caller")

// resume requests the rest of the answer from the engine.
func (e *engineStream) resume(ctx context.Context, cause error) bool {
	for e.resumes < maxResumesPerRun && ctx.Err() == nil {
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
		if !e.mayResume(err) || !sleep(ctx, resumeDelay) {
			return false
		}
		cause = err
	}
	return false
}

// mayResume reports whether the engine may still hold the answer after a failed
// resumption.
func (e *engineStream) mayResume(err error) bool {
	var refused *engine.RefusedError
	return !errors.As(err, &refused) && !errors.Is(err, engine.ErrBootChanged)
}
