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

// streamState is what the client has of a stream, over all attempts.
type streamState struct {
	begun     bool          // the client has the head of the answer
	lastEvent int64         // the last event that the client has
	first     time.Duration // from the request's arrival to the first event
	at        time.Time     // of the last event
	pause     time.Duration // the longest between two events
}

var (
	// errGap ends an attempt whose events don't go on where the client's end.
	errGap = errors.New("stream does not go on after the last event")
	// errRepetition ends an attempt that sends more events again than there were.
	errRepetition = errors.New("stream repeats its events")
)

// stream passes events on as they arrive.
func (a *attempt) stream(ctx context.Context, answer *exchange.Answer, mark AnswerMeta) (ending, dispatch.Result) {
	g, s := a.gateway, a.state
	if !mark.Signed || mark.Encoded {
		return ending{next: again, sent: true, reason: "answer is not the server's"}, dispatch.Failed
	}
	a.setDeadline()
	reader := newEventReader(answer.Body)
	started := false
	var repeated int64
	for {
		e, err := reader.next()
		now := time.Now()
		if err == io.EOF {
			break
		}
		if err != nil {
			return a.broken(ctx, err)
		}
		g.Progress.event(a.server.ID, now)
		if !started {
			started = true
			g.Places.Started(a.ticket)
		}
		if e.hasID {
			if e.id <= s.lastEvent {
				if repeated++; repeated > s.lastEvent {
					return a.broken(ctx, errRepetition)
				}
				continue
			}
			if s.lastEvent > 0 && e.id != s.lastEvent+1 {
				return a.broken(ctx, errGap)
			}
		}
		if err := a.pass(e, answer, reader.more()); err != nil {
			return ending{next: finished, err: errors.Wrap(err, "client")}, dispatch.Canceled
		}
		if e.hasID {
			s.lastEvent = e.id
		}
		if s.at.IsZero() {
			s.first = now.Sub(a.arrived)
			g.Metrics.FirstEvent.Observe(s.first.Seconds())
		} else {
			s.pause = max(s.pause, now.Sub(s.at))
			g.Metrics.Pauses.Observe(now.Sub(s.at).Seconds())
		}
		s.at = now
	}
	if !s.begun {
		a.beginStream(answer)
	}
	a.story.Add("answered", telemetry.Fields{
		"place": a.server.ID, "status": http.StatusOK, "last_event": s.lastEvent,
		"first_event_ms": s.first.Milliseconds(), "longest_pause_ms": s.pause.Milliseconds(),
	})
	return ending{next: finished, reason: outcomeServed}, dispatch.Served
}

// pass writes an event to the client, and the head of the answer before the first.
func (a *attempt) pass(e event, answer *exchange.Answer, more bool) error {
	if !a.state.begun {
		a.beginStream(answer)
	}
	if _, err := a.writer.Write(e.data); err != nil {
		return err
	}
	if more {
		return nil
	}
	return a.control.Flush()
}

func (a *attempt) beginStream(answer *exchange.Answer) {
	h := a.writer.Header()
	for name, values := range passOn(answer.Header) {
		h[name] = values
	}
	a.writer.WriteHeader(answer.Status)
	a.state.begun = true
}
