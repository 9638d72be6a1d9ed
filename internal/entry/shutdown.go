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

// CutError reports that a shutdown cut requests that were still active.
type CutError struct{ Requests int64 }

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("shutdown cut %d requests", e.Requests)
}

// errShutdownDeadline is the cause that cancels active requests when the shutdown
// deadline passes.
var errShutdownDeadline = errors.New("shutdown deadline passed")

// admit counts a new request as active, unless the instance is shutting down or has
// too many. The caller must call done when the request ends.
func (s *Server) admit() (done func(), refused *refusal) {
	d := &s.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return nil, notRunRefusal(http.StatusServiceUnavailable, "shutting-down", "this entry instance is shutting down").withRetryAfter(time.Second)
	}
	if d.active >= s.settings.Limits.MaxRequests {
		return nil, notRunRefusal(http.StatusServiceUnavailable, "too-many-requests", "this entry instance already has %d active requests", d.active).withRetryAfter(time.Second)
	}
	d.active++
	return s.release, nil
}

func (s *Server) isDraining() bool {
	s.drain.mu.Lock()
	defer s.drain.mu.Unlock()
	return s.drain.draining
}

// trackWork counts background work that a graceful shutdown has to wait for. The
// caller must call done when the work ends.
func (s *Server) trackWork() (done func()) {
	s.drain.mu.Lock()
	defer s.drain.mu.Unlock()
	s.drain.active++
	return s.release
}

func (s *Server) release() {
	d := &s.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.active == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// ActiveRequests returns the number of active requests, including background work
// that belongs to them.
func (s *Server) ActiveRequests() int {
	s.drain.mu.Lock()
	defer s.drain.mu.Unlock()
	return s.drain.active
}

// withShutdownCut returns a context that is also cancelled when the shutdown cuts
// the active requests.
func (s *Server) withShutdownCut(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.drain.mu.Lock()
	s.drain.init()
	cut := s.drain.cutCtx
	s.drain.mu.Unlock()
	stop := context.AfterFunc(cut, func() { cancel(context.Cause(cut)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func (d *drainState) init() {
	if d.cutCtx == nil {
		d.cutCtx, d.cancelAll = context.WithCancelCause(context.Background())
	}
}

// CancelRequests ends a graceful shutdown at once by cancelling all active requests.
func (s *Server) CancelRequests() {
	s.drain.mu.Lock()
	defer s.drain.mu.Unlock()
	s.drain.init()
	s.drain.cancelAll(errShutdownDeadline)
}

// shutDown shuts down gracefully. It fails the readiness check, then refuses new
// connections, waits until all active requests have ended and leaves the placement.
func (s *Server) shutDown(ctx context.Context, l *listeners) {
	ctx, cancel := context.WithTimeoutCause(ctx, s.settings.Shutdown.Deadline, errShutdownDeadline)
	defer cancel()
	s.log.WithField("in_hand", s.ActiveRequests()).Info("graceful shutdown begins")
	s.failReadiness(ctx, s.settings.Shutdown.BalancerDelay)
	s.drain.mu.Lock()
	s.drain.init()
	s.drain.draining = true
	cut := s.drain.cutCtx
	s.drain.mu.Unlock()
	closed := l.stopCallers()
	s.awaitIdle(ctx, cut)
	awaitClosed(ctx, cut, closed)
	l.closeCallers()
	s.leave(ctx, cut)
}

// failReadiness fails the balancer's readiness check and waits for the delay while
// new requests are still served, since the balancer notices the change late.
func (s *Server) failReadiness(ctx context.Context, delay time.Duration) {
	s.fleet.stopping.Store(true)
	s.drain.mu.Lock()
	s.drain.init()
	cut := s.drain.cutCtx
	s.drain.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-cut.Done():
	case <-ctx.Done():
	}
}

// awaitIdle waits until no request is active. At the deadline it cuts the remaining
// requests and logs their number.
func (s *Server) awaitIdle(ctx, cut context.Context) {
	select {
	case <-s.idle():
		return
	case <-ctx.Done():
	case <-cut.Done():
	}
	s.drain.cutRequests.Store(int64(s.ActiveRequests()))
	s.log.WithField("cut", s.ActiveRequests()).Warn("shutdown cuts requests")
	s.CancelRequests()
	select {
	case <-s.idle():
	case <-time.After(cutGracePeriod):
	}
}

// awaitClosed waits until the callers' connections have ended, also those on which a
// request is arriving or the end of an answer is still being sent. A caller that doesn't
// read its answers delays that for closeTimeout at most.
func awaitClosed(ctx, cut context.Context, closed <-chan struct{}) {
	select {
	case <-closed:
		return
	case <-time.After(closeTimeout):
	case <-ctx.Done():
	case <-cut.Done():
	}
	select {
	case <-closed:
	case <-time.After(flushTimeout):
	}
}

const (
	// closeTimeout is the time for requests that are arriving once no other one is active.
	closeTimeout = 5 * time.Second
	// flushTimeout is the time for the ends of answers whose handlers have returned.
	flushTimeout = 100 * time.Millisecond
)

// cutGracePeriod is the time in which cut requests can still send a refusal to their
// callers.
const cutGracePeriod = 2 * time.Second

func (s *Server) idle() <-chan struct{} {
	d := &s.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle == nil {
		d.idle = make(chan struct{})
		if d.active == 0 {
			close(d.idle)
			idle := d.idle
			d.idle = nil
			return idle
		}
	}
	return d.idle
}

// leave writes outstanding records of claims and removes this instance from the
// placement, so that the other members get its shares of the limits at once.
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

// leaveTimeout bounds the last calls to the log in a graceful shutdown.
const leaveTimeout = 5 * time.Second

// reportEnded reports to the platform that this run has ended. Nothing of it is left
// that could send a request.
func (s *Server) reportEnded() {
	ctx, cancel := context.WithTimeout(context.Background(), reportEndedTimeout)
	defer cancel()
	ended := s.registration()
	ended.State = platform.Gone
	if err := s.platform.Register(ctx, ended); err != nil {
		s.log.WithError(err).Debug("platform was not told that this run has ended")
	}
}

// reportEndedTimeout bounds that call.
const reportEndedTimeout = time.Second
