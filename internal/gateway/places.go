package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

// pumpInterval is how often waiting requests are looked at when nothing else
// happens; a few of them fit in the shortest latency objective.
const pumpInterval = 20 * time.Millisecond

// Places shares a board between the requests of a process. Use NewPlaces.
type Places struct {
	mu      sync.Mutex
	board   dispatch.Scheduler
	waiting map[*dispatch.Ticket]chan dispatch.Decision
}

// NewPlaces returns an empty set of places.
func NewPlaces() *Places {
	return &Places{waiting: map[*dispatch.Ticket]chan dispatch.Decision{}}
}

// Run hands places to waiting requests and turns those away whose time is up,
// until the context ends.
func (p *Places) Run(ctx context.Context) error {
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		p.mu.Lock()
		if len(p.waiting) > 0 {
			p.pump(time.Now())
		}
		p.mu.Unlock()
	}
}

// pump wakes the requests that got a place or are turned away. The lock is held.
func (p *Places) pump(now time.Time) {
	for _, t := range p.board.AssignWaiting(now) {
		p.wake(t, dispatch.Decision{Verdict: dispatch.Run, Place: t.Place()})
	}
	for _, t := range p.board.RemoveExpired(now) {
		p.wake(t, p.board.Refusal(t))
	}
}

func (p *Places) wake(t *dispatch.Ticket, d dispatch.Decision) {
	if c := p.waiting[t]; c != nil {
		delete(p.waiting, t)
		c <- d
	}
}

// Acquire returns a place for a ticket, after a wait if need be, or a refusal.
// The error is the context's.
func (p *Places) Acquire(ctx context.Context, t *dispatch.Ticket) (dispatch.Decision, error) {
	p.mu.Lock()
	d := p.board.Offer(time.Now(), t)
	if d.Verdict != dispatch.Wait {
		p.mu.Unlock()
		return d, nil
	}
	woken := make(chan dispatch.Decision, 1)
	p.waiting[t] = woken
	p.mu.Unlock()
	select {
	case d := <-woken:
		return d, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting[t] != nil {
		delete(p.waiting, t)
		p.board.RemoveWaiting(t)
		return dispatch.Decision{}, context.Cause(ctx)
	}
	if d := <-woken; d.Verdict == dispatch.Run {
		p.board.Done(time.Now(), t, dispatch.Canceled, 0)
		p.pump(time.Now())
	}
	return dispatch.Decision{}, context.Cause(ctx)
}

// Started notes that a ticket's place has read its prompt.
func (p *Places) Started(t *dispatch.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.NoteFirstEvent(time.Now(), t)
}

// FirstEvent returns how long a request takes from its sending to the first
// event, as seen lately, or 0 before any was seen.
func (p *Places) FirstEvent(service, model string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.board.TimeToFirstEvent(service, model)
}

// Done gives a ticket's place back.
func (p *Places) Done(t *dispatch.Ticket, result dispatch.Result, ran time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.board.Done(now, t, result, ran)
	p.pump(now)
}

// Avoid keeps new work away from a place for a while.
func (p *Places) Avoid(id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.AvoidUntil(id, time.Now().Add(d))
}

// Set replaces the places; instances is the number of processes that share the
// rate of a cold one.
func (p *Places) Set(places []dispatch.Place, instances int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.board.Instances = instances
	p.board.SetPlaces(now, places)
	p.pump(now)
}

// SetRemote replaces what a neighbour has running.
func (p *Places) SetRemote(instance string, loads map[string]dispatch.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.board.SetPeerLoads(now, instance, loads)
	if len(p.waiting) > 0 {
		p.pump(now)
	}
}

// OwnLoads returns what this process has running, by place.
func (p *Places) OwnLoads() map[string]dispatch.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.board.OwnLoads()
}

// Waiting returns how many requests wait for a place.
func (p *Places) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting)
}

// RetryAfter returns when a refused client of a service and model may come back.
func (p *Places) RetryAfter(service, model string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.board.RetryAfter(service, model)
}

// Utilisation returns the part of the places of a service and model that is taken, 0 to 1.
func (p *Places) Utilisation(service, model string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.board.Utilization(service, model)
}
