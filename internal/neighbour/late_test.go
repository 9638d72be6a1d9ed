package neighbour

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// A digest must not echo a digest that was received after the ages in it were
// taken. Otherwise the sender of the echoed digest would take the data for newer
// than it is.
func TestEchoesPredateAges(t *testing.T) {
	g := NewWithT(t)
	ownAddress, otherAddress := netip.MustParseAddr("127.0.2.1"), netip.MustParseAddr("127.0.2.2")
	listener, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(otherAddress, 0)))
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ownAddress, 0)))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	x := &Exchanger{
		Instance: "k", DataCentre: "a", Started: time.UnixMilli(1), OnDigest: func(Digest) {},
		Listen: netip.AddrPortFrom(ownAddress, listener.LocalAddr().(*net.UDPAddr).AddrPort().Port()),
	}
	x.Digest = func() Digest {
		d := Digest{Keeper: true, OperatorAge: 100}
		// The process is paused here, and receives a digest when it resumes.
		mustStoreDigest(t, x, otherAddress, Digest{Instance: "r", DataCentre: "a", Started: 1, Seq: 50})
		return d
	}
	mustStoreDigest(t, x, otherAddress, Digest{Instance: "r", DataCentre: "a", Started: 1, Seq: 1})
	x.sendDigest(conn, time.Now())
	g.Expect(listener.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	buf := make([]byte, maxDigestBytes)
	size, _, err := listener.ReadFromUDPAddrPort(buf)
	g.Expect(err).NotTo(HaveOccurred())
	d, err := decode(buf[:size], time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	for _, e := range d.Echoes {
		g.Expect(e.Seq).To(BeEquivalentTo(1))
	}
}

// An instance whose clock was set back before a restart, so that its start time is
// earlier than before, must become reachable again.
func TestRestartWithEarlierClock(t *testing.T) {
	g := NewWithT(t)
	otherAddress := netip.MustParseAddr("127.0.2.2")
	x := &Exchanger{Instance: "k", DataCentre: "a", OnDigest: func(Digest) {}, Listen: netip.MustParseAddrPort("127.0.2.1:1")}
	mustStoreDigest(t, x, otherAddress, Digest{Instance: "r", DataCentre: "a", Started: 9000, Seq: 50})
	x.peers[otherAddress].receivedAt = time.Now().Add(-10 * reachableFor) // the previous run has stopped sending
	mustStoreDigest(t, x, otherAddress, Digest{Instance: "r", DataCentre: "a", Started: 7000, Seq: 1})
	mustStoreDigest(t, x, otherAddress, Digest{Instance: "r", DataCentre: "a", Started: 7000, Seq: 2})
	g.Expect(x.RecentDigests()).To(HaveLen(1))
}

func mustStoreDigest(t *testing.T, x *Exchanger, from netip.Addr, d Digest) {
	t.Helper()
	_, _, err := x.storeDigest(from, d, time.Now())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
}

func TestDigestOrderAcrossRestarts(t *testing.T) {
	type digest struct {
		after   time.Duration // since the previous digest
		started int64
		seq     uint64
		want    bool // whether it is accepted
	}
	for _, c := range []struct {
		name    string
		digests []digest
	}{
		{"delayed digests of an earlier run", []digest{{0, 7, 50, true}, {0, 9, 1, true}, {0, 7, 51, false}, {0, 7, 52, false}, {0, 9, 2, true}}},
		{"delayed digests of an earlier run after the clock was set back", []digest{
			{0, 9, 50, true}, {2 * maxDatagramDelay, 7, 1, false}, {0, 7, 2, true}, {0, 9, 51, false}, {0, 9, 52, false}, {0, 7, 3, true},
		}},
		{"delayed digests of two earlier runs", []digest{
			{0, 9, 50, true}, {2 * maxDatagramDelay, 7, 1, false}, {0, 7, 2, true}, {maxDatagramDelay, 8, 1, false}, {0, 9, 51, false}, {0, 7, 3, true},
		}},
		{"one delayed digest after a silence", []digest{{0, 9, 50, true}, {2 * maxDatagramDelay, 7, 1, false}, {0, 9, 51, true}, {2 * maxDatagramDelay, 7, 2, false}}},
		{"a delayed digest that arrives twice", []digest{{0, 9, 50, true}, {2 * maxDatagramDelay, 7, 1, false}, {0, 7, 1, false}}},
		{"silence too short for an earlier start time", []digest{{0, 9, 50, true}, {maxDatagramDelay, 7, 1, false}, {0, 7, 2, false}}},
		{"another run with a later start time", []digest{{0, 9, 50, true}, {2 * maxDatagramDelay, 7, 1, false}, {0, 7, 2, true}, {0, 10, 1, true}, {0, 7, 3, false}}},
		{"digests out of order", []digest{{0, 9, 2, true}, {0, 9, 1, false}, {2 * maxDatagramDelay, 9, 2, false}, {0, 9, 3, true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				x := &Exchanger{Instance: "k", DataCentre: "a", Listen: netip.MustParseAddrPort("127.0.2.1:1")}
				for i, d := range c.digests {
					time.Sleep(d.after)
					accepted, _, err := x.storeDigest(netip.MustParseAddr("127.0.2.2"), Digest{Instance: "r", DataCentre: "a", Started: d.started, Seq: d.seq}, time.Now())
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(accepted).To(Equal(d.want), "digest %d", i)
				}
			})
		})
	}
}

// Each instance uses a share of the common limits that depends on the number of
// processes. An instance that is cut off must not take over the shares of the
// others, because they still run.
func TestProcessesWithUnreachablePeers(t *testing.T) {
	for _, c := range []struct {
		name          string
		reachable     int      // peers that keep sending digests
		nowSilent     []Digest // last digests of the peers that stop sending
		neverReceived int      // listed addresses that no digest came from
		want          int
	}{
		{"few peers ended", 6, make([]Digest, 2), 0, 7},
		{"cut off from all peers", 0, make([]Digest, 8), 0, 9},
		{"cut off together with some peers", 2, make([]Digest, 6), 0, 9},
		{"cut off together with half of the instances", 3, make([]Digest, 4), 0, 8},
		{"addresses of former machines", 2, nil, 20, 3},
		{"started while cut off", 0, nil, 8, 9},
		{"the only peer left after announcing it", 0, []Digest{{Leaving: true}}, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				x := &Exchanger{Instance: "k", DataCentre: "a", OnDigest: func(Digest) {}, Listen: netip.MustParseAddrPort("127.0.2.1:1")}
				address := func(kind, i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, byte(kind), byte(i)}) }
				for i, d := range c.nowSilent {
					d.Started, d.Seq = 1, 1
					mustStoreDigest(t, x, address(3, i), d)
				}
				for i := range c.neverReceived {
					x.Add(address(4, i))
				}
				for seq := uint64(1); seq <= uint64(2*countedFor/reachableFor); seq++ {
					for i := range c.reachable {
						mustStoreDigest(t, x, address(5, i), Digest{Started: 1, Seq: seq})
					}
					if seq == 1 {
						g.Expect(x.ProcessCount()).To(Equal(1 + c.reachable + len(c.nowSilent) + c.neverReceived))
					}
					time.Sleep(reachableFor)
				}
				g.Expect(x.ProcessCount()).To(Equal(c.want))
				for i := range c.nowSilent {
					mustStoreDigest(t, x, address(3, i), Digest{Started: 1, Seq: 2})
				}
				g.Expect(x.ProcessCount()).To(BeNumerically(">=", 1+c.reachable+len(c.nowSilent)), "instances that are reachable again count")
			})
		})
	}
}

// A process that became relay before it could read the addresses of the others counted
// few. All instances of its data centre believed it, and each took a large share of what
// they divide, such as the retries.
func TestANewRelayDoesNotLowerTheNumberOfProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 40
		g := NewWithT(t)
		x := &Exchanger{Instance: "k", DataCentre: "a", OnDigest: func(Digest) {}, Listen: netip.MustParseAddrPort("127.0.2.1:1"), Started: time.Now()}
		address := func(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 3, byte(n)}) }
		for n := range instances - 1 {
			x.AddNamed(address(n), fmt.Sprint("entry-", n), "a", 0)
		}
		var seq uint64
		hear := func(relay, started, processes int) {
			seq++
			mustStoreDigest(t, x, address(relay), Digest{
				Instance: fmt.Sprint("entry-", relay), DataCentre: "a", Started: int64(started), Seq: seq, Relay: true, Processes: processes,
			})
		}
		hear(1, 1, 2)
		g.Expect(x.ProcessCount()).To(Equal(instances), "a new relay that knows few")
		hear(1, 1, instances+5)
		g.Expect(x.ProcessCount()).To(Equal(instances+5), "a new relay that knows more")
		for range 4 * int(countedFor/time.Second) {
			time.Sleep(time.Second / 2)
			hear(1, 1, instances-4)
		}
		g.Expect(x.ProcessCount()).To(Equal(instances-4), "a relay that would have heard the others")
		hear(1, 2, 2)
		g.Expect(x.ProcessCount()).To(Equal(instances), "a new run of it")
		hear(2, 1, 2)
		g.Expect(x.ProcessCount()).To(Equal(instances), "another relay")
	})
}
