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
	// grace is how long after the list's return entries that are missing are kept.
	grace = 2 * time.Second
	// simListTrust is the age of the list up to which its entries go before
	// reports where a count needn't go with its own group.
	simListTrust = 1500 * time.Millisecond
	// maxAfterTimeout keeps the ends of calls apart from each other and from the
	// keeper's next turn, so that a seed always gives the same world.
	maxAfterTimeout = 5 * time.Millisecond
)

// simInstance is an entry instance with a real keeper. Its machine may be
// suspended wherever the keeper calls it.
type simInstance struct {
	*Keeper
	number int
	world  *world
	names  int

	mu       sync.Mutex
	acting   bool
	closed   bool
	calm     bool      // calls go well
	frozen   time.Time // until then
	listless bool      // cut off from the platform's list
	chance   chance
	chances  map[string]chance // by worker

	entries  map[string]roster.Server
	list     *roster.Roster
	listed   time.Time
	failed   bool // the last read of the list
	returned time.Time
	readAt   time.Time
}

func newInstance(w *world, number int, seed uint64) *simInstance {
	purpose := fmt.Sprintf("instance %d", number)
	i := &simInstance{
		number: number, world: w, chance: newChance(seed, purpose), chances: map[string]chance{},
		entries: map[string]roster.Server{}, list: roster.New(nil), failed: true,
	}
	i.Keeper = &Keeper{
		DataCentre: "a", LoadWindow: simLoadWindow, Metrics: telemetry.NewMetrics(), Log: w.log,
		Acting:         func() bool { return i.flag(&i.acting) },
		Closed:         func() bool { return i.flag(&i.closed) },
		Engine:         func() (string, *catalog.Engine) { i.pause(); return simService, w.fleet.engine },
		DataCentres:    func() int { i.pause(); return 1 },
		Serving:        func() bool { i.pause(); return w.fleet.serving(time.Now()) },
		List:           i.readList,
		HeadStalled:    w.stalled,
		HeadResponding: func(id string) bool { i.pause(); return w.moving(id, number) },
		Report:         i.report,
		Order:          i.order,
		decide:         w.without.decide,
		name: func(model string) string {
			i.pause()
			i.names++
			return formation.GroupName(model, fmt.Sprintf("%d-%d", number, i.names))
		},
	}
	return i
}

// pause waits while the machine is suspended.
func (i *simInstance) pause() { i.pauseCall(0) }

// pauseCall is pause for a call, which goes on a little later than the others.
func (i *simInstance) pauseCall(later time.Duration) {
	i.mu.Lock()
	until := i.frozen
	i.mu.Unlock()
	if d := time.Until(until); d > 0 {
		time.Sleep(d + later)
	}
}

func (i *simInstance) flag(f *bool) bool {
	i.pause()
	i.mu.Lock()
	defer i.mu.Unlock()
	return *f
}

// delay draws how long a call is on its way. The lock is held.
func (i *simInstance) delay(c chance) time.Duration {
	if i.world.slow && !i.calm && c.one(5) {
		return c.time(0, 300*time.Millisecond)
	}
	return c.time(100*time.Microsecond, 8*time.Millisecond)
}

// often draws whether something happens that does to a part of all calls. The lock is held.
func (i *simInstance) often(c chance, part float64) bool { return !i.calm && c.Float64() < part }

// draw lets the chance of calls to a worker decide.
func (i *simInstance) draw(worker string, f func(chance)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	c, ok := i.chances[worker]
	if !ok {
		c = newChance(i.world.seed, fmt.Sprintf("calls of %d to %s", i.number, worker))
		i.chances[worker] = c
	}
	f(c)
}

func (i *simInstance) readList() (*roster.Roster, time.Time) {
	i.pause()
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.list, i.listed
}

// refresh reads the platform's list when that is due. The fleet's lock is held.
func (i *simInstance) refresh(f *fleet, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Before(i.readAt) || now.Before(i.frozen) {
		return
	}
	i.readAt = now.Add(i.chance.time(50*time.Millisecond, 300*time.Millisecond))
	if f.away || i.listless {
		i.failed = true
		i.readAt = now.Add(i.chance.time(60*time.Millisecond, 700*time.Millisecond))
		return
	}
	if i.failed {
		i.failed, i.returned = false, now
	}
	changed := false
	for id, s := range f.entries {
		if old, ok := i.entries[id]; !ok || old.EntrySeq != s.EntrySeq {
			i.entries[id], changed = s, true
		}
	}
	for id := range i.entries {
		if _, ok := f.entries[id]; !ok && now.Sub(i.returned) > grace {
			delete(i.entries, id)
			changed = true
		}
	}
	i.listed = now
	if changed {
		i.list = roster.New(slices.Collect(maps.Values(i.entries)))
	}
}

var errNoAnswer = errors.New("no answer")

// wait lets a call be on its way, and reports whether it was given up meanwhile.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		time.Sleep(d % maxAfterTimeout)
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// never waits for an answer that doesn't come.
func never(ctx context.Context, d time.Duration) error {
	<-ctx.Done()
	time.Sleep(d % maxAfterTimeout)
	return errNoAnswer
}

// reach returns the worker at an address, if it can be called.
func (i *simInstance) reach(id string) (w *simWorker, err error) {
	w = i.world.fleet.workers[id]
	switch {
	case w == nil || w.dead:
		return nil, syscall.ECONNREFUSED
	case w.unreachable || w.unheard[i.number] || w.silent:
		return nil, errNoAnswer
	}
	return w, nil
}

func (i *simInstance) report(ctx context.Context, known roster.Server) (roster.Server, error) {
	began := time.Now()
	f := i.world.fleet
	var there, back, lag time.Duration
	var lost bool
	i.draw(known.ID, func(c chance) {
		there, back, lag, lost = i.delay(c), i.delay(c), c.time(0, i.world.reportLag), i.often(c, i.world.losses)
	})
	i.pauseCall(there)
	if err := wait(ctx, there); err != nil {
		return roster.Server{}, err
	}
	f.mu.Lock()
	w, err := i.reach(known.ID)
	var report roster.Server
	if err == nil {
		now := time.Now()
		report = w.at(now.Add(-lag))
		if i.world.groupAhead {
			report.Membership = w.Membership
		}
		report.DataCentre, report.EntrySeq = known.DataCentre, known.EntrySeq
	}
	f.mu.Unlock()
	switch {
	case errors.Is(err, errNoAnswer) || lost:
		return roster.Server{}, never(ctx, there)
	case err != nil:
		return roster.Server{}, err
	case report.StartUnixMilli != known.StartUnixMilli:
		return roster.Server{}, ErrOtherWorker
	}
	if err := wait(ctx, back); err != nil {
		return roster.Server{}, err
	}
	i.pauseCall(back)
	if i.world.without&groupOfCount != 0 {
		if list, read := i.readList(); began.Sub(read) < simListTrust {
			if entry, ok := list.Server(known.ID); ok {
				report.Membership = entry.Membership
			}
		}
	}
	return report, nil
}

func (i *simInstance) order(ctx context.Context, to roster.Server, o formation.Order, count int64) (Outcome, error) {
	w := i.world
	var there, back, late time.Duration
	var lost, unanswered, sent bool
	i.draw(to.ID, func(c chance) {
		there, back = i.delay(c), i.delay(c)
		lost, unanswered, sent = i.often(c, w.losses), i.often(c, w.losses), c.one(2)
		if i.often(c, w.lateOrders) {
			late = c.time(100*time.Millisecond, 6*time.Second)
		}
	})
	i.pauseCall(there)
	if err := wait(ctx, there); err != nil && !sent {
		return Unknown, err // suspended for so long that it isn't sent
	}
	if lost {
		return Unknown, never(ctx, there)
	}
	f := w.fleet
	f.mu.Lock()
	worker, err := i.reach(to.ID)
	outcome := Unknown
	switch {
	case err != nil:
	case late > 0:
		w.carryOutLate(o, count, late, w.checkOnArrival && count == worker.OrderCount, worker.StartUnixMilli)
	default:
		outcome = f.arrive(o, count, false, w.without&counts == 0)
	}
	f.mu.Unlock()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Unknown, err
	case outcome == Unknown || unanswered:
		return Unknown, never(ctx, there)
	}
	if err := wait(ctx, back); err != nil {
		return Unknown, err
	}
	i.pauseCall(back)
	return outcome, nil
}
