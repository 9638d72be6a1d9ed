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
	simService  = "pool"
	simDomains  = 2
	simPerGroup = 5 // workers of a fabric domain
)

// chance draws at random.
type chance struct{ *rand.Rand }

// newChance returns a source for one purpose, so that what one part of a world
// draws doesn't depend on the others.
func newChance(seed uint64, purpose string) chance {
	h := seed
	for _, b := range []byte(purpose) {
		h = h*1099511628211 + uint64(b)
	}
	return chance{rand.New(rand.NewPCG(seed, h))}
}

func (c chance) time(from, to time.Duration) time.Duration {
	return from + time.Duration(c.Int64N(int64(to-from)+1))
}

func (c chance) one(in int) bool { return c.IntN(in) == 0 }

// fleet is the workers of a data centre, the platform's list of them, and the
// judge of what they do. It follows the platform's protocol.
type fleet struct {
	engine *catalog.Engine
	chance chance
	begun  time.Time

	mu       sync.Mutex
	workers  map[string]*simWorker
	started  int // workers
	ready    map[group]map[string]bool
	loads    []time.Time
	findings []string
	apart    []string // whole groups that were taken apart
	story    []string // what the workers did

	away       bool // the platform's list
	lapsesAway bool // entries lapse while the list is away
	entries    map[string]roster.Server
	written    map[string]time.Time
}

func newFleet(seed uint64) *fleet {
	f := &fleet{
		engine: &catalog.Engine{
			Slots: 8, LoadRate: 2, MaxConcurrentLoads: 4, OpenTime: simForm,
			Models: []catalog.Model{
				{Name: "large", Size: 3, Share: 0.6, Pace: 1, LoadTime: 4 * time.Second, StagedJoinTime: time.Second},
				{Name: "small", Size: 2, Share: 0.4, Pace: 0.6, LoadTime: 3 * time.Second, StagedJoinTime: time.Second},
			},
		},
		chance: newChance(seed, "fleet"), begun: time.Now(),
		workers: map[string]*simWorker{}, ready: map[group]map[string]bool{},
		entries: map[string]roster.Server{}, written: map[string]time.Time{},
	}
	for d := range simDomains {
		for range simPerGroup {
			f.add(fmt.Sprintf("d%d", d))
		}
	}
	return f
}

func (f *fleet) add(domain string) {
	f.started++
	w := &simWorker{Server: roster.Server{ID: fmt.Sprintf("w%02d", f.started), Domain: domain}}
	f.workers[w.ID] = w
	w.start(time.Now())
}

// serving reports whether clients send requests.
func (f *fleet) serving(now time.Time) bool { return now.Sub(f.begun) > simQuiet }

// ids returns the workers in a fixed order.
func (f *fleet) ids() []string { return slices.Sorted(maps.Keys(f.workers)) }

func (f *fleet) tell(format string, args ...any) {
	f.story = append(f.story, fmt.Sprintf("%7.3f ", time.Since(f.begun).Seconds())+fmt.Sprintf(format, args...))
}

func (f *fleet) find(format string, args ...any) {
	f.tell(format, args...)
	f.findings = append(f.findings, f.story[len(f.story)-1])
}

// step moves all workers and entries on.
func (f *fleet) step(now time.Time) {
	for _, id := range f.ids() {
		w := f.workers[id]
		if !w.exit.IsZero() && now.After(w.exit) {
			f.kill(w)
		}
		if !w.dead {
			f.pass(w, now)
			f.report(w, now)
		}
		if _, listed := f.entries[id]; listed && now.Sub(f.written[id]) > simLapse && (!f.away || f.lapsesAway) {
			delete(f.entries, id)
		}
	}
}

// report writes a worker's entry when it has changed or is due.
func (f *fleet) report(w *simWorker, now time.Time) {
	if f.away || w.storeless || !w.changed && now.Before(w.heartbeat) {
		return
	}
	w.EntrySeq++
	entry := w.Server
	entry.OrderCount, entry.StagedModels = 0, slices.Clone(w.StagedModels)
	f.entries[w.ID], f.written[w.ID] = entry, now
	w.changed, w.heartbeat = false, now.Add(f.chance.time(simHeartbeat*8/10, simHeartbeat))
}

// setAway takes the list away, or brings it back; then workers write their
// entries one after the other.
func (f *fleet) setAway(away bool) {
	f.away, f.lapsesAway = away, !f.chance.one(4)
	if away {
		return
	}
	now := time.Now()
	for _, id := range f.ids() {
		w := f.workers[id]
		w.changed, w.heartbeat = false, now.Add(f.chance.time(0, 2*time.Second))
		if _, listed := f.entries[id]; listed {
			f.written[id] = now
		}
	}
}

func (f *fleet) kill(w *simWorker) {
	f.tell("%s ends", w.ID)
	w.dead = true
	w.Membership = roster.Membership{}
}

// arrive lets an order reach its worker, and reports whether it may be carried
// out. checked is set when its count was right before.
func (f *fleet) arrive(o formation.Order, count int64, checked, counts bool) Outcome {
	w := f.workers[o.Worker]
	if w == nil || w.dead {
		return Unknown
	}
	now := time.Now()
	outcome := Rejected
	if checked || !counts || count == w.OrderCount {
		outcome = w.accepts(o)
	}
	if outcome == Begun {
		outcome = f.carryOut(w, o, now)
	}
	f.tell("%s at %d: %s %s/%d, decided at %d: %s", w.ID, w.OrderCount, o.Operation, o.Group, o.Epoch, count, outcome)
	return outcome
}

func (f *fleet) wasReady(w *simWorker) {
	g := groupOf(w.Membership)
	if f.ready[g] == nil {
		f.ready[g] = map[string]bool{}
	}
	f.ready[g][w.ID] = true
}

// judgeJoin finds a worker that joins a group while the head of its own serves.
func (f *fleet) judgeJoin(w *simWorker, o formation.Order) {
	m := w.Membership
	if m.State == roster.Alone || groupOf(m) == (group{o.Group, o.Epoch}) {
		return
	}
	head := f.workers[w.members[0]]
	if head == nil || head.dead || head.Membership.State == roster.Alone || groupOf(head.Membership) != groupOf(m) {
		return
	}
	if s := head.Membership.State; s == roster.Open || s == roster.Closing {
		f.find("TWO: %s joins %s/%d while the head %s of %s/%d, which it hasn't left, is %s", w.ID, o.Group, o.Epoch, head.ID, m.Group, m.Epoch, s)
	}
}

// judgeOpen finds a head that serves without all its members.
func (f *fleet) judgeOpen(head *simWorker) {
	m := head.Membership
	f.tell("%s opens %s/%d", head.ID, m.Group, m.Epoch)
	if model, _ := f.engine.Model(formation.ModelOf(m.Group)); len(head.members) != model.Size {
		f.find("PARTIAL: %s opens %s with %d members", head.ID, m.Group, len(head.members))
	}
	for _, id := range head.members {
		if !f.ready[groupOf(m)][id] {
			f.find("PARTIAL: %s opens %s though %s was never ready in it", head.ID, m.Group, id)
		}
	}
}

// judgeEnd finds a group that serves and is whole, and is told to end.
func (f *fleet) judgeEnd(w *simWorker, o formation.Order) {
	leaves := slices.ContainsFunc(w.members, func(id string) bool { return f.workers[id] != nil && f.workers[id].Draining })
	if w.Membership.State == roster.Open && w.Membership.Rank == 0 && f.whole(w) && !leaves {
		f.tell("%s of whole group %s: %s", o.Operation, o.Group, o.Reason)
		if time.Since(f.begun) > simTrouble+simSettled {
			f.apart = append(f.apart, f.story[len(f.story)-1])
		}
	}
}

// open counts a model's groups that serve.
func (f *fleet) open(model string) int {
	n := 0
	for _, w := range f.workers {
		if !w.dead && w.Membership.State == roster.Open && formation.ModelOf(w.Membership.Group) == model && f.whole(w) {
			n++
		}
	}
	return n
}

// idle returns the most workers of one domain that no open group has.
func (f *fleet) idle() int {
	busy := map[string]bool{}
	for _, w := range f.workers {
		if !w.dead && w.Membership.State == roster.Open && f.whole(w) {
			for _, id := range w.members {
				busy[id] = true
			}
		}
	}
	domains := map[string]int{}
	for id, w := range f.workers {
		if !w.dead && !busy[id] {
			domains[w.Domain]++
		}
	}
	most := 0
	for _, n := range domains {
		most = max(most, n)
	}
	return most
}

// loadsWithin returns the most loads that began in any window from a time on.
func (f *fleet) loadsWithin(window time.Duration, from time.Time) int {
	most := 0
	for i, first := range f.loads {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, at := range f.loads[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// end returns the last lines of what the workers did.
func (f *fleet) end(lines int) string {
	return strings.Join(f.story[max(0, len(f.story)-lines):], "\n")
}
