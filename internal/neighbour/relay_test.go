package neighbour

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

var (
	relaySeed      = flag.Uint64("neighbour.seed", 1, "first seed of the worlds of relays")
	relayInstances = flag.Int("neighbour.instances", 12, "instances in each of 3 data centres of the worlds of relays")
)

// relayWorld simulates instances that exchange digests over a network that loses some,
// in virtual time. Each instance puts a load of its number on the head "h".
type relayWorld struct {
	t         *testing.T
	random    *rand.Rand
	loss      float64
	instances []*relayInstance
	datagrams int // sent so far
	bytes     int
}

type relayInstance struct {
	*Exchanger
	number int
	up     bool
	cut    bool             // neither sends nor receives
	places map[string]int   // number of places last announced, by data centre
	loads  map[string]int   // load of others on "h" as last told, by source
	told   map[string]int64 // time of that
	relay  string           // the relay last heard of the own data centre
	next   time.Time
}

func newRelayWorld(t *testing.T, seed uint64, dataCentres, perDataCentre int) *relayWorld {
	w := &relayWorld{t: t, random: rand.New(rand.NewPCG(seed, 1)), loss: 0.025}
	for n := range dataCentres * perDataCentre {
		w.instances = append(w.instances, &relayInstance{number: n})
		w.start(n, string(rune('a'+n%dataCentres)))
	}
	return w
}

func relayAddress(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}) }

// start starts or restarts an instance, which knows the addresses of all others.
func (w *relayWorld) start(n int, dataCentre string) {
	i := w.instances[n]
	i.up, i.places, i.loads, i.told = true, map[string]int{}, map[string]int{}, map[string]int64{}
	i.next = time.Now().Add(time.Duration(w.random.Int64N(int64(300 * time.Millisecond))))
	x := &Exchanger{
		Instance: fmt.Sprintf("entry-%d", n), DataCentre: dataCentre, Started: time.Now(),
		Listen: netip.AddrPortFrom(relayAddress(n), 1), Weight: n % 4,
	}
	x.Digest = func() Digest {
		d := Digest{Load: []Load{{Place: "h", Running: n + 1}}}
		if w.isKeeper(i) {
			d.Acting, d.Keeper = true, true
			for p := range 5 {
				d.Places = append(d.Places, Place{Server: fmt.Sprintf("%s-%d", dataCentre, p), Service: "s", Address: "10.9.0.1:1", Slots: 4})
			}
		}
		return d
	}
	x.OnDigest = func(d Digest) {
		if d.Relay && d.DataCentre == dataCentre && i.relay != d.Instance {
			i.relay = d.Instance
			clear(i.loads)
		}
		source := d.Instance
		if d.Relay {
			source = "relay of " + d.DataCentre
		}
		if !d.Relay || d.Load != nil {
			i.loads[source], i.told[source] = 0, time.Now().UnixMilli()
			for _, l := range d.Load {
				i.loads[source] += l.Running
			}
		}
		if d.Keeper {
			i.places[d.DataCentre] = len(d.Places)
		}
	}
	for m, other := range w.instances {
		if other.Exchanger != nil {
			x.AddNamed(relayAddress(m), other.Instance, other.DataCentre, other.Weight)
			other.AddNamed(relayAddress(n), x.Instance, dataCentre, x.Weight)
		}
	}
	i.Exchanger = x
}

func (w *relayWorld) isKeeper(i *relayInstance) bool {
	return time.Since(i.Started) > time.Second && i.IsKeeper(false)
}

// run lets d pass.
func (w *relayWorld) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(Interval / 4) {
		for _, i := range w.instances {
			if !i.up || time.Now().Before(i.next) {
				continue
			}
			i.next = time.Now().Add(i.interval())
			for _, m := range i.nextDatagrams(time.Now()) {
				w.datagrams++
				w.bytes += len(m.data)
				w.deliver(i, m)
			}
		}
	}
}

func (w *relayWorld) deliver(from *relayInstance, m datagram) {
	for n, to := range w.instances {
		if relayAddress(n) != m.to || !to.up || from.cut || to.cut || w.random.Float64() < w.loss {
			continue
		}
		if err := to.handleDatagram(from.Listen.Addr(), m.data, nil, time.Now()); err != nil {
			w.t.Fatalf("datagram refused: %v", err)
		}
	}
}

// expectAgreement checks that each data centre has one keeper, and that all instances
// know the places, the loads and the number of processes.
func (w *relayWorld) expectAgreement() {
	w.t.Helper()
	g := NewWithT(w.t)
	keepers := map[string][]string{}
	total, up := 0, 0
	for _, i := range w.instances {
		if !i.up || i.cut {
			continue
		}
		total += i.number + 1
		up++
		if w.isKeeper(i) {
			keepers[i.DataCentre] = append(keepers[i.DataCentre], i.Instance)
		}
	}
	g.Expect(keepers).To(HaveLen(3))
	for dataCentre, names := range keepers {
		g.Expect(names).To(HaveLen(1), "keepers of %s", dataCentre)
	}
	for _, i := range w.instances {
		if !i.up || i.cut {
			continue
		}
		told := 0
		for source, load := range i.loads {
			if time.Since(time.UnixMilli(i.told[source])) <= 5*i.RelayLag() {
				told += load
			}
		}
		g.Expect(told).To(Equal(total-i.number-1), "load of others as told to %s", i.Instance)
		g.Expect(i.ProcessCount()).To(BeNumerically(">=", up), "processes known to %s", i.Instance)
		for dataCentre := range keepers {
			if !w.isKeeper(i) || dataCentre != i.DataCentre {
				g.Expect(i.places[dataCentre]).To(Equal(5), "places of %s at %s", dataCentre, i.Instance)
			}
		}
	}
}

// Each instance of a large deployment learns all that it needs from the relay of its
// data centre, and the relays are replaced when they end or are cut off.
func TestRelays(t *testing.T) {
	for n := range uint64(3) {
		seed := *relaySeed + n
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newRelayWorld(t, seed, 3, *relayInstances)
				w.run(5 * time.Second)
				w.expectAgreement()
				for range 3 {
					w.disturb()
					w.run(8 * time.Second)
					w.expectAgreement()
				}
			})
		})
	}
}

// disturb kills, cuts off or restarts some of the instances, the keepers first.
func (w *relayWorld) disturb() {
	for _, i := range w.instances {
		keeper := w.isKeeper(i)
		switch {
		case i.cut:
			i.cut = false
		case !i.up:
			w.start(i.number, i.DataCentre)
		case keeper && w.random.IntN(2) == 0, w.random.IntN(8) == 0:
			i.up = false
		case keeper && w.random.IntN(2) == 0, w.random.IntN(16) == 0:
			i.cut = true
		}
	}
}

// The digests of a large deployment are far fewer than one from each instance to each
// other, and don't grow with the square of their number.
func TestRelaysBoundTheDigests(t *testing.T) {
	perInstance := func(perDataCentre int) float64 {
		var rate float64
		synctest.Test(t, func(t *testing.T) {
			w := newRelayWorld(t, 1, 3, perDataCentre)
			w.run(5 * time.Second)
			before := w.datagrams
			const span = 4
			w.run(span * time.Second)
			rate = float64(w.datagrams-before) / span / float64(len(w.instances))
		})
		return rate
	}
	g := NewWithT(t)
	small, large := perInstance(8), perInstance(24)
	g.Expect(large).To(BeNumerically("<", 12), "datagrams a second for each instance")
	g.Expect(large).To(BeNumerically("<", 1.1*small), "datagrams a second for each instance, with three times as many")
}

func TestTargets(t *testing.T) {
	address := func(n int) netip.Addr { return relayAddress(n) }
	member := func(n int, dataCentre string) node {
		return node{address: address(n), dataCentre: dataCentre, rank: uint64(n)}
	}
	relay := func(n int, dataCentre string) node {
		return node{address: address(n), dataCentre: dataCentre, rank: uint64(n), heard: true, relay: true}
	}
	many := func(first, count int, dataCentre string) []node {
		var nodes []node
		for n := range count {
			nodes = append(nodes, member(first+n, dataCentre))
		}
		return nodes
	}
	for _, c := range []struct {
		name    string
		relay   bool
		tick    uint64
		noRelay time.Duration
		nodes   []node
		want    []int
	}{
		{"a member sends to its relay", false, 1, 0, append(many(1, 5, "a"), relay(9, "a"), relay(20, "b")), []int{9}},
		{"without one to the first candidates", false, 1, 0, append(many(1, 5, "a"), relay(20, "b")), []int{1, 2, 3}},
		{"and to more of them with time", false, 1, time.Second, append(many(1, 5, "a"), relay(20, "b")), []int{1, 2, 3, 4, 5}},
		{"a relay sends to its members that it hears and the other relays", true, 1, 0,
			append(many(30, 9, "b"), node{address: address(1), dataCentre: "a", heard: true}, member(2, "a"), relay(20, "b")), []int{1, 20}},
		{"now and then to the others", true, 0, 0, append(many(30, 9, "b"), member(2, "a"), relay(20, "b")), []int{2, 20}},
		{"and to the candidates of a data centre whose relay it doesn't hear", true, 0, 0, many(30, 9, "b"), []int{30, 31, 32}},
		{"an instance that ended is no candidate", false, 1, 0,
			append(many(2, 2, "a"), node{address: address(1), dataCentre: "a", absent: true}), []int{2, 3}},
		{"an address without a name is tried at times", false, 1, 0, []node{{address: address(1), due: true}, {address: address(2)}}, []int{1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			top := topology{dataCentre: "a", rank: 100, relay: c.relay, tick: c.tick, nodes: c.nodes, noRelay: func(string) time.Duration { return c.noRelay }}
			var want []netip.Addr
			for _, n := range c.want {
				want = append(want, address(n))
			}
			NewWithT(t).Expect(top.targets()).To(ConsistOf(want))
		})
	}
}

// When a relay ends, the members that it had hear nobody. They must not all become keeper.
func TestFewClaimTheRoleOfALostRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newRelayWorld(t, 1, 3, 12)
		w.run(5 * time.Second)
		for _, i := range w.instances {
			if i.DataCentre == "a" && w.isKeeper(i) {
				i.up = false
			}
		}
		most := 0
		for range 40 {
			w.run(100 * time.Millisecond)
			claimants := 0
			for _, i := range w.instances {
				if i.up && i.DataCentre == "a" && w.isKeeper(i) {
					claimants++
				}
			}
			most = max(most, claimants)
		}
		g.Expect(most).To(BeNumerically("<=", 2), "keepers at once")
		w.expectAgreement()
	})
}

// What members saw of servers reaches the whole data centre and the other relays.
func TestRelayPassesOnWhatServersSaid(t *testing.T) {
	g := NewWithT(t)
	leaving := func(run int64) []LeavingServer { return []LeavingServer{{Server: "s", Run: run}} }
	d := Digest{FailingHeads: []string{"h"}, LeavingServers: leaving(1)}
	summarize(&d, []Digest{
		{FailingHeads: []string{"h", "i"}, LeavingServers: leaving(1)},
		{LeavingServers: leaving(2)},
	})
	g.Expect(d.FailingHeads).To(Equal([]string{"h", "i"}))
	g.Expect(d.LeavingServers).To(Equal(append(leaving(1), leaving(2)...)))
}
