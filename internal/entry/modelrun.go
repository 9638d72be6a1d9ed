package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/pkg/group"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/stream"
)

const (
	// maxResumesPerRun limits how often an interrupted stream is resumed at its
	// engine.
	maxResumesPerRun = 5
	// resumeDelay is the wait between two attempts to resume a stream.
	resumeDelay = 50 * time.Millisecond
	// cancelTimeout bounds one call that cancels an abandoned request at its engine.
	cancelTimeout = 2 * time.Second
	// cancelRetryDelay is the wait before that call is repeated.
	cancelRetryDelay = 250 * time.Millisecond
	// callerHeartbeatInterval is the longest time in which nothing is sent on a
	// started stream to a caller.
	callerHeartbeatInterval = 5 * time.Second
)

// modelRun is one attempt to run a model request at a backend server.
type modelRun struct {
	server  *Server
	req     *request
	model   *modelRequest
	place   modelPlace
	answer  *answerWriter
	attempt int

	client        *engine.Client
	call          engine.Request
	engineMayHold bool // the engine may still hold the request
}

func (r *modelRun) run(ctx context.Context) *refusal {
	r.call = engine.Request{
		ID:       uuid.NewString(),
		Path:     withoutQuery(r.req.Path),
		Body:     r.req.Body,
		Priority: r.req.Priority,
		BootID:   r.place.Permit.Boot,
	}
	r.client = r.server.engineClient(r.place.Permit.Backend)
	if r.client == nil {
		return r.backendLost("backend server %q is no longer configured", r.place.Permit.Backend)
	}
	r.server.markCached(r.place, r.model)
	if r.model.Stream {
		return r.runStream(ctx)
	}
	return r.runUnstreamed(ctx)
}

// runUnstreamed runs a request whose answer is not streamed.
func (r *modelRun) runUnstreamed(ctx context.Context) *refusal {
	reply, err := r.client.Complete(ctx, r.call)
	if err != nil {
		return r.callRefusal(ctx, err)
	}
	if refused := r.checkIdentity(reply.BootID, reply.Group, reply.Epoch); refused != nil {
		return refused
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, outcomeComplete.String())
	return r.writeRefusal(r.answer.writeWhole(http.StatusOK, header, reply.Body))
}

// runStream runs a request whose answer is streamed.
func (r *modelRun) runStream(ctx context.Context) *refusal {
	events, err := r.client.Stream(ctx, r.call)
	if err != nil {
		return r.callRefusal(ctx, err)
	}
	defer func() { _ = events.Close() }()
	r.engineMayHold = true
	if refused := r.checkIdentity(events.BootID, events.Group, events.Epoch); refused != nil {
		return refused
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	buffer := stream.NewBuffer(r.call.ID, r.server.memory, stream.Options{})
	defer buffer.CloseRead()
	source := &engineStream{run: r, client: r.client, call: r.call, events: events, buffer: buffer}
	copyDone := make(chan struct{})
	go func() {
		defer close(copyDone)
		source.copyToBuffer(ctx)
	}()
	refused := r.deliver(ctx, buffer)
	r.engineMayHold = refused != nil
	cancel()
	<-copyDone
	return refused
}

// deliver writes the chunks to the caller. Only a complete answer gets the end mark.
func (r *modelRun) deliver(ctx context.Context, buffer *stream.Buffer) *refusal {
	var event bytes.Buffer
	for {
		chunk, err := nextChunk(ctx, buffer, r.keepAlive)
		if errors.Is(err, io.EOF) {
			return r.finish()
		}
		if err != nil {
			return r.streamRefusal(ctx, err)
		}
		if refused := r.writeHead(); refused != nil {
			return refused
		}
		event.Reset()
		event.WriteString("data: ")
		event.Write(chunk.Data)
		event.WriteString("\n\n")
		if err := r.answer.WriteChunk(event.Bytes()); err != nil {
			return r.writeRefusal(err)
		}
	}
}

// nextChunk returns the next chunk. It calls keepAlive whenever no chunk arrives for
// callerHeartbeatInterval.
func nextChunk(ctx context.Context, buffer *stream.Buffer, keepAlive func()) (stream.Chunk, error) {
	for {
		waitCtx, cancel := context.WithTimeout(ctx, callerHeartbeatInterval)
		chunk, err := buffer.Next(waitCtx)
		idle := waitCtx.Err() != nil && ctx.Err() == nil
		cancel()
		if err != nil && idle && errors.Is(err, context.DeadlineExceeded) {
			keepAlive()
			continue
		}
		return chunk, err
	}
}

// keepAlive sends a comment line, which readers of event streams ignore.
func (r *modelRun) keepAlive() {
	if r.answer.started {
		_ = r.answer.WriteChunk([]byte(": \n\n"))
	}
}

// writeHead sends the head of a streamed answer, unless it was sent already.
func (r *modelRun) writeHead() *refusal {
	if r.answer.started {
		return nil
	}
	header := http.Header{}
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	return r.writeRefusal(r.answer.writeHead(http.StatusOK, header))
}

func (r *modelRun) finish() *refusal {
	if refused := r.writeHead(); refused != nil {
		return refused
	}
	if err := r.answer.WriteChunk([]byte("data: [DONE]\n\n")); err != nil {
		return r.writeRefusal(err)
	}
	return r.writeRefusal(r.answer.finish())
}

// checkIdentity checks that the answer comes from the group and the boot that the
// request was sent to.
func (r *modelRun) checkIdentity(bootID, groupName string, epoch int64) *refusal {
	s := r.server
	server := r.place.Permit.Backend
	s.watcher.NoteBootID(server, bootID)
	err := s.check.StillWhole(s.placement.State(), r.place.Ticket, s.watcher.Reports(), group.ResponseIdentity{
		Server: server, BootID: bootID, Group: groupName, Epoch: journal.Offset(epoch),
	})
	if err != nil {
		s.counters.add("AnswersOfOtherGroups", 1)
		return r.backendLost("%v", err)
	}
	return nil
}

// callRefusal turns a failed call of an engine into a refusal. The request may be
// tried elsewhere as long as nothing was delivered, since a model request has no
// effect except its answer.
func (r *modelRun) callRefusal(ctx context.Context, err error) *refusal {
	var refusedErr *engine.RefusedError
	if errors.As(err, &refusedErr) && refusedErr.Status >= 400 && refusedErr.Status < 500 && refusedErr.Status != http.StatusTooManyRequests {
		refused := notRunRefusal(refusedErr.Status, "bad-request", "the model engine refused the request: %s", engineMessage(refusedErr.Message))
		if !refusedErr.NotStarted {
			refused.Outcome = outcomeUnknown
		}
		return refused
	}
	r.engineMayHold = errors.Is(err, engine.ErrMaybeSent)
	if ctx.Err() != nil {
		return r.contextRefusal(ctx)
	}
	if errors.Is(err, engine.ErrBootChanged) || errors.Is(err, syscall.ECONNREFUSED) {
		r.server.watcher.MarkDown(r.place.Permit.Backend)
		r.server.invalidateRouting()
	}
	refused := r.backendLost("%v", err)
	if errors.As(err, &refusedErr) {
		refused.RetryAfter = refusedErr.RetryAfter
	}
	notStarted := refusedErr != nil && refusedErr.NotStarted
	refused.notSent = errors.Is(err, engine.ErrNotSent)
	if notStarted || refused.notSent {
		refused.Outcome, refused.Status = outcomeNotRun, http.StatusServiceUnavailable
	}
	return refused
}

// streamRefusal returns the refusal for a stream that broke off and can't be
// resumed.
func (r *modelRun) streamRefusal(ctx context.Context, err error) *refusal {
	if ctx.Err() != nil {
		return r.contextRefusal(ctx)
	}
	return r.backendLost("%v", err)
}

// backendLost returns a refusal after which the request may be tried elsewhere.
func (r *modelRun) backendLost(detail string, args ...any) *refusal {
	refused := unknownRefusal("backend-lost", detail, args...)
	refused.retryElsewhere = true
	return refused
}

// contextRefusal returns the refusal that states why the request's context ended.
func (r *modelRun) contextRefusal(ctx context.Context) *refusal {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		refused := unknownRefusal("deadline", "the deadline of the request passed before the answer was complete")
		refused.Status = http.StatusGatewayTimeout
		return refused
	case errors.Is(cause, errShutdownDeadline):
		return unknownRefusal("shutting-down", "the entry instance was shut down before the answer was complete")
	}
	return unknownRefusal("cancelled", "the caller cancelled the request")
}

// writeRefusal turns a failed write to the caller into a refusal.
func (r *modelRun) writeRefusal(err error) *refusal {
	if err == nil {
		return nil
	}
	return unknownRefusal("caller-lost", "the answer could not be delivered: %v", err)
}

// cancelUntilConfirmed cancels a request at its engine. It returns when the engine
// has confirmed that it no longer holds the request, when the engine's process is
// gone, or when ctx ends. Until then the request counts against the limits.
func (r *modelRun) cancelUntilConfirmed(ctx context.Context) {
	for !r.tryCancel(ctx) && sleep(ctx, cancelRetryDelay) {
	}
}

func (r *modelRun) tryCancel(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	err := r.client.Cancel(ctx, r.call)
	var refused *engine.RefusedError
	if errors.As(err, &refused) {
		return refused.Status == http.StatusNotFound
	}
	return err == nil || errors.Is(err, engine.ErrBootChanged)
}

// engineMessage returns the message of an engine's JSON error body, or the body
// itself if it is not of that form.
func engineMessage(body string) string {
	var parsed errorBody
	if json.Unmarshal([]byte(body), &parsed) == nil && parsed.Error.Message != "" {
		return parsed.Error.Message
	}
	return body
}

func withoutQuery(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}
