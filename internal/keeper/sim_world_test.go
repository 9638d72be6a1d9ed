package keeper

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

const (
	simQuiet      = 4 * time.Second  // before clients send requests
	simTrouble    = 35 * time.Second // the end of all faults
	simSettled    = 10 * time.Second // keepers know all workers by then
	simReturn     = 20 * time.Second // groups serve again by then
	simLoadWindow = 5 * time.Second
	simStep       = 10 * time.Millisecond
	simLag        = 200 * time.Millisecond // of reports, as the platform says
)

// guard is a rule of the protocol that tests take away, to show that it matters.
type guard int

const (
	counts       guard = 1 << iota // workers compare the count that an order names
	groupOfCount                   // a count and its group come from one report
	leaving                        // a worker leaves its group before it joins another
	allReadySeen                   // a head is opened after all members were seen ready
	epochs                         // epochs are above those of all orders before
)

// decide is formation.Decide without the guards.
func (g guard) decide(in formation.Input) formation.Decision {
	if g&epochs != 0 {
		in.Epoch = 0 // only above those that reports show
	}
	for n := range in.Workers {
		m := &in.Workers[n].Membership
		switch {
		case g&leaving != 0 && in.Headless[m.Group]:
			*m = roster.Membership{}
		case g&allReadySeen != 0 && m.State == roster.Joining:
			m.State = roster.Ready
		}
	}
	return formation.Decide(in)
}

// world is a data centre with its workers, the platform's list and the entry
// instances. All that happens follows from its seed.
type world struct {
	seed      uint64
	without   guard
	fleet     *fleet
	instances []*simInstance
	log       *telemetry.Log
	chance    chance
	faults    []fault // kinds that happen

	reportLag      time.Duration // the longest
	groupAhead     bool          // reports tell the group of the moment and an older count
	losses         float64       // part of the questions, orders and answers
	lateOrders     float64       // part of the orders
	checkOnArrival bool          // workers compare the count of a late order when it arrives
	slow           bool          // calls take long
	heard          bool          // other instances hear from heads
}

// fault draws something that goes wrong, as what happens when it begins and ends.
type fault func() (begin, end func())

// newWorld must be called in a synctest bubble. It draws how the platform
// behaves; without says which guards are off.
func newWorld(seed uint64, without guard) *world {
	w := &world{seed: seed, without: without, chance: newChance(seed, "world")}
	w.fleet = newFleet(seed)
	c := w.chance
	w.reportLag = simLag
	if c.one(4) {
		w.reportLag = 1500 * time.Millisecond // longer than keepers assume
	}
	w.groupAhead = c.one(4)
	w.losses = []float64{0, 0.02, 0.1, 0.2}[c.IntN(4)]
	w.lateOrders = []float64{0, 0.02, 0.1, 0.2}[c.IntN(4)]
	w.slow, w.heard = c.one(3), c.one(2)
	for n := range 2 + c.IntN(2) {
		w.instances = append(w.instances, newInstance(w, n, seed))
	}
	w.instances[0].acting = true
	w.faults = w.allFaults()
	return w
}

func (w *world) String() string {
	return fmt.Sprintf("%d instances, report lag %s, group ahead %t, losses %g, late orders %g, checked on arrival %t, slow %t, heard %t",
		len(w.instances), w.reportLag, w.groupAhead, w.losses, w.lateOrders, w.checkOnArrival, w.slow, w.heard)
}

// stalled reports whether a head's streams have stood still for a while.
func (w *world) stalled(id string) bool {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	head := w.fleet.workers[id]
	return w.heard && head != nil && !head.standing.IsZero() && time.Since(head.standing) > 300*time.Millisecond
}

// moving reports whether another instance hears from a head.
func (w *world) moving(id string, to int) bool {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	head := w.fleet.workers[id]
	if !w.heard || head == nil || head.dead || head.unreachable || head.Membership.State != roster.Open || !head.standing.IsZero() {
		return false
	}
	for _, i := range w.instances {
		if i.number != to && !head.unheard[i.number] {
			return true
		}
	}
	return false
}

// carryOutLate lets an order whose sender hears nothing be carried out later.
// The fleet's lock is held.
func (w *world) carryOutLate(o formation.Order, count int64, late time.Duration, checked bool, born int64) {
	time.AfterFunc(late, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		worker := w.fleet.workers[o.Worker]
		checked := checked && worker != nil && worker.StartUnixMilli == born // a new life knows no orders
		w.fleet.arrive(o, count, checked, w.without&counts == 0)
	})
}

// run lets the world go on until groups must serve again.
func (w *world) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	for _, i := range w.instances {
		group.Go(func() error {
			time.Sleep(time.Duration(i.number+1) * 7_654_321)
			return i.Run(ctx)
		})
	}
	w.plan()
	time.Sleep(simStep / 3) // apart from what happens at full seconds
	for time.Since(w.fleet.begun) < simTrouble+simReturn {
		time.Sleep(simStep)
		w.step()
	}
	cancel()
	return group.Wait()
}

func (w *world) step() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	now := time.Now()
	w.fleet.step(now)
	for _, i := range w.instances {
		i.refresh(w.fleet, now)
	}
}

// trouble reports whether faults may still be there.
func (w *world) trouble() bool { return time.Since(w.fleet.begun) < simTrouble }
