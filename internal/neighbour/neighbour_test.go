package neighbour

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/boottime"
)

func TestDigests(t *testing.T) {
	g := NewWithT(t)
	d := Digest{
		Instance: "entry-1", DataCentre: "a", Started: 7, Seq: 3, Keeper: true, OperatorEnd: 9, OperatorAge: 20,
		Load:        []Load{{Place: "w", Running: 2, Reading: 100}},
		Places:      []Place{{Server: "w", Service: "pool", Model: "m", Address: "127.0.0.1:1", Slots: 4}},
		Echoes:      []Echo{{Instance: "entry-2", Started: 8, Seq: 5}},
		SilentHeads: []SilentHead{{Server: "w", Address: "127.0.0.1:1"}}, SilentHeadStarts: []int64{1796386055922},
	}
	data, err := encode(d)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := decode(data, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	d.Version = digestVersion
	g.Expect(got).To(Equal(d))
	t.Run("others are refused", func(t *testing.T) {
		g := NewWithT(t)
		for _, data := range [][]byte{nil, []byte("hello"), data[:len(data)/2]} {
			_, err := decode(data, time.Now())
			g.Expect(err).To(HaveOccurred())
		}
	})
}

// An echo bounds the age of what a keeper knows only if it answers a digest of
// this process, and one whose sending is still remembered.
func TestEchoed(t *testing.T) {
	n := &Exchanger{Instance: "entry-1", Started: time.UnixMilli(50), seq: 100}
	n.sent[90%sentKept] = 5 * time.Second
	for _, c := range []struct {
		name string
		echo Echo
		ok   bool
	}{
		{"own digest", Echo{Instance: "entry-1", Started: 50, Seq: 90}, true},
		{"another instance's", Echo{Instance: "entry-2", Started: 50, Seq: 90}, false},
		{"of an earlier start", Echo{Instance: "entry-1", Started: 49, Seq: 90}, false},
		{"too long ago", Echo{Instance: "entry-1", Started: 50, Seq: 100 - sentKept}, false},
		{"not sent yet", Echo{Instance: "entry-1", Started: 50, Seq: 101}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			at, ok := n.EchoSentAt(Digest{Echoes: []Echo{c.echo}})
			g.Expect(ok).To(Equal(c.ok))
			if ok {
				g.Expect(at).To(Equal(5 * time.Second))
			}
		})
	}
}

func TestInstancesMeetAndAgreeOnTheKeeper(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	var nets []*Exchanger
	port := uint16(0)
	for i := range 3 {
		address := netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})
		n := &Exchanger{
			Instance: string(rune('a' + i)), DataCentre: "dc", Started: time.Now(),
			Digest: func() Digest { return Digest{Keeper: true} }, OnDigest: func(Digest) {},
		}
		if port == 0 {
			port = freePort(t, address)
		}
		n.Listen = netip.AddrPortFrom(address, port)
		nets = append(nets, n)
	}
	for _, n := range nets[1:] {
		n.Add(nets[0].Listen.Addr()) // they hear of each other through the first only if it tells
		n.Add(nets[1].Listen.Addr())
	}
	done := make(chan error, len(nets))
	for _, n := range nets {
		go func() { done <- n.Run(ctx) }()
	}
	for _, n := range nets {
		g.Eventually(func() int { return len(n.RecentDigests()) }, 10*time.Second).Should(Equal(2))
	}
	keepers := 0
	for _, n := range nets {
		if n.IsKeeper(false) {
			keepers++
		}
	}
	g.Expect(keepers).To(Equal(1))
	g.Eventually(func() bool {
		for _, d := range nets[0].RecentDigests() {
			if at, ok := nets[0].EchoSentAt(d); ok && at <= boottime.Now() {
				return true
			}
		}
		return false
	}, 10*time.Second).Should(BeTrue())
	cancel()
	for range nets {
		g.Expect(<-done).To(Succeed())
	}
}

func freePort(t *testing.T, address netip.Addr) uint16 {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}
