package ratelimit_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/ratelimit"
)

const (
	server       = "w"
	step         = 20 * time.Millisecond
	serviceTime  = 20 * time.Millisecond // of the server
	digestEvery  = 100 * time.Millisecond
	untoldFor    = 500 * time.Millisecond // after its first answer with the limit an instance must keep it
	contactTime  = 3 * time.Second        // after the first naming, the limit is checked
	checkWindow  = 4 * time.Second
	windowExcess = 1.5
	windowSlack  = 5
)

var start = time.Unix(1_000_000, 0)

// world simulates instances that send requests to one server.
type world struct {
	instances int
	limit     float64
	patience  time.Duration // for which a request waits
	lag       time.Duration // of digests, beside digestEvery
	loss      float64       // share of the digests that are lost
	// demand returns the requests per second that arrive at an instance.
	demand func(now time.Duration, instance int) float64
	// known is the share of its demand that an instance knows; 0 means all.
	known float64
	// cutOff reports whether an instance neither sends nor receives digests.
	cutOff func(now time.Duration, instance int) bool
	// restartAt returns when an instance starts again; 0 means never.
	restartAt func(instance int) time.Duration
	length    time.Duration
	seed      uint64
}

// send is a request at the server.
type send struct {
	at       time.Duration
	instance int
	counted  bool // its instance had been told of the limit long enough before
}

type delivery struct {
	at       time.Duration
	from, to int
	reports  []ratelimit.Report
}

// run returns the requests that the server got, and how many arrived at the instances
// after contactTime.
func (w world) run() (sends []send, arrived int) {
	random := rand.New(rand.NewPCG(w.seed, 1))
	newTable := func() *ratelimit.Table { return &ratelimit.Table{Random: random.Float64} }
	tables, toldAt := make([]*ratelimit.Table, w.instances), make([]time.Duration, w.instances)
	waiting := make([][]time.Duration, w.instances) // when they arrived
	for i := range tables {
		tables[i], toldAt[i] = newTable(), -1
	}
	answers := map[time.Duration][]int{} // instances by the time of an answer
	var deliveries []delivery
	fleet := ratelimit.Fleet{Instances: w.instances, Lag: w.lag}
	for now := time.Duration(0); now < w.length; now += step {
		at := start.Add(now)
		for _, i := range answers[now] {
			tables[i].Note(at, server, 1, w.limit)
			if toldAt[i] < 0 {
				toldAt[i] = now
			}
		}
		later := deliveries[:0]
		for _, d := range deliveries {
			if d.at > now {
				later = append(later, d)
				continue
			}
			tables[d.to].Merge(at, fmt.Sprint(d.from), d.reports)
		}
		deliveries = later
		for _, i := range random.Perm(w.instances) {
			if w.restartAt != nil && now > 0 && now == w.restartAt(i) {
				tables[i], toldAt[i], waiting[i] = newTable(), -1, nil
			}
			cut := w.cutOff != nil && w.cutOff(now, i)
			if phase := time.Duration(i) * step % digestEvery; now%digestEvery == phase && !cut {
				reports := tables[i].Reports(at)
				for to := range w.instances {
					if to != i && random.Float64() >= w.loss && (w.cutOff == nil || !w.cutOff(now, to)) {
						deliveries = append(deliveries, delivery{now + step + w.lag, i, to, reports})
					}
				}
			}
			demand := w.demand(now, i)
			if random.Float64() < demand*step.Seconds() {
				waiting[i] = append(waiting[i], now)
				if now >= contactTime {
					arrived++
				}
			}
			if w.known > 0 {
				demand *= w.known
			}
			tables[i].SetDemand(server, demand)
			var still []time.Duration
			for _, arrived := range waiting[i] {
				switch {
				case now-arrived > w.patience:
				case tables[i].Admits(at, server, 1, fleet):
					tables[i].Spend(at, server)
					sends = append(sends, send{now, i, toldAt[i] >= 0 && now-toldAt[i] >= untoldFor})
					answers[now+serviceTime] = append(answers[now+serviceTime], i)
				default:
					still = append(still, arrived)
				}
			}
			waiting[i] = still
		}
	}
	return sends, arrived
}

// worstExcess returns the most requests by which a window exceeds what the limit allows.
func (w world) worstExcess(sends []send) float64 {
	worst := -1e9
	for n := range sends {
		end, count := sends[n].at, 0.0
		if end < contactTime {
			continue
		}
		for m := n; m >= 0 && end-sends[m].at < checkWindow; m-- {
			if sends[m].counted {
				count++
			}
		}
		worst = max(worst, count-windowExcess*w.limit*checkWindow.Seconds()-windowSlack)
	}
	return worst
}

// use returns the share of what the limit and the arrivals allowed after contactTime that
// the server got.
func (w world) use(sends []send, arrived int) float64 {
	got := 0.0
	for _, s := range sends {
		if s.at >= contactTime {
			got++
		}
	}
	return got / min(w.limit*(w.length-contactTime).Seconds(), float64(arrived))
}

func even(perSecond float64, instances int) func(time.Duration, int) float64 {
	return func(time.Duration, int) float64 { return perSecond / float64(instances) }
}

func lone(perSecond float64) func(time.Duration, int) float64 {
	return func(_ time.Duration, i int) float64 {
		if i == 0 {
			return perSecond
		}
		return 0
	}
}

func uneven(perSecond float64, instances int) func(time.Duration, int) float64 {
	return func(_ time.Duration, i int) float64 {
		if i < 2 {
			return 0.35 * perSecond
		}
		return 0.3 * perSecond / float64(instances-2)
	}
}

var seeds = flag.Uint64("ratelimit.seeds", 1, "number of seeds of each case")

// Each instance kept a limit by itself, or none did, so that the server got more than it
// had said that it takes.
func TestLimitIsKeptByAllInstancesTogether(t *testing.T) {
	for _, fleet := range []struct {
		instances int
		lag       time.Duration
		limits    []float64
		use       float64 // least use of the limit while demand is steady; less with relays, whose word is older
	}{
		{2, 0, []float64{0.5, 3.3, 60}, 0.6},
		{9, 0, []float64{0.5, 3.3, 60}, 0.6},
		{20, 400 * time.Millisecond, []float64{2}, 0.5},
	} {
		for _, limit := range fleet.limits {
			for _, c := range []struct {
				name   string
				demand func(time.Duration, int) float64
				use    float64
			}{
				{"even demand, twice the limit", even(2*limit, fleet.instances), fleet.use},
				{"even demand, half of the limit", even(0.5*limit, fleet.instances), fleet.use},
				{"uneven demand, four times the limit", uneven(4*limit, fleet.instances), fleet.use},
				{"one sender, three times the limit", lone(3 * limit), fleet.use},
				{"demand that begins at once", func(now time.Duration, _ int) float64 {
					if now < 6*time.Second {
						return 0.1 * limit / float64(fleet.instances)
					}
					return 5 * limit / float64(fleet.instances)
				}, 0},
				{"demand that moves", func(now time.Duration, i int) float64 {
					if int(now/(3*time.Second))%fleet.instances == i {
						return 4 * limit
					}
					return 0.2 * limit / float64(fleet.instances)
				}, 0},
			} {
				t.Run(fmt.Sprintf("%v of %d/%s", limit, fleet.instances, c.name), func(t *testing.T) {
					g := NewWithT(t)
					w := world{
						instances: fleet.instances, limit: limit, lag: fleet.lag, loss: 0.02, patience: 400 * time.Millisecond,
						demand: c.demand, length: contactTime + max(12*time.Second, time.Duration(20/limit)*time.Second),
					}
					use := 0.0
					for w.seed = range *seeds {
						sends, arrived := w.run()
						g.Expect(w.worstExcess(sends)).To(BeNumerically("<=", 0), "seed %d", w.seed)
						use += w.use(sends, arrived) / float64(*seeds)
					}
					g.Expect(use).To(BeNumerically(">=", c.use))
				})
			}
		}
	}
}

// An instance that starts again, or can't be heard, goes on sending, which the others have
// to leave room for.
func TestLimitIsKeptAroundRestartsAndCuts(t *testing.T) {
	const limit, instances = 5, 9
	base := world{
		instances: instances, limit: limit, loss: 0.02, patience: 400 * time.Millisecond, demand: even(3*limit, instances), length: 20 * time.Second,
	}
	restarts := base
	restarts.restartAt = func(i int) time.Duration { return time.Duration(5+i) * time.Second }
	cut := base
	cut.cutOff = func(now time.Duration, i int) bool { return i < 3 && now > 5*time.Second && now < 12*time.Second }
	divided := base
	divided.cutOff = func(now time.Duration, _ int) bool { return now > 5*time.Second && now < 12*time.Second }
	for _, c := range []struct {
		name string
		world
	}{{"restarts", restarts}, {"three instances cut off", cut}, {"no digest arrives", divided}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			for c.seed = range *seeds {
				sends, arrived := c.run()
				g.Expect(c.worstExcess(sends)).To(BeNumerically("<=", 0), "seed %d", c.seed)
				g.Expect(c.use(sends, arrived)).To(And(BeNumerically(">=", 0.5), BeNumerically("<=", 1.15)), "seed %d", c.seed)
			}
		})
	}
}

// All instances found room at the same moment, again and again, as what they had sent
// beyond the limit was forgotten after a while.
func TestLimitIsKeptWhenDemandIsHigherThanKnown(t *testing.T) {
	for _, limit := range []float64{0.5, 2, 8} {
		for _, known := range []float64{0.3, 0.1} {
			t.Run(fmt.Sprint(limit, " with ", known), func(t *testing.T) {
				g := NewWithT(t)
				const instances = 9
				w := world{
					instances: instances, limit: limit, loss: 0.02, patience: time.Second, known: known,
					demand: func(time.Duration, int) float64 { return 7 }, length: 40 * time.Second,
				}
				for w.seed = range *seeds {
					sends, arrived := w.run()
					g.Expect(w.worstExcess(sends)).To(BeNumerically("<=", 0), "seed %d", w.seed)
					g.Expect(w.use(sends, arrived)).To(BeNumerically("<=", windowExcess), "seed %d", w.seed)
				}
			})
		}
	}
}
