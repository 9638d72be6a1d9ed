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
	simServingStart = 4 * time.Second  // when clients start to send requests
	simFaultsEnd    = 35 * time.Second // when all faults have ended
	simSettleTime   = 10 * time.Second // after the faults; keepers know all workers by then
	simRecoveryTime = 20 * time.Second // after the faults; groups must serve again by then
	simLoadWindow   = 5 * time.Second
	simStep         = 10 * time.Millisecond
	simReportLag    = 200 * time.Millisecond // maximum lag of reports unless drawn otherwise
)

// rule is a rule of the protocol. Tests disable rules to show that each is necessary.
type rule int

const (
	orderCounts       rule = 1 << iota // workers check the order count that an order carries
	groupFromReport                    // an order count and its group come from the same report
	leaveBeforeJoin                    // a worker leaves its group before it joins another
	openAfterAllReady                  // a head is opened only after all members were seen ready
	risingEpochs                       // epochs are higher than those of all earlier orders
)

// decide is formation.Decide without the rules in r.
func (r rule) decide(in formation.Input) formation.Decision {
	if r&risingEpochs != 0 {
		in.Epoch, in.OpenFrom = 0, 0 // epochs rise only above those in reports
		for n := range in.Workers {
			in.Workers[n].OrderedEpoch = 0
		}
	}
	for n := range in.Workers {
		m := &in.Workers[n].Membership
		switch {
		case r&leaveBeforeJoin != 0 && in.Headless[m.Group]:
			*m = roster.Membership{}
		case r&openAfterAllReady != 0 && m.State == roster.Joining:
			m.State = roster.Ready
		}
	}
	return formation.Decide(in)
}

// simulation is a simulated data centre with its workers, the platform's list and the
// entry instances. It is fully determined by its seed and configuration.
type simulation struct {
	seed          uint64
	disabledRules rule
	fleet         *fleet
	instances     []*simInstance
	logger        *telemetry.Log
	random        rng
	faults        []fault // kinds of faults to draw from

	reportLag           time.Duration // maximum lag of a report
	groupNewerThanCount bool          // reports combine the current group with an older order count
	lossRate            float64       // fraction of probes, orders and answers that are lost
	lateOrderRate       float64       // fraction of orders that are carried out late
	checkOnArrival      bool          // workers check the count of a late order when it arrives
	grants              int64         // numbers that the store has given
	slowCalls           bool          // some calls take up to 300 ms
	peersReachHeads     bool          // other instances observe the streams of heads
}

// fault draws the parameters of a fault and returns functions that begin and end it.
type fault func() (begin, end func())

// newSimulation returns a simulation whose platform behaviour is drawn from the seed,
// with some rules disabled. It must be called in a synctest bubble.
func newSimulation(seed uint64, disabled rule) *simulation {
	sim := &simulation{seed: seed, disabledRules: disabled, random: newRNG(seed, "world")}
	sim.fleet = newFleet(seed)
	random := sim.random
	sim.reportLag = simReportLag
	if random.oneIn(4) {
		sim.reportLag = 1500 * time.Millisecond // longer than minReportLag, and not declared
	}
	sim.groupNewerThanCount = random.oneIn(4)
	sim.lossRate = []float64{0, 0.02, 0.1, 0.2}[random.IntN(4)]
	sim.lateOrderRate = []float64{0, 0.02, 0.1, 0.2}[random.IntN(4)]
	sim.slowCalls, sim.peersReachHeads = random.oneIn(3), random.oneIn(2)
	for n := range 2 + random.IntN(2) {
		sim.instances = append(sim.instances, newInstance(sim, n, seed))
	}
	sim.instances[0].acting = true
	sim.faults = sim.allFaults()
	return sim
}

func (sim *simulation) String() string {
	return fmt.Sprintf("%d instances, report lag %s, group newer than count %t, loss rate %g, late order rate %g, checked on arrival %t, slow calls %t, peers reach heads %t",
		len(sim.instances), sim.reportLag, sim.groupNewerThanCount, sim.lossRate, sim.lateOrderRate, sim.checkOnArrival, sim.slowCalls, sim.peersReachHeads)
}

// stalled reports whether an instance observes that a head's streams have stalled.
func (sim *simulation) stalled(id string) bool {
	sim.fleet.mu.Lock()
	defer sim.fleet.mu.Unlock()
	head := sim.fleet.workers[id]
	return sim.peersReachHeads && head != nil && !head.stalledSince.IsZero() && time.Since(head.stalledSince) > 300*time.Millisecond
}

// headReachable reports whether another instance than to receives events from a head.
func (sim *simulation) headReachable(id string, to int) bool {
	sim.fleet.mu.Lock()
	defer sim.fleet.mu.Unlock()
	head := sim.fleet.workers[id]
	if !sim.peersReachHeads || head == nil || head.ended || head.unreachable || head.Membership.State != roster.Open || !head.stalledSince.IsZero() {
		return false
	}
	for _, i := range sim.instances {
		if i.number != to && !head.cutFromInstances[i.number] {
			return true
		}
	}
	return false
}

// executeLate delivers an order, whose sender gets no answer, after the delay late.
// The caller holds the fleet's lock.
func (sim *simulation) executeLate(o formation.Order, count int64, late time.Duration, checked bool, born int64) {
	time.AfterFunc(late, func() {
		sim.fleet.mu.Lock()
		defer sim.fleet.mu.Unlock()
		worker := sim.fleet.workers[o.Worker]
		checked := checked && worker != nil && worker.StartUnixMilli == born // a restarted worker has no pending orders
		sim.fleet.deliver(o, count, checked, sim.disabledRules&orderCounts == 0)
	})
}

// run runs the simulation until the time by which groups must serve again.
func (sim *simulation) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	for _, i := range sim.instances {
		group.Go(func() error {
			time.Sleep(time.Duration(i.number+1) * 7_654_321)
			return i.Run(ctx)
		})
	}
	sim.scheduleFaults()
	time.Sleep(simStep / 3) // so that steps do not coincide with timers at whole seconds
	for time.Since(sim.fleet.start) < simFaultsEnd+simRecoveryTime {
		time.Sleep(simStep)
		sim.step()
	}
	cancel()
	return group.Wait()
}

func (sim *simulation) step() {
	sim.fleet.mu.Lock()
	defer sim.fleet.mu.Unlock()
	now := time.Now()
	sim.fleet.step(now)
	for _, i := range sim.instances {
		i.refresh(sim.fleet, now)
	}
}

// faultsActive reports whether faults may still be in effect.
func (sim *simulation) faultsActive() bool { return time.Since(sim.fleet.start) < simFaultsEnd }
