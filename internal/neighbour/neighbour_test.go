package neighbour

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/boottime"
)

func TestEncodeDecode(t *testing.T) {
	g := NewWithT(t)
	d := Digest{
		Instance: "entry-1", DataCentre: "a", Started: 7, Seq: 3, Keeper: true, OperatorEnd: 9, OperatorAge: 20,
		Load:        []Load{{Place: "w", Running: 2, Reading: 100}},
		Places:      []Place{{Server: "w", Service: "pool", Model: "m", Address: "127.0.0.1:1", Slots: 4, Run: 1796386055922}, {Server: "v"}},
		Echoes:      []Echo{{Instance: "entry-2", Started: 8, Seq: 5}},
		SilentHeads: []SilentHead{{Server: "w", Address: "127.0.0.1:1"}}, SilentHeadStarts: []int64{1796386055922},
	}
	data, err := encode(d)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := decode(data, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	d.Version = digestVersion
	g.Expect(got).To(Equal(d))
	t.Run("other data is refused", func(t *testing.T) {
		g := NewWithT(t)
		for _, data := range [][]byte{nil, []byte("hello"), data[:len(data)/2]} {
			_, err := decode(data, time.Now())
			g.Expect(err).To(HaveOccurred())
		}
	})
}

// A keeper's digest must tell the runs of its places on each way that it takes.
func TestPlacesKeepTheirRuns(t *testing.T) {
	places := []Place{{Server: "v", Slots: 1}, {Server: "w", Slots: 1, Run: 1796386055922}}
	relayed := Digest{Instance: "entry-2", DataCentre: "b", Started: 7, Seq: 3, Relay: true, HasPlaces: true, PlacesVersion: 1, Places: slices.Clone(places)}
	for _, c := range []struct {
		name   string
		change func(*Digest)
		places func(Digest) []Place
	}{
		{"from the keeper", func(d *Digest) { d.Places = slices.Clone(places) }, func(d Digest) []Place { return d.Places }},
		{"of another data centre", func(d *Digest) { d.OtherDataCentres = map[string][]Place{"c": slices.Clone(places)} }, func(d Digest) []Place { return d.OtherDataCentres["c"] }},
		{"from a relay", func(d *Digest) { d.Relay, d.Places = true, slices.Clone(places) }, func(d Digest) []Place { return d.Places }},
		{"passed on by a relay", func(d *Digest) { d.Relay, d.Relayed = true, []Digest{relayed} }, func(d Digest) []Place { return d.Relayed[0].Places }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			d := Digest{Instance: "entry-1", DataCentre: "a", Started: 7, Seq: 3, Keeper: true}
			c.change(&d)
			data, err := encode(d)
			g.Expect(err).NotTo(HaveOccurred())
			got, err := decode(data, time.Now())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(c.places(got)).To(Equal(places))
		})
	}
	t.Run("a new run is sent at once by a relay", func(t *testing.T) {
		later := slices.Clone(places)
		later[1].Run++
		NewWithT(t).Expect(placesVersion(later)).NotTo(Equal(placesVersion(places)))
	})
	t.Run("runs that don't match the places are refused", func(t *testing.T) {
		d := Digest{Places: slices.Clone(places), PlaceRuns: []int64{1}}
		NewWithT(t).Expect(reasonOf(d.unpack())).To(Equal(Unreadable))
	})
}

// An echo bounds the age of a keeper's data only if it names a digest that this run
// sent, and whose send time is still kept.
func TestEchoSentAt(t *testing.T) {
	x := &Exchanger{Instance: "entry-1", Started: time.UnixMilli(50), seq: 100}
	x.sendTimes[90%sentHistory] = 5 * time.Second
	for _, c := range []struct {
		name string
		echo Echo
		ok   bool
	}{
		{"digest of this run", Echo{Instance: "entry-1", Started: 50, Seq: 90}, true},
		{"digest of another instance", Echo{Instance: "entry-2", Started: 50, Seq: 90}, false},
		{"digest of an earlier run", Echo{Instance: "entry-1", Started: 49, Seq: 90}, false},
		{"send time no longer kept", Echo{Instance: "entry-1", Started: 50, Seq: 100 - sentHistory}, false},
		{"digest not sent yet", Echo{Instance: "entry-1", Started: 50, Seq: 101}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			at, ok := x.EchoSentAt(Digest{Echoes: []Echo{c.echo}})
			g.Expect(ok).To(Equal(c.ok))
			if ok {
				g.Expect(at).To(Equal(5 * time.Second))
			}
		})
	}
}

func TestInstancesDiscoverEachOtherAndAgreeOnKeeper(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	var exchangers []*Exchanger
	port := uint16(0)
	for i := range 3 {
		address := netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})
		x := &Exchanger{
			Instance: string(rune('a' + i)), DataCentre: "dc", Started: time.Now(),
			Digest: func() Digest { return Digest{Keeper: true} }, OnDigest: func(Digest) {},
		}
		if port == 0 {
			port = freePort(t, address)
		}
		x.Listen = netip.AddrPortFrom(address, port)
		exchangers = append(exchangers, x)
	}
	for _, x := range exchangers[1:] {
		// The first two instances learn the other addresses only from digests that
		// they receive.
		x.Add(exchangers[0].Listen.Addr())
		x.Add(exchangers[1].Listen.Addr())
	}
	done := make(chan error, len(exchangers))
	for _, x := range exchangers {
		go func() { done <- x.Run(ctx) }()
	}
	for _, x := range exchangers {
		g.Eventually(func() int { return len(x.RecentDigests()) }, 10*time.Second).Should(Equal(2))
	}
	keepers := 0
	for _, x := range exchangers {
		if x.IsKeeper(false) {
			keepers++
		}
	}
	g.Expect(keepers).To(Equal(1))
	g.Eventually(func() bool {
		for _, d := range exchangers[0].RecentDigests() {
			if at, ok := exchangers[0].EchoSentAt(d); ok && at <= boottime.Now() {
				return true
			}
		}
		return false
	}, 10*time.Second).Should(BeTrue())
	cancel()
	for range exchangers {
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
