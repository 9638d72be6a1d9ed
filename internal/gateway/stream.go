package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/exchange"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

// streamState is what the client has received of a stream, over all attempts.
type streamState struct {
	headSent        bool          // the client was sent the head of the answer
	lastEvent       int64         // ID of the last event that was sent to the client
	firstEventAfter time.Duration // time from the arrival of the request to its first event
	lastEventAt     time.Time     // time of the last event
	longestPause    time.Duration // longest time between two events
}

var (
	// errGap ends an attempt whose events don't continue after the last event that
	// the client received.
	errGap = errors.New("stream does not go on after the last event")
	// errRepetition ends an attempt that repeats more events than the client received.
	errRepetition = errors.New("stream repeats its events")
)

// relayStream passes events on to the client as they arrive, without those that the
// client received from an earlier attempt.
func (a *attempt) relayStream(ctx context.Context, answer *exchange.Answer, meta AnswerMeta) (attemptResult, dispatch.Result) {
	g, s := a.gateway, a.state
	if !meta.Signed || meta.Encoded {
		return attemptResult{next: stepRetry, mayBeReceived: true, reason: "answer is not the server's"}, dispatch.Failed
	}
	reader := newEventReader(answer.Body)
	var repeated int64
	continued := !s.headSent // the answer goes on after the last event that the client received
	for {
		e, err := reader.next()
		now := time.Now()
		if err == io.EOF && answer.EndsWithConn && a.events == 0 {
			err = io.ErrUnexpectedEOF // the server ended before it sent anything
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return a.failIncomplete(ctx, err)
		}
		g.Progress.noteEvent(a.server.ID, now)
		if a.events++; a.events == 1 {
			g.Places.NoteFirstEvent(a.ticket)
		}
		if a.events == soundEvents {
			g.Suspects.noteAnswer(a.prompt())
		}
		if !e.hasID && !continued {
			continue // such as an error; the rest of the stream begins with the next ID
		}
		if e.hasID {
			if e.id <= s.lastEvent {
				if repeated++; repeated > s.lastEvent {
					return a.failIncomplete(ctx, errRepetition)
				}
				continue
			}
			if s.lastEvent > 0 && e.id != s.lastEvent+1 {
				return a.failIncomplete(ctx, errGap)
			}
			continued = true
		}
		if err := a.writeEvent(e, answer, reader.hasBuffered()); err != nil {
			return attemptResult{next: stepFinish, err: errors.Wrap(err, "writing an event to the client")}, dispatch.Canceled
		}
		if e.hasID {
			s.lastEvent = e.id
		}
		if s.lastEventAt.IsZero() {
			s.firstEventAfter = now.Sub(a.arrived)
			g.Metrics.FirstEventTime.Observe(s.firstEventAfter.Seconds())
		} else {
			s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
			g.Metrics.EventGaps.Observe(now.Sub(s.lastEventAt).Seconds())
		}
		s.lastEventAt = now
	}
	if !continued && a.events > 0 && repeated == 0 {
		return a.failIncomplete(ctx, errGap)
	}
	if !s.headSent {
		a.beginStream(answer)
	}
	if a.events < soundEvents {
		g.Suspects.noteAnswer(a.prompt())
	}
	a.trace.Add("answered", telemetry.Fields{
		"place": a.server.ID, "status": http.StatusOK, "last_event": s.lastEvent,
		"first_event_ms": s.firstEventAfter.Milliseconds(), "longest_pause_ms": s.longestPause.Milliseconds(),
	})
	return attemptResult{next: stepFinish, reason: outcomeServed}, dispatch.Served
}

// writeEvent writes an event to the client, preceded by the head of the answer if it
// is the first. It flushes unless further events are buffered.
func (a *attempt) writeEvent(e event, answer *exchange.Answer, moreBuffered bool) error {
	a.gateway.Progress.setWriting(&a.progress, true)
	defer a.gateway.Progress.setWriting(&a.progress, false)
	if !a.state.headSent {
		a.beginStream(answer)
	}
	if _, err := a.writer.Write(e.data); err != nil {
		return err
	}
	if moreBuffered {
		return nil
	}
	return a.control.Flush()
}

// beginStream sends the head of the answer.
func (a *attempt) beginStream(answer *exchange.Answer) {
	a.prepareAnswer(sendTime)
	h := a.writer.Header()
	for name, values := range endToEndHeader(answer.Header) {
		h[name] = values
	}
	a.writer.WriteHeader(answer.Status)
	a.state.headSent = true
}
