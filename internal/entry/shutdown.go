package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/platform"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// CutError reports a shutdown that did not wait for all that was in hand.
type CutError struct{ Requests int64 }

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("shutdown cut %d requests", e.Requests)
}

// errShutdownDeadline ends what is still in hand when the deadline passes.
var errShutdownDeadline = errors.New("shutdown deadline passed")

// admit takes note of a new request. The returned function ends it.
func (s *Server) admit() (done func(), refused *refusal) {
	d := &s.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return nil, notRun(http.StatusServiceUnavailable, "shutting-down", "this entry instance is shutting down").after(time.Second)
	}
	if d.inHand >= s.settings.Limits.MaxRequests {
		return nil, notRun(http.StatusServiceUnavailable, "too-many-requests", "this entry instance has %d requests in hand", d.inHand).after(time.Second)
	}
	d.inHand++
	return s.release, nil
}

// hold takes note of work that a graceful shutdown has to wait for.
func (s *Server) hold() (done func()) {
	s.drain.mu.Lock()
	defer s.drain.mu.Unlock()
	s.drain.inHand++
	return s.release
}

func (s *Server) release() {
	d := &s.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inHand--
	if d.inHand == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// InHand returns the number of requests in hand.
func (s *Server) InHand() int {
	s.drain.mu.Lock()
	defer s.drain.mu.Unlock()
	return s.drain.inHand
}

// endWithDrain returns a context that ends when the shutdown deadline passes.
func (s *Server) endWithDrain(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.drain.mu.Lock()
	s.drain.init()
	cut := s.drain.cut
	s.drain.mu.Unlock()
	stop := context.AfterFunc(cut, func() { cancel(context.Cause(cut)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func (d *drainState) init() {
	if d.cut == nil {
		d.cut, d.cutAll = context.WithCancelCause(context.Background())
	}
}

// CancelRequests ends a graceful shutdown at once. What is in hand is cut.
func (s *Server) CancelRequests() {
	s.drain.mu.Lock()
	defer s.drain.mu.Unlock()
	s.drain.init()
	s.drain.cutAll(errShutdownDeadline)
}

// shutDown stops gracefully. First the balancer is told, then new connections
// are refused, then all that is in hand ends, and last the instance leaves.
func (s *Server) shutDown(ctx context.Context, listeners *listeners) {
	ctx, cancel := context.WithTimeoutCause(ctx, s.settings.Shutdown.Deadline, errShutdownDeadline)
	defer cancel()
	s.log.WithField("in_hand", s.InHand()).Info("graceful shutdown begins")
	s.notReadyFor(ctx, s.settings.Shutdown.BalancerDelay)
	s.drain.mu.Lock()
	s.drain.init()
	s.drain.draining = true
	cut := s.drain.cut
	s.drain.mu.Unlock()
	listeners.refuseCallers()
	s.awaitIdle(ctx, cut)
	listeners.closeCallers()
	s.leave(ctx, cut)
}

// notReadyFor answers the balancer's readiness check with no while new requests
// are still served, since the balancer notices late.
func (s *Server) notReadyFor(ctx context.Context, delay time.Duration) {
	s.fleet.stopping.Store(true)
	s.drain.mu.Lock()
	s.drain.init()
	cut := s.drain.cut
	s.drain.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-cut.Done():
	case <-ctx.Done():
	}
}

// awaitIdle waits until nothing is in hand. At the deadline it cuts what is
// left and reports it.
func (s *Server) awaitIdle(ctx, cut context.Context) {
	select {
	case <-s.idle():
		return
	case <-ctx.Done():
	case <-cut.Done():
	}
	s.drain.left.Store(int64(s.InHand()))
	s.log.WithField("cut", s.InHand()).Warn("shutdown cuts requests")
	s.CancelRequests()
	select {
	case <-s.idle():
	case <-time.After(cutGrace):
	}
}

// cutGrace is how long cut requests have to tell their callers.
const cutGrace = 2 * time.Second

func (s *Server) idle() <-chan struct{} {
	d := &s.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle == nil {
		d.idle = make(chan struct{})
		if d.inHand == 0 {
			close(d.idle)
			idle := d.idle
			d.idle = nil
			return idle
		}
	}
	return d.idle
}

// leave writes what has to be recorded and takes the instance out of the
// placement, so that its shares pass to the others at once.
func (s *Server) leave(ctx, cut context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	stop := context.AfterFunc(cut, cancel)
	defer stop()
	if err := s.claimant.Flush(ctx); err != nil {
		s.log.WithError(err).Warn("claims are not all recorded")
	}
	s.control.Release(ctx)
	s.members.Leave()
	entry, joined := s.placement.State().Entry(s.process.Name)
	if !joined || entry.BootID != s.process.BootID {
		return
	}
	err := s.placement.Append(ctx, placement.Record{
		ID:       newRecordID(),
		Presumes: entry.Joined,
		Writer:   s.process.Name,
		Body:     placement.EntryLeave{Process: s.process},
	})
	if err != nil {
		s.log.WithError(err).Warn("leaving is not recorded; the platform's list will tell the others")
		return
	}
	s.log.Info("left the placement")
}

// leaveTimeout bounds the last records of a graceful shutdown.
const leaveTimeout = 5 * time.Second

// tellEnded tells the platform that this run has ended: nothing of it is left
// that could send anything.
func (s *Server) tellEnded() {
	ctx, cancel := context.WithTimeout(context.Background(), endedTimeout)
	defer cancel()
	ended := s.registration()
	ended.State = platform.Gone
	if err := s.platform.Register(ctx, ended); err != nil {
		s.log.WithError(err).Debug("platform was not told that this run has ended")
	}
}

// endedTimeout bounds the last call to the platform.
const endedTimeout = time.Second
