package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/pkg/dispatch"
	"github.com/chicorystall/chicorystall/pkg/ratelimit"
)

// dispatchInterval is how often waiting requests are checked if no other event
// triggers a check. It is a small fraction of the shortest latency objective.
const dispatchInterval = 20 * time.Millisecond

// Places assigns places to the requests of a process. It makes a dispatch.Scheduler
// safe for concurrent use and lets requests block. Create it with NewPlaces.
type Places struct {
	mu        sync.Mutex
	scheduler dispatch.Scheduler
	waiting   map[*dispatch.Ticket]chan dispatch.Decision
	wake      chan struct{} // receives when a request begins to wait
}

// NewPlaces returns a Places without any places.
func NewPlaces() *Places {
	return &Places{waiting: map[*dispatch.Ticket]chan dispatch.Decision{}, wake: make(chan struct{}, 1)}
}

// Run assigns places to waiting requests, and refuses those that can no longer be
// served in time, until the context ends.
func (p *Places) Run(ctx context.Context) error {
	return runWhileNeeded(ctx, dispatchInterval, p.wake, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.waiting) > 0 {
			p.dispatchWaiting(time.Now())
		}
		return len(p.waiting) > 0
	})
}

// runWhileNeeded calls check at intervals, from the time at which wake receives until
// check returns false, and waits for the next wake after that. It returns when the
// context ends.
func runWhileNeeded(ctx context.Context, interval time.Duration, wake <-chan struct{}, check func() bool) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		ticker.Stop()
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		}
		ticker.Reset(interval)
		for needed := true; needed; needed = check() {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	}
}

// notifyWake makes a channel with a buffer of one receive, unless it is about to.
func notifyWake(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// dispatchWaiting wakes the requests that got a place or are refused. The caller
// holds the lock.
func (p *Places) dispatchWaiting(now time.Time) {
	for _, t := range p.scheduler.AssignWaiting(now) {
		p.notify(t, p.scheduler.Assigned(now, t))
	}
	for _, t := range p.scheduler.RemoveExpired(now) {
		p.notify(t, p.scheduler.Refusal(now, t))
	}
}

func (p *Places) notify(t *dispatch.Ticket, d dispatch.Decision) {
	if c := p.waiting[t]; c != nil {
		delete(p.waiting, t)
		c <- d
	}
}

// Acquire returns a place for a ticket, if necessary after a wait, or a refusal.
// The error is the cause of the context's cancellation.
func (p *Places) Acquire(ctx context.Context, t *dispatch.Ticket) (dispatch.Decision, error) {
	p.mu.Lock()
	d := p.scheduler.Offer(time.Now(), t)
	if d.Verdict != dispatch.Wait {
		p.mu.Unlock()
		return d, nil
	}
	decided := make(chan dispatch.Decision, 1)
	p.waiting[t] = decided
	p.mu.Unlock()
	notifyWake(p.wake)
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting[t] != nil {
		delete(p.waiting, t)
		p.scheduler.RemoveWaiting(t)
		return dispatch.Decision{}, context.Cause(ctx)
	}
	if d := <-decided; d.Verdict == dispatch.Run {
		p.scheduler.Done(time.Now(), t, dispatch.Canceled, 0)
		p.dispatchWaiting(time.Now())
	}
	return dispatch.Decision{}, context.Cause(ctx)
}

// TryAcquire returns a place for a ticket if one is free now.
func (p *Places) TryAcquire(t *dispatch.Ticket) (dispatch.Decision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.TryAssign(time.Now(), t)
}

// NoteFirstEvent records that the place of a ticket has sent its first event, so that
// the prompt no longer counts towards the load of the place.
func (p *Places) NoteFirstEvent(t *dispatch.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.NoteFirstEvent(time.Now(), t)
}

// TimeToFirstEvent returns the recently observed time from sending a request to its
// first event, or 0 if none was observed.
func (p *Places) TimeToFirstEvent(service, model string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.TimeToFirstEvent(service, model)
}

// Done releases the place of a ticket. ran is the duration of the attempt.
func (p *Places) Done(t *dispatch.Ticket, result dispatch.Result, ran time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.scheduler.Done(now, t, result, ran)
	p.dispatchWaiting(now)
}

// Avoid stops the assignment of requests to a place for the duration d.
func (p *Places) Avoid(id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.AvoidUntil(id, time.Now().Add(d))
}

// noteWord records what a server's answer says about requests to it, and reports for
// which cause it gets none that it got before.
func (p *Places) noteWord(id string, run int64, meta AnswerMeta) (cause dispatch.BarCause, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case meta.Leaving:
		return dispatch.Leaving, p.scheduler.NoteLeaving(now, id, run)
	case meta.Rest > 0:
		return dispatch.Resting, p.scheduler.NoteRest(now, id, run, meta.Rest)
	}
	return cause, false
}

// noteLimit records what a server's answer says about its limit, and reports whether that
// begins, changes or ends one.
func (p *Places) noteLimit(id string, run int64, limit RateLimit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch now := time.Now(); limit.Word {
	case Named:
		return p.scheduler.NoteLimit(now, id, run, limit.PerSecond)
	case Unlimited:
		return p.scheduler.NoteUnlimited(now, id, run)
	}
	return false
}

// LimitReports returns what to tell the peers of the limits that servers named.
func (p *Places) LimitReports() []ratelimit.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.LimitReports(time.Now())
}

// MergeLimits records what a peer, or a relay for several, told of limits. It returns the
// servers whose limits are news.
func (p *Places) MergeLimits(peer string, reports []ratelimit.Report) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.MergeLimits(time.Now(), peer, reports)
}

// Limited returns the number of servers whose limits hold now.
func (p *Places) Limited() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Limited(time.Now())
}

// LeavingServers returns the servers that lately said to this process that they leave.
func (p *Places) LeavingServers() []dispatch.LeavingServer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.LeavingServers(time.Now())
}

// NotePeerLeaving records that a server said to a peer that it leaves, and reports
// whether that is news.
func (p *Places) NotePeerLeaving(server dispatch.LeavingServer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.NotePeerLeaving(time.Now(), server)
}

// Peers describes the processes that send requests to the same places.
type Peers struct {
	Instance string        // name of this process
	Count    int           // processes, with this one, that share the request rate of a cold place
	Lag      time.Duration // how old their loads may be that this process knows
}

// Set replaces the places and what is known of the processes that use them too.
func (p *Places) Set(places []dispatch.Place, peers Peers) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.scheduler.Instance, p.scheduler.Instances, p.scheduler.PeerLag = peers.Instance, peers.Count, peers.Lag
	p.scheduler.SetPlaces(now, places)
	p.dispatchWaiting(now)
}

// SetPeerLoads replaces the loads, by place, that a peer causes.
func (p *Places) SetPeerLoads(instance string, loads map[string]dispatch.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.scheduler.SetPeerLoads(now, instance, loads)
	if len(p.waiting) > 0 {
		p.dispatchWaiting(now)
	}
}

// DropPeerLoads forgets the loads that all peers reported.
func (p *Places) DropPeerLoads() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.DropPeerLoads()
}

// Failing returns the heads that have lately failed most requests of this process.
func (p *Places) Failing() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Failing(time.Now())
}

// SetFailing records that a peer reported heads as failing.
func (p *Places) SetFailing(ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.SetFailing(time.Now(), ids)
}

// OwnLoads returns the loads, by place, that this process causes.
func (p *Places) OwnLoads() map[string]dispatch.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.OwnLoads()
}

// Waiting returns the number of requests that wait for a place.
func (p *Places) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting)
}

// RetryAfter returns the time after which a refused client of a service and model
// may retry.
func (p *Places) RetryAfter(service, model string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.RetryAfter(time.Now(), service, model)
}

// Utilization returns the used fraction, from 0 to 1, of the slots of a service and model.
func (p *Places) Utilization(service, model string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Utilization(time.Now(), service, model)
}
