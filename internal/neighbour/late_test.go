package neighbour

import (
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// A digest that is heard after the ages in the own one were taken must not be
// echoed beside them: its sender would take what is known here for newer than it is.
func TestAnEchoIsNotNewerThanTheAgesBesideIt(t *testing.T) {
	g := NewWithT(t)
	own, other := netip.MustParseAddr("127.0.2.1"), netip.MustParseAddr("127.0.2.2")
	listener, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(other, 0)))
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(own, 0)))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	n := &Exchanger{
		Instance: "k", DataCentre: "a", Started: time.UnixMilli(1), OnDigest: func(Digest) {},
		Listen: netip.AddrPortFrom(own, listener.LocalAddr().(*net.UDPAddr).AddrPort().Port()),
	}
	n.Digest = func() Digest {
		d := Digest{Keeper: true, OperatorAge: 100}
		// The process stands still here, and hears its neighbour when it goes on.
		hear(t, n, other, Digest{Instance: "r", DataCentre: "a", Started: 1, Seq: 50})
		return d
	}
	hear(t, n, other, Digest{Instance: "r", DataCentre: "a", Started: 1, Seq: 1})
	n.tell(conn, time.Now())
	g.Expect(listener.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	buf := make([]byte, maxDigest)
	size, _, err := listener.ReadFromUDPAddrPort(buf)
	g.Expect(err).NotTo(HaveOccurred())
	d, err := decode(buf[:size], time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	for _, e := range d.Echoes {
		g.Expect(e.Seq).To(BeEquivalentTo(1))
	}
}

// The time of day may have been set back between two starts of an instance.
func TestAnInstanceIsHeardThoughItsClockWentBack(t *testing.T) {
	g := NewWithT(t)
	other := netip.MustParseAddr("127.0.2.2")
	n := &Exchanger{Instance: "k", DataCentre: "a", OnDigest: func(Digest) {}, Listen: netip.MustParseAddrPort("127.0.2.1:1")}
	hear(t, n, other, Digest{Instance: "r", DataCentre: "a", Started: 9000, Seq: 50})
	n.peers[other].heardAt = time.Now().Add(-10 * heardFor) // the former start is long silent
	hear(t, n, other, Digest{Instance: "r", DataCentre: "a", Started: 7000, Seq: 1})
	hear(t, n, other, Digest{Instance: "r", DataCentre: "a", Started: 7000, Seq: 2})
	g.Expect(n.RecentDigests()).To(HaveLen(1))
}

func hear(t *testing.T, n *Exchanger, from netip.Addr, d Digest) {
	t.Helper()
	_, _, err := n.remember(from, d, time.Now())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
}

func TestStartsOfAnInstance(t *testing.T) {
	type digest struct {
		after   time.Duration // the one before
		started int64
		seq     uint64
		want    bool
	}
	for _, c := range []struct {
		name    string
		digests []digest
	}{
		{"late ones of an earlier start", []digest{{0, 7, 50, true}, {0, 9, 1, true}, {0, 7, 51, false}, {0, 7, 52, false}, {0, 9, 2, true}}},
		{"late ones of an earlier start by a clock that went back", []digest{
			{0, 9, 50, true}, {2 * lateFor, 7, 1, false}, {0, 7, 2, true}, {0, 9, 51, false}, {0, 9, 52, false}, {0, 7, 3, true},
		}},
		{"late ones of a start before those", []digest{
			{0, 9, 50, true}, {2 * lateFor, 7, 1, false}, {0, 7, 2, true}, {lateFor, 8, 1, false}, {0, 9, 51, false}, {0, 7, 3, true},
		}},
		{"one late one after a silence", []digest{{0, 9, 50, true}, {2 * lateFor, 7, 1, false}, {0, 9, 51, true}, {2 * lateFor, 7, 2, false}}},
		{"a late one that comes twice", []digest{{0, 9, 50, true}, {2 * lateFor, 7, 1, false}, {0, 7, 1, false}}},
		{"a silence that is too short", []digest{{0, 9, 50, true}, {lateFor, 7, 1, false}, {0, 7, 2, false}}},
		{"another later start", []digest{{0, 9, 50, true}, {2 * lateFor, 7, 1, false}, {0, 7, 2, true}, {0, 10, 1, true}, {0, 7, 3, false}}},
		{"out of order", []digest{{0, 9, 2, true}, {0, 9, 1, false}, {2 * lateFor, 9, 2, false}, {0, 9, 3, true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := &Exchanger{Instance: "k", DataCentre: "a", Listen: netip.MustParseAddrPort("127.0.2.1:1")}
				for i, d := range c.digests {
					time.Sleep(d.after)
					newer, _, err := n.remember(netip.MustParseAddr("127.0.2.2"), Digest{Instance: "r", DataCentre: "a", Started: d.started, Seq: d.seq}, time.Now())
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(newer).To(Equal(d.want), "digest %d", i)
				}
			})
		})
	}
}

// Shares of what all instances divide follow their number. One that is cut off
// must not take the parts of the others, which go on.
func TestProcessesThatAreNotHeard(t *testing.T) {
	for _, c := range []struct {
		name    string
		goesOn  int      // neighbours that are heard all the time
		silent  []Digest // last digests of those that fall silent
		unheard int      // addresses that nothing was heard from
		want    int
	}{
		{"some ended", 6, make([]Digest, 2), 0, 7},
		{"cut off from all", 0, make([]Digest, 8), 0, 9},
		{"cut off with some", 2, make([]Digest, 6), 0, 9},
		{"cut off with half", 3, make([]Digest, 4), 0, 8},
		{"addresses of former machines", 2, nil, 20, 3},
		{"started while cut off", 0, nil, 8, 9},
		{"the only other one left in order", 0, []Digest{{Leaving: true}}, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := &Exchanger{Instance: "k", DataCentre: "a", OnDigest: func(Digest) {}, Listen: netip.MustParseAddrPort("127.0.2.1:1")}
				address := func(kind, i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, byte(kind), byte(i)}) }
				for i, d := range c.silent {
					d.Started, d.Seq = 1, 1
					hear(t, n, address(3, i), d)
				}
				for i := range c.unheard {
					n.Add(address(4, i))
				}
				for seq := uint64(1); seq <= uint64(2*forgetAfter/heardFor); seq++ {
					for i := range c.goesOn {
						hear(t, n, address(5, i), Digest{Started: 1, Seq: seq})
					}
					if seq == 1 {
						g.Expect(n.ProcessCount()).To(Equal(1 + c.goesOn + len(c.silent) + c.unheard))
					}
					time.Sleep(heardFor)
				}
				g.Expect(n.ProcessCount()).To(Equal(c.want))
				for i := range c.silent {
					hear(t, n, address(3, i), Digest{Started: 1, Seq: 2})
				}
				g.Expect(n.ProcessCount()).To(BeNumerically(">=", 1+c.goesOn+len(c.silent)), "those that are heard again count")
			})
		})
	}
}
