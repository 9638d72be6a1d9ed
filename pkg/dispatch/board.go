package dispatch

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/chicorystall/chicorystall/pkg/ratelimit"
)

// Verdict is the outcome of offering a ticket.
type Verdict int

const (
	Refuse Verdict = iota // the client has to retry later
	Wait                  // the ticket waits for a free slot
	Run                   // the ticket runs at a place
)

// Decision is the verdict on a ticket and the state that it is based on.
type Decision struct {
	Verdict    Verdict
	Place      Place         // for Run only
	Running    int           // for Run only: other requests that run there
	RetryAfter time.Duration // for Refuse only: delay after which the client may retry
	Reason     string        // for Refuse only
	Waiting    int           // waiting tickets for the same service and model
	FreeSlots  int           // slots that are free at the places that can run the ticket
	Places     int           // number of these places, also full ones
	// Limit is what the server of Place named, for Run only; nil if it named none.
	Limit *ratelimit.Limit
}

// Reasons of refusals.
const (
	ReasonNoPlace = "no place serves it"
	ReasonResting = "all places asked for a rest"
	ReasonLimited = "more requests than all places take by their limits"
	ReasonFull    = "more waits than can be served in time"
	ReasonExpired = "no place became free in time"
)

// Defaults and limits of the scheduler.
const (
	DefaultRetryAfter = time.Second
	DefaultMaxWaiting = 256
	defaultRunTime    = time.Second // assumed until the first request of a service and model has ended
	runTimeSmoothing  = 0.05        // weight of one request in the moving average of run times
	minRetryAfter     = 200 * time.Millisecond
	maxRetryAfter     = 4 * time.Second
	peerLoadsTimeout  = time.Second // how long the load that a peer reported counts at least
	peerLoadsLags     = 5           // how many times the lag of the peers' loads it counts
	noPlaceRetryAfter = 2 * time.Second
)

// serviceModel identifies the places that can run a ticket.
type serviceModel struct{ service, model string }

// Scheduler assigns requests to places. It holds the places, their loads and the
// waiting tickets. It is not safe for concurrent use. The zero value has no places.
type Scheduler struct {
	Instance   string        // name of this instance, by which it prefers other places than its peers do
	Instances  int           // instances that share the rate of a cold place; 0 means 1
	PeerLag    time.Duration // how old the loads of the peers may be; 0 if that is little against the time between requests
	MaxWaiting int           // limit of waiting tickets for each service and model; 0 means DefaultMaxWaiting
	// Random returns a random number in [0, 1). If it is nil, rand.Float64 is used.
	Random func() float64

	places         map[string]*placeState
	byServiceModel map[serviceModel][]*placeState
	waiting        map[serviceModel][]*Ticket
	peers          map[string]peerLoads
	peersExpiredAt time.Time // when expired loads of peers were last removed
	arrivals       map[serviceModel]*arrivalRate
	meanRunTimes   map[serviceModel]time.Duration
	firstEvents    map[serviceModel]*firstEventTimes
	bars           map[string]bar // by ID of the server
	limits         ratelimit.Table
}

// SetPlaces replaces the places. A place that is left out gets no new requests, but
// its running requests still count there until they end.
func (s *Scheduler) SetPlaces(now time.Time, places []Place) {
	if s.places == nil {
		s.places = map[string]*placeState{}
		s.waiting = map[serviceModel][]*Ticket{}
		s.meanRunTimes = map[serviceModel]time.Duration{}
		s.firstEvents = map[serviceModel]*firstEventTimes{}
	}
	for _, p := range s.places {
		p.removed = true
	}
	for _, next := range places {
		p := s.places[next.ID]
		if p == nil {
			p = &placeState{preference: preference(s.Instance, next.ID)}
			s.places[next.ID] = p
		}
		p.Place, p.removed = next, false
	}
	s.byServiceModel = map[serviceModel][]*placeState{}
	for id, p := range s.places {
		if p.removed {
			if p.ownLoad.Running == 0 {
				delete(s.places, id)
			}
			continue
		}
		k := serviceModel{p.Service, p.Model}
		s.byServiceModel[k] = append(s.byServiceModel[k], p)
	}
	for _, candidates := range s.byServiceModel {
		slices.SortFunc(candidates, func(x, y *placeState) int { return strings.Compare(x.ID, y.ID) })
	}
	s.sumPeerLoads(now)
}

// Offer decides on a new ticket, or on one whose place has failed it.
func (s *Scheduler) Offer(now time.Time, t *Ticket) Decision {
	if t.Arrived.IsZero() {
		t.Arrived = now
	}
	k := serviceModel{t.Service, t.Model}
	if s.arrivals[k] == nil {
		if s.arrivals == nil {
			s.arrivals = map[serviceModel]*arrivalRate{}
		}
		s.arrivals[k] = &arrivalRate{}
	}
	s.arrivals[k].add(now)
	s.updateDemand(now, k)
	d := s.newDecision(now, k, t)
	openAt, open := s.openAgainAt(now, t)
	switch {
	case d.Places == 0, !open:
		d.Verdict, d.Reason, d.RetryAfter = Refuse, ReasonNoPlace, noPlaceRetryAfter
		return d
	case !openAt.Before(t.LatestStart) && openAt.After(now):
		d.Verdict, d.Reason, d.RetryAfter = Refuse, ReasonResting, openAt.Sub(now)
		return d
	}
	if p := s.bestPlace(now, t); p != nil && !s.outranked(now, k, t) {
		return s.run(now, t, p, d)
	}
	if rate, limited := s.limitedRate(now, k, t); limited && !now.Add(secondsFor(d.Waiting, rate)).Before(t.LatestStart) {
		d.Verdict, d.Reason, d.RetryAfter = Refuse, ReasonLimited, boundedRetryAfter(secondsFor(d.Waiting+1, rate))
		return d
	}
	limit := s.MaxWaiting
	if limit <= 0 {
		limit = DefaultMaxWaiting
	}
	if d.Waiting >= limit || !now.Before(t.LatestStart) {
		d.Verdict, d.Reason, d.RetryAfter = Refuse, ReasonFull, s.retryAfter(now, k)
		return d
	}
	t.waiting = true
	s.waiting[k] = append(s.waiting[k], t)
	d.Verdict = Wait
	return d
}

// TryAssign assigns a place to a ticket if one is free now. Otherwise it reports false and
// leaves the ticket as it was; it never waits.
func (s *Scheduler) TryAssign(now time.Time, t *Ticket) (Decision, bool) {
	k := serviceModel{t.Service, t.Model}
	p := s.bestPlace(now, t)
	if p == nil || s.outranked(now, k, t) {
		return Decision{}, false
	}
	return s.run(now, t, p, s.newDecision(now, k, t)), true
}

// run makes a ticket run at a place and completes the decision on it.
func (s *Scheduler) run(now time.Time, t *Ticket, p *placeState, d Decision) Decision {
	d.Verdict, d.Place, d.Running = Run, p.Place, p.running()
	s.assign(now, t, p)
	d.Limit = s.limitOf(now, p)
	return d
}

// Assigned returns the decision on a ticket that AssignWaiting returned.
func (s *Scheduler) Assigned(now time.Time, t *Ticket) Decision {
	return Decision{Verdict: Run, Place: t.Place(), Limit: s.limitOf(now, t.place)}
}

// outranked reports whether a waiting ticket precedes t.
func (s *Scheduler) outranked(now time.Time, k serviceModel, t *Ticket) bool {
	for _, w := range s.waiting[k] {
		if w.before(t, now) {
			return true
		}
	}
	return false
}

// newDecision returns a decision that has only the numbers of waiting tickets, free
// slots and places. It skips places that have failed the ticket.
func (s *Scheduler) newDecision(now time.Time, k serviceModel, t *Ticket) Decision {
	d := Decision{Waiting: len(s.waiting[k])}
	for _, p := range s.byServiceModel[k] {
		if t != nil && t.tried(p.ID) {
			continue
		}
		d.Places++
		d.FreeSlots += max(int(s.capacity(now, p))-p.running(), 0)
	}
	return d
}

// bestPlace returns the best place with a free slot for a ticket, or nil.
func (s *Scheduler) bestPlace(now time.Time, t *Ticket) *placeState {
	var best *placeState
	var bestScore float64
	spread := s.spread(now, t)
	for _, p := range s.byServiceModel[serviceModel{t.Service, t.Model}] {
		if t.tried(p.ID) || !s.admits(now, p) {
			continue
		}
		if score := p.score(t, now, s.capacity(now, p)) + p.bias(t, now, spread); best == nil || score < bestScore {
			best, bestScore = p, score
		}
	}
	return best
}

// admits reports whether a place takes a request now: it has a free slot, and neither its
// server's words nor its results nor its cold start keep requests from it.
func (s *Scheduler) admits(now time.Time, p *placeState) bool {
	if !p.free() || now.Before(p.avoidUntil) || !s.allowsCold(now, p) {
		return false
	}
	_, barred := s.barred(now, p)
	return !barred && s.limits.Admits(now, p.ID, p.Run, s.fleet())
}

// allowsCold reports whether the rate limit of a place in cold start allows another
// request now. It is true for places that are not in cold start.
func (s *Scheduler) allowsCold(now time.Time, p *placeState) bool {
	return p.ColdRate <= 0 || !now.Before(p.ColdUntil) || p.hasTurn(now, s.coldSchedule(p))
}

// coldSchedule returns the schedule of this instance's turns at a cold place.
func (s *Scheduler) coldSchedule(p *placeState) turnSchedule {
	random := s.Random
	if random == nil {
		random = rand.Float64
	}
	return turnSchedule{random: random, period: time.Duration(float64(max(s.Instances, 1)) / (coldRateShare * p.ColdRate) * float64(time.Second))}
}

// assign makes a ticket run at a place.
func (s *Scheduler) assign(now time.Time, t *Ticket, p *placeState) {
	t.place, t.waiting, t.promptPending, t.placedAt = p, false, true, now
	p.ownLoad.Running++
	p.ownLoad.PromptTokens += t.PromptTokens
	s.limits.Spend(now, p.ID)
	if p.ColdRate > 0 && now.Before(p.ColdUntil) {
		p.lastTurn = p.currentTurn(now, s.coldSchedule(p))
	}
}

// AssignWaiting assigns places with free slots to waiting tickets, the most urgent first, and
// returns the tickets that got one.
func (s *Scheduler) AssignWaiting(now time.Time) []*Ticket {
	var assigned []*Ticket
	for k, waiting := range s.waiting {
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
		stillWaiting := waiting[:0]
		for _, t := range waiting {
			if p := s.bestPlace(now, t); p != nil && now.Before(t.LatestStart) {
				s.assign(now, t, p)
				assigned = append(assigned, t)
				continue
			}
			stillWaiting = append(stillWaiting, t)
		}
		clear(waiting[len(stillWaiting):])
		s.waiting[k] = stillWaiting
	}
	return assigned
}

// RemoveExpired removes and returns the waiting tickets whose latest start has passed, and
// those for whose service and model no place is there or will be open by then.
func (s *Scheduler) RemoveExpired(now time.Time) []*Ticket {
	var expired []*Ticket
	for k, waiting := range s.waiting {
		s.waiting[k] = slices.DeleteFunc(waiting, func(t *Ticket) bool {
			if openAt, open := s.openAgainAt(now, t); open && openAt.Before(t.LatestStart) {
				return false
			}
			t.waiting = false
			expired = append(expired, t)
			return true
		})
	}
	return expired
}

// Refusal returns the refusal for an expired ticket.
func (s *Scheduler) Refusal(now time.Time, t *Ticket) Decision {
	k := serviceModel{t.Service, t.Model}
	d := s.newDecision(now, k, t)
	d.Reason, d.RetryAfter = ReasonExpired, s.retryAfter(now, k)
	switch rate, limited := s.limitedRate(now, k, t); {
	case d.Places == 0:
		d.Reason = ReasonNoPlace
	case limited:
		d.Reason, d.RetryAfter = ReasonLimited, boundedRetryAfter(secondsFor(d.Waiting+1, rate))
	}
	return d
}

// RemoveWaiting removes a waiting ticket, for example because its client has disconnected.
func (s *Scheduler) RemoveWaiting(t *Ticket) {
	k := serviceModel{t.Service, t.Model}
	s.waiting[k] = slices.DeleteFunc(s.waiting[k], func(w *Ticket) bool { return w == t })
	t.waiting = false
}

// NoteFirstEvent records that the place has sent the first event of a ticket's request.
func (s *Scheduler) NoteFirstEvent(now time.Time, t *Ticket) {
	if t.place == nil || !t.promptPending {
		return
	}
	s.endPrompt(t)
	k := serviceModel{t.Service, t.Model}
	if s.firstEvents[k] == nil {
		s.firstEvents[k] = &firstEventTimes{}
	}
	s.firstEvents[k].add(now.Sub(t.placedAt))
}

// endPrompt stops counting a ticket's prompt tokens towards the load of its place.
func (s *Scheduler) endPrompt(t *Ticket) {
	if t.promptPending {
		t.place.ownLoad.PromptTokens -= t.PromptTokens
		t.promptPending = false
	}
}

// TimeToFirstEvent estimates the time from sending a request for a service and model to
// its first event, based on recent requests. It is 0 before the first event.
func (s *Scheduler) TimeToFirstEvent(service, model string) time.Duration {
	if f := s.firstEvents[serviceModel{service, model}]; f != nil {
		return f.estimate()
	}
	return 0
}

// firstEventTimes holds moving averages of the time to the first event and of its
// absolute deviation.
type firstEventTimes struct {
	mean, deviation time.Duration
}

const (
	// firstEventSmoothing is the weight of one request in the moving averages.
	firstEventSmoothing = 0.05
	// firstEventDeviations is the number of mean deviations added to the mean, so
	// that the estimate holds for most requests.
	firstEventDeviations = 0.5
)

func (f *firstEventTimes) add(d time.Duration) {
	if f.mean == 0 {
		f.mean = d
		return
	}
	difference := d - f.mean
	f.mean += time.Duration(firstEventSmoothing * float64(difference))
	f.deviation += time.Duration(firstEventSmoothing * float64(difference.Abs()-f.deviation))
}

func (f *firstEventTimes) estimate() time.Duration {
	return f.mean + time.Duration(firstEventDeviations*float64(f.deviation))
}

// Result is the outcome of a request at its place.
type Result int

const (
	Served   Result = iota
	Failed          // the place failed the request or did not answer
	Declined        // the place answered that it did not run the request
	Canceled        // the client disconnected, or nothing was sent
)

// Done releases the slot that a ticket holds. For a served request, ran is its run time.
func (s *Scheduler) Done(now time.Time, t *Ticket, result Result, ran time.Duration) {
	p := t.place
	if p == nil {
		return
	}
	s.endPrompt(t)
	p.ownLoad.Running--
	t.place = nil
	switch result {
	case Served:
		p.noteResult(now, false)
		s.noteRunTime(serviceModel{t.Service, t.Model}, ran)
	case Failed:
		p.noteResult(now, true)
	}
	if p.removed && p.ownLoad.Running == 0 {
		delete(s.places, p.ID)
	}
}

func (s *Scheduler) noteRunTime(k serviceModel, ran time.Duration) {
	mean, ok := s.meanRunTimes[k]
	if !ok {
		mean = ran
	}
	s.meanRunTimes[k] = mean + time.Duration(runTimeSmoothing*float64(ran-mean))
}

// AvoidUntil makes a place get no new requests until the given time.
func (s *Scheduler) AvoidUntil(id string, until time.Time) {
	if p := s.places[id]; p != nil {
		p.avoidUntil = until
	}
}

// RetryAfter returns the delay after which a refused client of a service and model
// may retry.
func (s *Scheduler) RetryAfter(now time.Time, service, model string) time.Duration {
	return s.retryAfter(now, serviceModel{service, model})
}

// retryAfter estimates how long the places need for the waiting requests of all instances.
func (s *Scheduler) retryAfter(now time.Time, k serviceModel) time.Duration {
	slots := 0.0
	for _, p := range s.byServiceModel[k] {
		slots += s.capacity(now, p)
	}
	if slots == 0 {
		return noPlaceRetryAfter
	}
	mean := s.meanRunTimes[k]
	if mean == 0 {
		mean = defaultRunTime
	}
	instances := max(s.Instances, 1)
	ahead := float64(len(s.waiting[k])*instances+1) / slots
	wait := time.Duration(ahead * float64(mean))
	return boundedRetryAfter(wait + mean/2)
}

func boundedRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Utilization returns the share of the slots of a service and model that is in use, from 0
// to 1. It is 1 if there are no slots.
func (s *Scheduler) Utilization(now time.Time, service, model string) float64 {
	running, slots := 0, 0.0
	for _, p := range s.byServiceModel[serviceModel{service, model}] {
		running += p.running()
		slots += s.capacity(now, p)
	}
	if slots == 0 {
		return 1
	}
	return min(float64(running)/slots, 1)
}
