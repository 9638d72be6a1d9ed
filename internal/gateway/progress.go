package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// progressCheckInterval is how often the heads are checked for progress.
	progressCheckInterval = 100 * time.Millisecond
	// stallReportAfter is the time without an event after which a head is reported
	// as stalled. It is several times the longest pass of a full engine.
	stallReportAfter = 300 * time.Millisecond
	// stallAvoidAfter is the time without an event after which a head gets no new
	// requests.
	stallAvoidAfter = 450 * time.Millisecond
	// stallHandOverAfter is the time without an event after which the attempts at a
	// head are handed over to other places. Clients wait two seconds at least, which
	// leaves time to resume elsewhere.
	stallHandOverAfter = 1100 * time.Millisecond
	// movingWindow is how long a head counts as moving after its last event.
	movingWindow = 500 * time.Millisecond
	// suspendedGap is the time between two checks above which the second concludes
	// nothing, since this process itself was suspended.
	suspendedGap = 3 * progressCheckInterval
)

// errStalled is the cause that cancels an attempt whose group makes no progress, once
// another place has taken its request.
var errStalled = errors.New("group makes no progress")

// Progress detects groups that are stalled, by the events that their heads send.
// If a group loses a member, all streams of its head stop at once. The zero value is
// ready to use.
type Progress struct {
	// OnStall, if not nil, is called when a head is found stalled, and when it makes
	// progress again. It is called with a lock held.
	OnStall func(place string, stalled bool, idle time.Duration)

	mu        sync.Mutex
	heads     map[string]*head
	wake      chan struct{} // receives when there is a head to check
	lastCheck time.Time     // of the last check, or when there was a head again
}

// head is a place with attempts in progress. The plain workers of a service without
// an engine are watched too, but their attempts are not handed over.
type head struct {
	attempts    map[*headAttempt]struct{}
	silentSince time.Time // start of the time without an event: the last event, first attempt or suspension
	lastEvent   time.Time // time of the last event; zero if there was none
	stalled     bool
}

// headAttempt is an attempt that a head works on.
type headAttempt struct {
	writing  bool   // the attempt is writing to its client, and so receives no events
	handOver func() // hands the request over if another place takes it; nil if none may
}

// begin records that an attempt was sent to a place.
func (p *Progress) begin(place string, a *headAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.heads[place]
	if h == nil {
		if p.heads == nil {
			p.heads = map[string]*head{}
		}
		if len(p.heads) == 0 {
			p.lastCheck = time.Now()
			notifyWake(p.wakeChannel())
		}
		h = &head{attempts: map[*headAttempt]struct{}{}}
		p.heads[place] = h
	}
	if len(h.attempts) == 0 {
		h.silentSince = time.Now()
	}
	h.attempts[a] = struct{}{}
}

// noteEvent records that a place sent an event, or an answer that is not a stream.
func (p *Progress) noteEvent(place string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.heads[place]; h != nil {
		h.silentSince, h.lastEvent = now, now
		p.setStalled(place, h, false, 0)
	}
}

// setWriting records whether an attempt at a place is writing to its client.
func (p *Progress) setWriting(a *headAttempt, writing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.writing = writing
}

// allWriting reports whether no attempt at the head waits for events.
func (h *head) allWriting() bool {
	for a := range h.attempts {
		if !a.writing {
			return false
		}
	}
	return true
}

// wakeChannel returns the channel that receives when there is a head to check. The
// caller holds the lock.
func (p *Progress) wakeChannel() chan struct{} {
	if p.wake == nil {
		p.wake = make(chan struct{}, 1)
	}
	return p.wake
}

// end records that an attempt has ended.
func (p *Progress) end(place string, a *headAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.heads[place]
	if h == nil {
		return
	}
	delete(h.attempts, a)
	if len(h.attempts) == 0 {
		p.setStalled(place, h, false, 0)
		delete(p.heads, place)
	}
}

func (p *Progress) setStalled(place string, h *head, stalled bool, idle time.Duration) {
	if h.stalled == stalled {
		return
	}
	h.stalled = stalled
	if p.OnStall != nil {
		p.OnStall(place, stalled, idle)
	}
}

// Stalled returns the places that are found stalled.
func (p *Progress) Stalled() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var stalled []string
	for place, h := range p.heads {
		if h.stalled {
			stalled = append(stalled, place)
		}
	}
	return stalled
}

// Moving returns the places that sent an event within the last movingWindow.
func (p *Progress) Moving(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var moving []string
	for place, h := range p.heads {
		if now.Sub(h.lastEvent) < movingWindow {
			moving = append(moving, place)
		}
	}
	return moving
}

// Run checks the heads until the context ends. It calls avoid at each check for
// each head that must get no new requests.
func (p *Progress) Run(ctx context.Context, avoid func(place string)) error {
	p.mu.Lock()
	wake := p.wakeChannel()
	p.mu.Unlock()
	return runWhileNeeded(ctx, progressCheckInterval, wake, func() bool {
		now := time.Now()
		p.mu.Lock()
		suspended := now.Sub(p.lastCheck) > suspendedGap
		p.lastCheck = now
		p.mu.Unlock()
		return p.check(now, suspended, avoid)
	})
}

// check checks the heads and reports whether there are any.
func (p *Progress) check(now time.Time, suspended bool, avoid func(place string)) bool {
	stalled, watching := p.checkHeads(now, suspended, avoid)
	for _, a := range stalled {
		a.handOver()
	}
	return watching
}

// checkHeads is check, but only returns the attempts to hand over.
func (p *Progress) checkHeads(now time.Time, suspended bool, avoid func(place string)) (stalled []*headAttempt, watching bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for place, h := range p.heads {
		if suspended || h.allWriting() {
			h.silentSince = now
			continue
		}
		idle := now.Sub(h.silentSince)
		if idle < stallReportAfter {
			continue
		}
		p.setStalled(place, h, true, idle)
		if idle >= stallAvoidAfter {
			avoid(place)
		}
		if idle < stallHandOverAfter {
			continue
		}
		for a := range h.attempts {
			if a.handOver != nil {
				stalled = append(stalled, a)
			}
		}
	}
	return stalled, len(p.heads) > 0
}
