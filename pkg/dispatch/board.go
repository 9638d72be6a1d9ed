package dispatch

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Verdict is what becomes of a ticket.
type Verdict int

// The verdicts.
const (
	Refuse Verdict = iota
	Wait
	Run
)

// Decision is the verdict on a ticket with what led to it.
type Decision struct {
	Verdict    Verdict
	Place      Place         // where it runs
	Running    int           // what runs there besides
	RetryAfter time.Duration // when a refused client may come back
	Reason     string        // why it was refused
	Waiting    int           // requests of the same kind that wait
	FreeSlots  int           // free places
	Places     int           // places that may take it at all
}

// Reasons of refusals.
const (
	ReasonNoPlace = "no place serves it"
	ReasonFull    = "more waits than can be served in time"
	ReasonExpired = "no place became free in time"
)

// Defaults of Board.
const (
	DefaultRetryAfter = time.Second
	DefaultMaxWaiting = 256
	defaultRunTime    = time.Second // assumed for a place's requests until some have ended
	runTimeShare      = 0.05        // weight of one request in the moving mean of run times
	minRetryAfter     = 200 * time.Millisecond
	maxRetryAfter     = 4 * time.Second
	remoteLifetime    = time.Second // a neighbour's load counts for this long
	noPlaceRetryAfter = 2 * time.Second
)

type kind struct{ service, model string }

// Scheduler holds places, loads and waiting tickets. It is not safe for use by
// several goroutines at once. The zero value has no places.
type Scheduler struct {
	Instances  int // processes that share the rate of a cold place; 0 counts as 1
	MaxWaiting int // tickets of one kind that wait; 0 means DefaultMaxWaiting
	// Random returns a random number from 0 up to but without 1; nil means a usual one.
	Random func() float64

	places  map[string]*place
	kinds   map[kind][]*place
	waiting map[kind][]*Ticket
	remotes map[string]remote
	runTime map[kind]time.Duration
	first   map[kind]*firstEvents
}

type remote struct {
	loads map[string]Load
	at    time.Time
}

// SetPlaces replaces the places. What runs at a place that is left out still counts there.
func (b *Scheduler) SetPlaces(now time.Time, places []Place) {
	if b.places == nil {
		b.places = map[string]*place{}
		b.waiting = map[kind][]*Ticket{}
		b.runTime = map[kind]time.Duration{}
		b.first = map[kind]*firstEvents{}
	}
	for _, p := range b.places {
		p.gone = true
	}
	for _, next := range places {
		p := b.places[next.ID]
		if p == nil {
			p = &place{}
			b.places[next.ID] = p
		}
		p.Place, p.gone = next, false
	}
	b.kinds = map[kind][]*place{}
	for id, p := range b.places {
		if p.gone {
			if p.own.Running == 0 {
				delete(b.places, id)
			}
			continue
		}
		k := kind{p.Service, p.Model}
		b.kinds[k] = append(b.kinds[k], p)
	}
	for _, of := range b.kinds {
		slices.SortFunc(of, func(x, y *place) int { return strings.Compare(x.ID, y.ID) })
	}
	b.sumRemotes(now)
}

// SetPeerLoads replaces what a neighbour has running.
func (b *Scheduler) SetPeerLoads(now time.Time, instance string, loads map[string]Load) {
	if b.remotes == nil {
		b.remotes = map[string]remote{}
	}
	b.remotes[instance] = remote{loads: loads, at: now}
	b.sumRemotes(now)
}

// sumRemotes adds up what the neighbours have running, without those not heard lately.
func (b *Scheduler) sumRemotes(now time.Time) {
	for _, p := range b.places {
		p.remote = Load{}
	}
	for instance, r := range b.remotes {
		if now.Sub(r.at) > remoteLifetime {
			delete(b.remotes, instance)
			continue
		}
		for id, load := range r.loads {
			if p := b.places[id]; p != nil {
				p.remote.Running += load.Running
				p.remote.PromptTokens += load.PromptTokens
			}
		}
	}
}

// OwnLoads returns what this instance has running, by place.
func (b *Scheduler) OwnLoads() map[string]Load {
	own := make(map[string]Load, len(b.places))
	for id, p := range b.places {
		if p.own.Running > 0 {
			own[id] = p.own
		}
	}
	return own
}

// Offer decides on a new ticket, or on one that left a place that failed it.
func (b *Scheduler) Offer(now time.Time, t *Ticket) Decision {
	if t.Arrived.IsZero() {
		t.Arrived = now
	}
	k := kind{t.Service, t.Model}
	d := b.describe(k, t)
	if d.Places == 0 {
		d.Verdict, d.Reason, d.RetryAfter = Refuse, ReasonNoPlace, noPlaceRetryAfter
		return d
	}
	if p := b.choose(now, t); p != nil && !b.outranked(now, k, t) {
		d.Verdict, d.Place, d.Running = Run, p.Place, p.running()
		b.take(now, t, p)
		return d
	}
	limit := b.MaxWaiting
	if limit <= 0 {
		limit = DefaultMaxWaiting
	}
	if d.Waiting >= limit || !now.Before(t.LatestStart) {
		d.Verdict, d.Reason, d.RetryAfter = Refuse, ReasonFull, b.retryAfter(k)
		return d
	}
	t.waiting = true
	b.waiting[k] = append(b.waiting[k], t)
	d.Verdict = Wait
	return d
}

// outranked reports whether a waiting ticket goes before t.
func (b *Scheduler) outranked(now time.Time, k kind, t *Ticket) bool {
	for _, w := range b.waiting[k] {
		if w.before(t, now) {
			return true
		}
	}
	return false
}

func (b *Scheduler) describe(k kind, t *Ticket) Decision {
	d := Decision{Waiting: len(b.waiting[k])}
	for _, p := range b.kinds[k] {
		if t != nil && t.tried(p.ID) {
			continue
		}
		d.Places++
		d.FreeSlots += max(p.Slots-p.running(), 0)
	}
	return d
}

// choose returns the best free place for a ticket, or nil.
func (b *Scheduler) choose(now time.Time, t *Ticket) *place {
	var best *place
	var bestScore float64
	for _, p := range b.kinds[kind{t.Service, t.Model}] {
		if !p.free() || now.Before(p.doubtUntil) || t.tried(p.ID) || !b.bears(now, p) {
			continue
		}
		if score := p.score(t, now); best == nil || score < bestScore {
			best, bestScore = p, score
		}
	}
	return best
}

// bears reports whether a place may get a request now, as far as it is cold.
func (b *Scheduler) bears(now time.Time, p *place) bool {
	return p.ColdRate <= 0 || !now.Before(p.ColdUntil) || p.hasTurn(now, b.turns(p))
}

// turns returns how this instance's turns at a cold place are chosen.
func (b *Scheduler) turns(p *place) turns {
	draw := b.Random
	if draw == nil {
		draw = rand.Float64
	}
	return turns{draw: draw, period: time.Duration(float64(max(b.Instances, 1)) / (coldShare * p.ColdRate) * float64(time.Second))}
}

func (b *Scheduler) take(now time.Time, t *Ticket, p *place) {
	t.place, t.waiting, t.reading, t.placed = p, false, true, now
	p.own.Running++
	p.own.PromptTokens += t.PromptTokens
	if p.ColdRate > 0 && now.Before(p.ColdUntil) {
		p.coldTurn = p.turn(now, b.turns(p))
	}
}

// AssignWaiting gives free places to waiting tickets, the most urgent first, and returns
// those that got one.
func (b *Scheduler) AssignWaiting(now time.Time) []*Ticket {
	var got []*Ticket
	for k, waiting := range b.waiting {
		if len(waiting) == 0 {
			continue
		}
		slices.SortStableFunc(waiting, func(x, y *Ticket) int {
			if x.before(y, now) {
				return -1
			}
			if y.before(x, now) {
				return 1
			}
			return 0
		})
		rest := waiting[:0]
		for _, t := range waiting {
			if p := b.choose(now, t); p != nil && now.Before(t.LatestStart) {
				b.take(now, t, p)
				got = append(got, t)
				continue
			}
			rest = append(rest, t)
		}
		clear(waiting[len(rest):])
		b.waiting[k] = rest
	}
	return got
}

// RemoveExpired takes out the waiting tickets whose time is up, or that no place
// serves any more, and returns them.
func (b *Scheduler) RemoveExpired(now time.Time) []*Ticket {
	var expired []*Ticket
	for k, waiting := range b.waiting {
		none := len(b.kinds[k]) == 0
		b.waiting[k] = slices.DeleteFunc(waiting, func(t *Ticket) bool {
			if now.Before(t.LatestStart) && !none {
				return false
			}
			t.waiting = false
			expired = append(expired, t)
			return true
		})
	}
	return expired
}

// Refusal returns the refusal of a ticket that waited in vain.
func (b *Scheduler) Refusal(t *Ticket) Decision {
	k := kind{t.Service, t.Model}
	d := b.describe(k, t)
	d.Reason, d.RetryAfter = ReasonExpired, b.retryAfter(k)
	if d.Places == 0 {
		d.Reason = ReasonNoPlace
	}
	return d
}

// RemoveWaiting takes a ticket out that no longer waits, such as one whose client left.
func (b *Scheduler) RemoveWaiting(t *Ticket) {
	k := kind{t.Service, t.Model}
	b.waiting[k] = slices.DeleteFunc(b.waiting[k], func(w *Ticket) bool { return w == t })
	t.waiting = false
}

// NoteFirstEvent notes that a ticket's place has sent the first event.
func (b *Scheduler) NoteFirstEvent(now time.Time, t *Ticket) {
	if t.place == nil || !t.reading {
		return
	}
	b.stopReading(t)
	k := kind{t.Service, t.Model}
	if b.first[k] == nil {
		b.first[k] = &firstEvents{}
	}
	b.first[k].note(now.Sub(t.placed))
}

func (b *Scheduler) stopReading(t *Ticket) {
	if t.reading {
		t.place.own.PromptTokens -= t.PromptTokens
		t.reading = false
	}
}

// TimeToFirstEvent returns how long a request of a service and model takes from its
// sending to the first event, as seen lately. It is 0 before any was seen.
func (b *Scheduler) TimeToFirstEvent(service, model string) time.Duration {
	if f := b.first[kind{service, model}]; f != nil {
		return f.likely()
	}
	return 0
}

// firstEvents is a moving mean of times to the first event, with its deviation.
type firstEvents struct {
	mean, deviation time.Duration
}

const (
	// firstShare is the weight of one request in the moving mean.
	firstShare = 0.05
	// firstDeviations is how many mean deviations are added for a time that most
	// requests keep.
	firstDeviations = 0.5
)

func (f *firstEvents) note(d time.Duration) {
	if f.mean == 0 {
		f.mean = d
		return
	}
	off := d - f.mean
	f.mean += time.Duration(firstShare * float64(off))
	f.deviation += time.Duration(firstShare * float64(off.Abs()-f.deviation))
}

func (f *firstEvents) likely() time.Duration {
	return f.mean + time.Duration(firstDeviations*float64(f.deviation))
}

// Result is how a request ended at its place.
type Result int

// The results.
const (
	Served   Result = iota
	Failed          // the place failed it, or didn't answer
	Declined        // the place said that it did not run it
	Canceled        // the client left, or nothing was sent
)

// Done gives a ticket's place back.
func (b *Scheduler) Done(now time.Time, t *Ticket, result Result, ran time.Duration) {
	p := t.place
	if p == nil {
		return
	}
	b.stopReading(t)
	p.own.Running--
	t.place = nil
	switch result {
	case Served:
		p.note(now, false)
		b.noteRunTime(kind{t.Service, t.Model}, ran)
	case Failed:
		p.note(now, true)
	}
	if p.gone && p.own.Running == 0 {
		delete(b.places, p.ID)
	}
}

func (b *Scheduler) noteRunTime(k kind, ran time.Duration) {
	mean, ok := b.runTime[k]
	if !ok {
		mean = ran
	}
	b.runTime[k] = mean + time.Duration(runTimeShare*float64(ran-mean))
}

// AvoidUntil keeps new work away from a place until a time.
func (b *Scheduler) AvoidUntil(id string, until time.Time) {
	if p := b.places[id]; p != nil {
		p.doubtUntil = until
	}
}

// RetryAfter returns when a refused client of a service and model may come back.
func (b *Scheduler) RetryAfter(service, model string) time.Duration {
	return b.retryAfter(kind{service, model})
}

// retryAfter estimates how long the places need for what waits here.
func (b *Scheduler) retryAfter(k kind) time.Duration {
	slots := 0
	for _, p := range b.kinds[k] {
		slots += p.Slots
	}
	if slots == 0 {
		return noPlaceRetryAfter
	}
	mean := b.runTime[k]
	if mean == 0 {
		mean = defaultRunTime
	}
	instances := max(b.Instances, 1)
	ahead := float64(len(b.waiting[k])*instances+1) / float64(slots)
	wait := time.Duration(ahead * float64(mean))
	return min(max(wait+mean/2, minRetryAfter), maxRetryAfter)
}

// Utilization returns the part of the places of a service and model that is taken, 0 to 1.
// Without places it is 1.
func (b *Scheduler) Utilization(service, model string) float64 {
	running, slots := 0, 0
	for _, p := range b.kinds[kind{service, model}] {
		running += p.running()
		slots += p.Slots
	}
	if slots == 0 {
		return 1
	}
	return float64(running) / float64(slots)
}
