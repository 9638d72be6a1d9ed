package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/clientconn"
)

// errStopping is the cause that cancels a request at the end of a graceful stop.
var errStopping = errors.New("instance is stopping")

// stop is the state of a graceful stop. The zero value has not begun.
type stop struct {
	mu       sync.Mutex
	takeAll  time.Time // until then all requests are taken
	end      time.Time // requests in progress are ended then; zero before the stop
	lifetime context.Context
	cancel   context.CancelCauseFunc
}

// Stop begins a graceful stop. Each connection is closed after its next answer, so that
// clients connect to another instance. A request that arrives after takeAll is refused
// unless its deadline is before end. At end, the requests in progress are answered with
// a refusal, or cut if a part of their answer was sent.
func (g *Gateway) Stop(takeAll, end time.Time) {
	g.stop.begin(takeAll, end)
	time.AfterFunc(time.Until(end), func() {
		_, cancel := g.stop.context()
		cancel(errStopping)
	})
}

func (s *stop) begin(takeAll, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeAll, s.end = takeAll, end
}

// closeAfterAnswer makes net/http close the connection of a request after an answer whose
// head hasn't been sent yet, if a stop has begun or the connection is to be closed.
func (g *Gateway) closeAfterAnswer(w http.ResponseWriter, r *http.Request) {
	if conn := clientconn.Of(r); g.stop.begun() || conn != nil && conn.IsClosing() {
		w.Header().Set("Connection", "close")
	}
}

func (s *stop) begun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.end.IsZero()
}

// context returns the context that ends when the stop does.
func (s *stop) context() (context.Context, context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifetime == nil {
		s.lifetime, s.cancel = context.WithCancelCause(context.Background())
	}
	return s.lifetime, s.cancel
}

// admit returns the deadline of a request that begins now, which is not after the end of
// the stop. It returns false if the request must not be taken any more.
func (s *stop) admit(now, deadline time.Time) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end.IsZero() || !s.end.Before(deadline) {
		return deadline, true
	}
	return s.end, now.Before(s.takeAll)
}

// stoppingRefusal limits the deadline of the request to a stop that has begun, and returns
// the refusal of a request that might be cut at its end. Other instances take it at once.
func (q *request) stoppingRefusal() *refusal {
	deadline, ok := q.gateway.stop.admit(time.Now(), q.deadline)
	if !ok {
		return &refusal{status: http.StatusServiceUnavailable, reason: errStopping.Error()}
	}
	q.deadline = deadline
	return nil
}
