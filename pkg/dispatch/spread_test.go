package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

// fleet replays the load of a data centre in which many instances place requests by
// loads of each other that are up to lag old.
type fleet struct {
	instances, heads, slots int
	perSecond               float64 // requests
	lag, runTime            time.Duration
	named                   bool // the instances have names, and know the lag
	failing                 int  // number of heads that fail each request at once
	reported                bool // the instances tell each other of failing heads
}

// fleetResult counts what became of the requests.
type fleetResult struct {
	placed, waiting int
	failed          int // placed at a head that fails it
	overfull        int // placed where all slots were taken
	apart           int // placed where the instance had sent nothing for idle
}

// idle is how long a connection is kept.
const idle = 4 * time.Second

func (f fleet) run(seed uint64, duration time.Duration) fleetResult {
	random := rand.New(rand.NewPCG(seed, 1))
	var places []dispatch.Place
	for n := range f.heads {
		p := newHead(fmt.Sprintf("head-%03d", n), "a")
		p.Slots = f.slots
		places = append(places, p)
	}
	schedulers := make([]*dispatch.Scheduler, f.instances)
	lastUsed := make([]map[string]time.Time, f.instances)
	for n := range schedulers {
		schedulers[n] = &dispatch.Scheduler{Instances: f.instances}
		if f.named {
			schedulers[n].Instance, schedulers[n].PeerLag = fmt.Sprintf("entry-%d", n), f.lag
		}
		schedulers[n].SetPlaces(start, places)
		lastUsed[n] = map[string]time.Time{}
	}
	type running struct {
		ticket   *dispatch.Ticket
		instance int
		end      time.Time
	}
	var open []running
	inUse := map[string]int{} // requests that run, by place
	var result fleetResult
	const step = 2 * time.Millisecond
	arrivals := 0.0
	for at := time.Duration(0); at < duration; at += step {
		now := start.Add(at)
		if at%f.lag == 0 {
			total := map[string]dispatch.Load{}
			own := make([]map[string]dispatch.Load, f.instances)
			for n, s := range schedulers {
				own[n] = s.OwnLoads()
				for id, l := range own[n] {
					total[id] = dispatch.Load{Running: total[id].Running + l.Running}
				}
			}
			if f.reported {
				for _, from := range schedulers {
					failing := from.Failing(now)
					for _, to := range schedulers {
						to.SetFailing(now, failing)
					}
				}
			}
			for n, s := range schedulers {
				others := map[string]dispatch.Load{}
				for id, l := range total {
					others[id] = dispatch.Load{Running: l.Running - own[n][id].Running}
				}
				s.SetPeerLoads(now, "others", others)
			}
		}
		rest := open[:0]
		for _, r := range open {
			if now.Before(r.end) {
				rest = append(rest, r)
				continue
			}
			inUse[r.ticket.Place().ID]--
			schedulers[r.instance].Done(now, r.ticket, dispatch.Served, f.runTime)
		}
		open = rest
		for arrivals += f.perSecond * step.Seconds(); arrivals >= 1; arrivals-- {
			n := random.IntN(f.instances)
			q := newTicket(0)
			d := schedulers[n].Offer(now, q)
			if d.Verdict != dispatch.Run {
				result.waiting++
				continue
			}
			result.placed++
			if d.Place.ID < fmt.Sprintf("head-%03d", f.failing) {
				result.failed++
				schedulers[n].Done(now, q, dispatch.Failed, 0)
				continue
			}
			if inUse[d.Place.ID] >= f.slots {
				result.overfull++
			}
			if used, ok := lastUsed[n][d.Place.ID]; !ok || now.Sub(used) > idle {
				result.apart++
			}
			inUse[d.Place.ID]++
			end := now.Add(time.Duration((0.5 + random.Float64()) * float64(f.runTime)))
			lastUsed[n][d.Place.ID] = end
			open = append(open, running{ticket: q, instance: n, end: end})
		}
	}
	return result
}

// 59 instances of a data centre place by loads that are 400 ms old. If all choose the
// place that was the least loaded then, most requests meet at a few places.
func TestManyInstancesSpreadTheirRequests(t *testing.T) {
	f := fleet{instances: 59, heads: 40, slots: 13, perSecond: 220, lag: 400 * time.Millisecond, runTime: 1400 * time.Millisecond}
	share := func(f fleet) float64 {
		r := f.run(1, 8*time.Second)
		return float64(r.overfull) / float64(r.placed)
	}
	t.Run("without preferences they meet", func(t *testing.T) {
		NewWithT(t).Expect(share(f)).To(BeNumerically(">", 0.2))
	})
	f.named = true
	t.Run("with preferences they don't", func(t *testing.T) {
		NewWithT(t).Expect(share(f)).To(BeNumerically("<", 0.02))
	})
	t.Run("nor when most slots are taken", func(t *testing.T) {
		f.perSecond = 300
		NewWithT(t).Expect(share(f)).To(BeNumerically("<", 0.1))
	})
}

// An instance with few requests sends them to few places, where they find open
// connections.
func TestAnInstanceReturnsToItsPlaces(t *testing.T) {
	f := fleet{instances: 59, heads: 40, slots: 13, perSecond: 220, lag: 400 * time.Millisecond, runTime: 1400 * time.Millisecond, named: true}
	r := f.run(1, 12*time.Second)
	NewWithT(t).Expect(float64(r.apart) / float64(r.placed)).To(BeNumerically("<", 0.3))
}

// A tenth of the heads answers each request with an error at once. They never have load,
// so that instances that don't know choose them before others.
func TestInstancesTellOfFailingHeads(t *testing.T) {
	f := fleet{
		instances: 59, heads: 40, slots: 13, perSecond: 220, lag: 400 * time.Millisecond, runTime: 1400 * time.Millisecond, named: true, failing: 4,
	}
	failed := func(f fleet) float64 {
		r := f.run(1, 6*time.Second)
		return float64(r.failed) / float64(r.placed)
	}
	alone := failed(f)
	f.reported = true
	together := failed(f)
	g := NewWithT(t)
	g.Expect(together).To(BeNumerically("<", alone/2), "alone %.3f", alone)
	g.Expect(together).To(BeNumerically("<", 0.1), "their share of all heads")
}
