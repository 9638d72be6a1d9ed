package keeper

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

const (
	simService          = "pool"
	simDomains          = 2
	simWorkersPerDomain = 5 // in each fabric domain
)

// rng is a source of random values.
type rng struct{ *rand.Rand }

// newRNG returns a source for one purpose, so that the values drawn by one part of a
// simulation do not depend on the other parts.
func newRNG(seed uint64, purpose string) rng {
	h := seed
	for _, b := range []byte(purpose) {
		h = h*1099511628211 + uint64(b)
	}
	return rng{rand.New(rand.NewPCG(seed, h))}
}

func (r rng) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)+1))
}

func (r rng) oneIn(in int) bool { return r.IntN(in) == 0 }

// fleet simulates the workers of a data centre and the platform's list of them, as
// the platform's protocol specifies, and checks that the workers are used safely.
type fleet struct {
	engine *catalog.Engine
	random rng
	start  time.Time

	mu         sync.Mutex
	workers    map[string]*simWorker
	started    int // number of workers started so far
	seenReady  map[groupKey]map[string]bool
	loadStarts []time.Time
	violations []string
	disbanded  []string // orders that disbanded complete serving groups after the faults
	events     []string // log of the simulation

	listDown         bool // the platform's list is unavailable
	expiresWhileDown bool // entries expire while the list is unavailable
	entries          map[string]roster.Server
	writtenAt        map[string]time.Time
}

func newFleet(seed uint64) *fleet {
	f := &fleet{
		engine: &catalog.Engine{
			Slots: 8, LoadRate: 2, MaxConcurrentLoads: 4, OpenTime: simOpenTime,
			Models: []catalog.Model{
				{Name: "large", Size: 3, Share: 0.6, Pace: 1, LoadTime: 4 * time.Second, StagedJoinTime: time.Second},
				{Name: "small", Size: 2, Share: 0.4, Pace: 0.6, LoadTime: 3 * time.Second, StagedJoinTime: time.Second},
			},
		},
		random: newRNG(seed, "fleet"), start: time.Now(),
		workers: map[string]*simWorker{}, seenReady: map[groupKey]map[string]bool{},
		entries: map[string]roster.Server{}, writtenAt: map[string]time.Time{},
	}
	for d := range simDomains {
		for range simWorkersPerDomain {
			f.addWorker(fmt.Sprintf("d%d", d))
		}
	}
	return f
}

func (f *fleet) addWorker(domain string) {
	f.started++
	w := &simWorker{Server: roster.Server{ID: fmt.Sprintf("w%02d", f.started), Domain: domain}}
	f.workers[w.ID] = w
	w.start(time.Now())
}

// clientsSend reports whether clients have started to send requests.
func (f *fleet) clientsSend(now time.Time) bool { return now.Sub(f.start) > simServingStart }

// ids returns the IDs of the workers in a fixed order.
func (f *fleet) ids() []string { return slices.Sorted(maps.Keys(f.workers)) }

func (f *fleet) logEvent(format string, args ...any) {
	f.events = append(f.events, fmt.Sprintf("%7.3f ", time.Since(f.start).Seconds())+fmt.Sprintf(format, args...))
}

func (f *fleet) reportViolation(format string, args ...any) {
	f.logEvent(format, args...)
	f.violations = append(f.violations, f.events[len(f.events)-1])
}

// step advances all workers and entries to the given time.
func (f *fleet) step(now time.Time) {
	for _, id := range f.ids() {
		w := f.workers[id]
		if !w.exitAt.IsZero() && now.After(w.exitAt) {
			f.kill(w)
		}
		if !w.ended {
			f.advance(w, now)
			f.writeEntry(w, now)
		}
		if _, listed := f.entries[id]; listed && now.Sub(f.writtenAt[id]) > simEntryTimeout && (!f.listDown || f.expiresWhileDown) {
			delete(f.entries, id)
		}
	}
}

// writeEntry writes a worker's entry if it has changed or the heartbeat is due.
func (f *fleet) writeEntry(w *simWorker, now time.Time) {
	if f.listDown || w.entryNotWritten || !w.entryOutdated && now.Before(w.nextEntryWrite) {
		return
	}
	w.EntrySeq++
	entry := w.Server
	entry.OrderCount, entry.StagedModels = 0, slices.Clone(w.StagedModels)
	f.entries[w.ID], f.writtenAt[w.ID] = entry, now
	w.entryOutdated, w.nextEntryWrite = false, now.Add(f.random.duration(simHeartbeat*8/10, simHeartbeat))
}

// setListDown makes the list unavailable or available again. When it becomes
// available, workers write their entries at different times.
func (f *fleet) setListDown(down bool) {
	f.listDown, f.expiresWhileDown = down, !f.random.oneIn(4)
	if down {
		return
	}
	now := time.Now()
	for _, id := range f.ids() {
		w := f.workers[id]
		w.entryOutdated, w.nextEntryWrite = false, now.Add(f.random.duration(0, 2*time.Second))
		if _, listed := f.entries[id]; listed {
			f.writtenAt[id] = now
		}
	}
}

func (f *fleet) kill(w *simWorker) {
	f.logEvent("%s ends", w.ID)
	w.ended = true
	w.Membership = roster.Membership{}
}

// deliver delivers an order to its worker, which carries it out if the order count
// and the worker's state allow it. checked means that the count has already been
// found right; counts is false if the rule on counts is disabled.
func (f *fleet) deliver(o formation.Order, count int64, checked, counts bool) Outcome {
	w := f.workers[o.Worker]
	if w == nil || w.ended {
		return Unknown
	}
	now := time.Now()
	outcome := Rejected
	if checked || !counts || count == w.OrderCount {
		outcome = w.check(o)
	}
	if outcome == Begun {
		outcome = f.execute(w, o, now)
	}
	f.logEvent("%s at %d: %s %s/%d, decided at %d: %s", w.ID, w.OrderCount, o.Operation, o.Group, o.Epoch, count, outcome)
	return outcome
}

func (f *fleet) markReady(w *simWorker) {
	g := groupKeyOf(w.Membership)
	if f.seenReady[g] == nil {
		f.seenReady[g] = map[string]bool{}
	}
	f.seenReady[g][w.ID] = true
}

// checkJoin reports a violation if a worker joins a group while the head of its
// current group still serves.
func (f *fleet) checkJoin(w *simWorker, o formation.Order) {
	m := w.Membership
	if m.State == roster.Alone || groupKeyOf(m) == (groupKey{o.Group, o.Epoch}) {
		return
	}
	head := f.workers[w.members[0]]
	if head == nil || head.ended || head.Membership.State == roster.Alone || groupKeyOf(head.Membership) != groupKeyOf(m) {
		return
	}
	if s := head.Membership.State; s == roster.Open || s == roster.Closing {
		f.reportViolation("TWO: %s joins %s/%d while the head %s of %s/%d, which it hasn't left, is %s", w.ID, o.Group, o.Epoch, head.ID, m.Group, m.Epoch, s)
	}
}

// checkOpen reports a violation if a head opens before all members were ready.
func (f *fleet) checkOpen(head *simWorker) {
	m := head.Membership
	f.logEvent("%s opens %s/%d", head.ID, m.Group, m.Epoch)
	if model, _ := f.engine.Model(formation.ModelOf(m.Group)); len(head.members) != model.Size {
		f.reportViolation("PARTIAL: %s opens %s with %d members", head.ID, m.Group, len(head.members))
	}
	for _, id := range head.members {
		if !f.seenReady[groupKeyOf(m)][id] {
			f.reportViolation("PARTIAL: %s opens %s although %s was never ready in it", head.ID, m.Group, id)
		}
	}
}

// checkEnd records orders that disband a complete serving group.
func (f *fleet) checkEnd(w *simWorker, o formation.Order) {
	leaves := slices.ContainsFunc(w.members, func(id string) bool { return f.workers[id] != nil && f.workers[id].Draining })
	if w.Membership.State == roster.Open && w.Membership.Rank == 0 && f.isWhole(w) && !leaves {
		f.logEvent("%s of complete group %s: %s", o.Operation, o.Group, o.Reason)
		if time.Since(f.start) > simFaultsEnd+simSettleTime {
			f.disbanded = append(f.disbanded, f.events[len(f.events)-1])
		}
	}
}

// openGroups returns the number of a model's complete serving groups.
func (f *fleet) openGroups(model string) int {
	n := 0
	for _, w := range f.workers {
		if !w.ended && w.Membership.State == roster.Open && formation.ModelOf(w.Membership.Group) == model && f.isWhole(w) {
			n++
		}
	}
	return n
}

// idleInOneDomain returns the largest number of workers of one domain that are in no
// complete serving group.
func (f *fleet) idleInOneDomain() int {
	busy := map[string]bool{}
	for _, w := range f.workers {
		if !w.ended && w.Membership.State == roster.Open && f.isWhole(w) {
			for _, id := range w.members {
				busy[id] = true
			}
		}
	}
	domains := map[string]int{}
	for id, w := range f.workers {
		if !w.ended && !busy[id] {
			domains[w.Domain]++
		}
	}
	most := 0
	for _, n := range domains {
		most = max(most, n)
	}
	return most
}

// loadsWithin returns the largest number of loads that began within any window that
// starts after from.
func (f *fleet) loadsWithin(window time.Duration, from time.Time) int {
	most := 0
	for i, first := range f.loadStarts {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, at := range f.loadStarts[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// lastEvents returns the last lines of the simulation's log.
func (f *fleet) lastEvents(lines int) string {
	return strings.Join(f.events[max(0, len(f.events)-lines):], "\n")
}
