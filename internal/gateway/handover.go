package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

// handOverInterval is the pause between two tries to hand a request over.
const handOverInterval = 100 * time.Millisecond

// reservation is a place, and a retry from the budget, for the next attempt of a request.
type reservation struct {
	service  string
	ticket   *dispatch.Ticket
	decision dispatch.Decision
}

// release gives back what a reservation holds. It does nothing for nil.
func (r *reservation) release(g *Gateway) {
	if r == nil {
		return
	}
	g.Places.Done(r.ticket, dispatch.Canceled, 0)
	g.Retries.forService(r.service).Refund()
}

// handover decides when an attempt is ended because its backend server is silent. A
// silent server may be sound and go on, so its attempt is ended only once another place
// has been reserved for the request.
type handover struct {
	allowed bool     // the request may be sent once more
	tried   []string // places that it must not be sent to

	mu       sync.Mutex
	ended    bool // the attempt stays at its place, or has ended by itself
	reserved *reservation
}

// newHandover returns the handover of an attempt at a place.
func (q *request) newHandover(place string) *handover {
	return &handover{
		allowed: q.route.Repeatable() && q.sends+1 < q.route.MaxAttempts && q.contacts+1 < q.route.MaxAttempts+maxDeclined,
		tried:   append(slices.Clone(q.tried), place),
	}
}

// handOver cancels the attempt if a place is free for the request elsewhere and the retry
// budget allows it. It reports whether that is decided, so that there is no need to call it
// again. It may be called while the attempt is in progress.
func (a *attempt) handOver(cause error) (decided bool) {
	h := a.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || h.reserved != nil {
		return true
	}
	places, budget := a.gateway.Places, a.gateway.Retries.forService(a.service.Name)
	ticket := a.newTicket(time.Now(), h.tried)
	decision, ok := places.TryAcquire(ticket)
	if !ok {
		return false
	}
	if !budget.Take(time.Now()) {
		places.Done(ticket, dispatch.Canceled, 0)
		return false
	}
	h.reserved = &reservation{service: a.service.Name, ticket: ticket, decision: decision}
	a.cancel(cause)
	return true
}

// handOverAfter tries to hand the request over after a timeout, repeatedly until that is
// decided.
func (a *attempt) handOverAfter(ctx context.Context, timeout time.Duration, cause error) {
	timer := time.AfterFunc(timeout, func() {
		if ctx.Err() == nil && !a.handOver(cause) {
			a.handOverAfter(ctx, handOverInterval, cause)
		}
	})
	context.AfterFunc(ctx, func() { timer.Stop() })
}

// keep makes the attempt stay at its place, since its answer is about to be passed on. It
// returns false if the attempt has been cancelled already.
func (h *handover) keep() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	return h.reserved == nil
}

// end ends the handover with its attempt and returns the reservation, if there is one.
func (h *handover) end() *reservation {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	return h.reserved
}

// acquirePlace returns the place that was reserved for the next attempt, or else one that
// is free, if necessary after a wait.
func (q *request) acquirePlace(ctx context.Context, s *streamState) (*dispatch.Ticket, dispatch.Decision, error) {
	if r := q.next; r != nil {
		q.next = nil
		return r.ticket, r.decision, nil
	}
	start := q.arrived
	if s.headSent { // a resumed stream gets a new latency objective
		start = time.Now()
	}
	ticket := q.newTicket(start, q.tried)
	d, err := q.gateway.Places.Acquire(ctx, ticket)
	return ticket, d, err
}
