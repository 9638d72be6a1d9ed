package keeper

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

const (
	// missingEntryGrace is how long an instance keeps missing entries after the list
	// has become available again.
	missingEntryGrace = 2 * time.Second
	// simListMaxAge is the maximum age of the list at which its entries take
	// precedence over reports while the rule groupFromReport is disabled.
	simListMaxAge = 1500 * time.Millisecond
	// maxTimeoutJitter bounds a delay that makes calls end at different times, and not
	// at the keeper's steps, so that a seed always yields the same simulation.
	maxTimeoutJitter = 5 * time.Millisecond
	simStoreTimeout  = 900 * time.Millisecond
)

// simInstance is a simulated entry instance with a real keeper. Its machine may be
// suspended at any call from the keeper.
type simInstance struct {
	*Keeper
	number      int
	sim         *simulation
	groupsNamed int

	mu             sync.Mutex
	acting         bool
	takenOut       bool
	faultFree      bool // calls are neither delayed nor lost any more
	suspendedUntil time.Time
	cutFromList    bool // cannot read the platform's list
	random         rng
	callRandom     map[string]rng // for calls, by worker

	entries        map[string]roster.Server
	list           *roster.Roster
	listReadAt     time.Time
	listFailed     bool // the last read of the list failed
	listReturnedAt time.Time
	nextListRead   time.Time
}

func newInstance(sim *simulation, number int, seed uint64) *simInstance {
	purpose := fmt.Sprintf("instance %d", number)
	i := &simInstance{
		number: number, sim: sim, random: newRNG(seed, purpose), callRandom: map[string]rng{},
		entries: map[string]roster.Server{}, list: roster.New(nil), listFailed: true,
	}
	i.Keeper = &Keeper{
		DataCentre: "a", LoadWindow: simLoadWindow, Metrics: telemetry.NewMetrics(), Log: sim.logger,
		Acting:         func() bool { return i.flag(&i.acting) },
		TakenOut:       func() bool { return i.flag(&i.takenOut) },
		Engine:         func() (string, *catalog.Engine) { i.waitWhileSuspended(); return simService, sim.fleet.engine },
		DataCentres:    func() int { i.waitWhileSuspended(); return 1 },
		Serving:        func() bool { i.waitWhileSuspended(); return sim.fleet.clientsSend(time.Now()) },
		List:           i.readList,
		HeadStalled:    sim.stalled,
		HeadResponding: func(id string) bool { i.waitWhileSuspended(); return sim.headReachable(id, number) },
		Report:         i.report,
		Order:          i.order,
		Grant:          i.grant,
		NewestGrant:    i.newestGrant,
		decide:         sim.disabledRules.decide,
		newGroupName: func(model string) string {
			i.waitWhileSuspended()
			i.groupsNamed++
			return formation.GroupName(model, fmt.Sprintf("%d-%d", number, i.groupsNamed))
		},
	}
	return i
}

// waitWhileSuspended blocks while the machine is suspended.
func (i *simInstance) waitWhileSuspended() { i.waitWhileSuspendedThen(0) }

// waitWhileSuspendedThen blocks while the machine is suspended and then for the extra
// time, if it was. Calls use it to resume at different times.
func (i *simInstance) waitWhileSuspendedThen(extra time.Duration) {
	i.mu.Lock()
	until := i.suspendedUntil
	i.mu.Unlock()
	if d := time.Until(until); d > 0 {
		time.Sleep(d + extra)
	}
}

func (i *simInstance) flag(f *bool) bool {
	i.waitWhileSuspended()
	i.mu.Lock()
	defer i.mu.Unlock()
	return *f
}

// delay draws the one-way delay of a call. The caller holds the lock.
func (i *simInstance) delay(random rng) time.Duration {
	if i.sim.slowCalls && !i.faultFree && random.oneIn(5) {
		return random.duration(0, 300*time.Millisecond)
	}
	return random.duration(100*time.Microsecond, 8*time.Millisecond)
}

// happens draws whether a fault that affects a part of all calls affects this one. The
// caller holds the lock.
func (i *simInstance) happens(random rng, fraction float64) bool {
	return !i.faultFree && random.Float64() < fraction
}

// withCallRandom calls f with the random source for calls to a worker.
func (i *simInstance) withCallRandom(worker string, f func(rng)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	random, ok := i.callRandom[worker]
	if !ok {
		random = newRNG(i.sim.seed, fmt.Sprintf("calls of %d to %s", i.number, worker))
		i.callRandom[worker] = random
	}
	f(random)
}

func (i *simInstance) readList() (*roster.Roster, time.Time) {
	i.waitWhileSuspended()
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.list, i.listReadAt
}

// refresh reads the platform's list if that is due. The caller holds the fleet's lock.
func (i *simInstance) refresh(f *fleet, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Before(i.nextListRead) || now.Before(i.suspendedUntil) {
		return
	}
	i.nextListRead = now.Add(i.random.duration(50*time.Millisecond, 300*time.Millisecond))
	if f.listDown || i.cutFromList {
		i.listFailed = true
		i.nextListRead = now.Add(i.random.duration(60*time.Millisecond, 700*time.Millisecond))
		return
	}
	if i.listFailed {
		i.listFailed, i.listReturnedAt = false, now
	}
	changed := false
	for id, s := range f.entries {
		if old, ok := i.entries[id]; !ok || old.EntrySeq != s.EntrySeq {
			i.entries[id], changed = s, true
		}
	}
	for id := range i.entries {
		if _, ok := f.entries[id]; !ok && now.Sub(i.listReturnedAt) > missingEntryGrace {
			delete(i.entries, id)
			changed = true
		}
	}
	i.listReadAt = now
	if changed {
		i.list = roster.New(slices.Collect(maps.Values(i.entries)))
	}
}

var errNoAnswer = errors.New("no answer")

// delayCall waits for the delay of a call. It returns an error if the call is
// cancelled meanwhile.
func delayCall(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		time.Sleep(d % maxTimeoutJitter)
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// awaitTimeout waits until a call without an answer is cancelled.
func awaitTimeout(ctx context.Context, d time.Duration) error {
	<-ctx.Done()
	time.Sleep(d % maxTimeoutJitter)
	return errNoAnswer
}

// reachableWorker returns a worker, or an error if the instance cannot reach it.
func (i *simInstance) reachableWorker(id string) (w *simWorker, err error) {
	w = i.sim.fleet.workers[id]
	switch {
	case w == nil || w.ended:
		return nil, syscall.ECONNREFUSED
	case w.unreachable || w.cutFromInstances[i.number] || w.unresponsive:
		return nil, errNoAnswer
	}
	return w, nil
}

func (i *simInstance) report(ctx context.Context, known roster.Server) (roster.Server, error) {
	began := time.Now()
	f := i.sim.fleet
	var requestDelay, answerDelay, lag time.Duration
	var lost bool
	i.withCallRandom(known.ID, func(random rng) {
		requestDelay, answerDelay, lag, lost = i.delay(random), i.delay(random), random.duration(0, i.sim.reportLag), i.happens(random, i.sim.lossRate)
	})
	i.waitWhileSuspendedThen(requestDelay)
	if err := delayCall(ctx, requestDelay); err != nil {
		return roster.Server{}, err
	}
	f.mu.Lock()
	w, err := i.reachableWorker(known.ID)
	var report roster.Server
	if err == nil {
		now := time.Now()
		report = w.stateAt(now.Add(-lag))
		if i.sim.groupNewerThanCount {
			report.Membership = w.Membership
		}
		report.DataCentre, report.EntrySeq = known.DataCentre, known.EntrySeq
	}
	f.mu.Unlock()
	switch {
	case errors.Is(err, errNoAnswer) || lost:
		return roster.Server{}, awaitTimeout(ctx, requestDelay)
	case err != nil:
		return roster.Server{}, err
	case report.StartUnixMilli != known.StartUnixMilli:
		return roster.Server{}, ErrOtherWorker
	}
	if err := delayCall(ctx, answerDelay); err != nil {
		return roster.Server{}, err
	}
	i.waitWhileSuspendedThen(answerDelay)
	if i.sim.disabledRules&groupFromReport != 0 {
		if list, read := i.readList(); began.Sub(read) < simListMaxAge {
			if entry, ok := list.Server(known.ID); ok {
				report.Membership = entry.Membership
			}
		}
	}
	return report, nil
}

// grant takes a number from the store, which is unavailable when the list is. If the
// answer is lost, the number is lost with it.
func (i *simInstance) grant(ctx context.Context) (int64, error) { return i.callStore(ctx, 1) }

func (i *simInstance) newestGrant(ctx context.Context) (int64, error) { return i.callStore(ctx, 0) }

func (i *simInstance) callStore(ctx context.Context, numbers int64) (int64, error) {
	var requestDelay, answerDelay time.Duration
	var lost, unanswered bool
	i.withCallRandom("store", func(random rng) {
		requestDelay, answerDelay = i.delay(random), i.delay(random)
		lost, unanswered = i.happens(random, i.sim.lossRate), i.happens(random, i.sim.lossRate)
	})
	i.waitWhileSuspendedThen(requestDelay)
	ctx, cancel := context.WithTimeout(ctx, simStoreTimeout)
	defer cancel()
	if err := delayCall(ctx, requestDelay); err != nil {
		return 0, err
	}
	f := i.sim.fleet
	f.mu.Lock()
	i.mu.Lock()
	down := f.listDown || i.cutFromList
	i.mu.Unlock()
	if !down && !lost {
		i.sim.grants += numbers
	}
	newest := i.sim.grants
	f.mu.Unlock()
	if down || lost || unanswered {
		return 0, awaitTimeout(ctx, requestDelay)
	}
	if err := delayCall(ctx, answerDelay); err != nil {
		return 0, err
	}
	i.waitWhileSuspendedThen(answerDelay)
	return newest, nil
}

func (i *simInstance) order(ctx context.Context, to roster.Server, o formation.Order, count int64) (Outcome, error) {
	sim := i.sim
	var requestDelay, answerDelay, late time.Duration
	var lost, unanswered, sent bool
	i.withCallRandom(to.ID, func(random rng) {
		requestDelay, answerDelay = i.delay(random), i.delay(random)
		lost, unanswered, sent = i.happens(random, sim.lossRate), i.happens(random, sim.lossRate), random.oneIn(2)
		if i.happens(random, sim.lateOrderRate) {
			late = random.duration(100*time.Millisecond, 6*time.Second)
		}
	})
	i.waitWhileSuspendedThen(requestDelay)
	if err := delayCall(ctx, requestDelay); err != nil && !sent {
		return Unknown, err // suspended past the timeout, so the order is not sent
	}
	if lost {
		return Unknown, awaitTimeout(ctx, requestDelay)
	}
	f := sim.fleet
	f.mu.Lock()
	worker, err := i.reachableWorker(to.ID)
	outcome := Unknown
	switch {
	case err != nil:
	case late > 0:
		sim.executeLate(o, count, late, sim.checkOnArrival && count == worker.OrderCount, worker.StartUnixMilli)
	default:
		outcome = f.deliver(o, count, false, sim.disabledRules&orderCounts == 0)
	}
	f.mu.Unlock()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Unknown, err
	case outcome == Unknown || unanswered:
		return Unknown, awaitTimeout(ctx, requestDelay)
	}
	if err := delayCall(ctx, answerDelay); err != nil {
		return Unknown, err
	}
	i.waitWhileSuspendedThen(answerDelay)
	return outcome, nil
}
