package neighbour

import (
	"math"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
)

// testNow is the current time in tests, and the start time in the digests of
// digestOf.
var testNow = time.UnixMilli(1_700_000_000_000)

func digestOf(name string, seq uint64) Digest {
	return Digest{Instance: name, DataCentre: "a", Started: testNow.UnixMilli(), Seq: seq}
}

func encoded(t testing.TB, d Digest) []byte {
	t.Helper()
	d.Version = digestVersion
	data, err := cbor.Marshal(d) // as an unknown sender may, without the limits that encode applies
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func expectRefused(t *testing.T, err error, reason Refusal) {
	t.Helper()
	g := NewWithT(t)
	g.Expect(err).To(HaveOccurred())
	g.Expect(reasonOf(err)).To(Equal(reason), "%v", err)
}

func address(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(n >> 16), byte(n >> 8), byte(n)})
}

func newExchanger() *Exchanger {
	return &Exchanger{
		Instance: "own", DataCentre: "a", DataCentres: []string{"a", "b"},
		Listen: netip.AddrPortFrom(address(0xffffff), 1), OnDigest: func(Digest) {},
	}
}

// A digest with a number that no instance sends must be refused. With a negative
// age, for example, the receiver would take old data for newer than it can be.
func TestDigestsOutOfRange(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Digest)
		want   Refusal
	}{
		{"started in the future", func(d *Digest) { d.Started = testNow.Add(time.Hour).UnixMilli() }, OutOfRange},
		{"start time is negative", func(d *Digest) { d.Started = math.MinInt64 }, OutOfRange},
		{"largest possible sequence number", func(d *Digest) { d.Seq = math.MaxUint64 }, OutOfRange},
		{"negative list age", func(d *Digest) { d.ListAge = -1 }, OutOfRange},
		{"list age overflows", func(d *Digest) { d.ListAge = math.MaxInt64 }, OutOfRange},
		{"negative operator record age", func(d *Digest) { d.OperatorAge = -1 }, OutOfRange},
		{"operator record age overflows", func(d *Digest) { d.OperatorAge = math.MaxInt64 / 1000 }, OutOfRange},
		{"negative end of operator records", func(d *Digest) { d.OperatorEnd = -1 }, OutOfRange},
		{"negative load", func(d *Digest) { d.Load = []Load{{Place: "w", Running: -1}} }, OutOfRange},
		{"load that overflows a sum", func(d *Digest) { d.Load = []Load{{Place: "w", Reading: math.MaxInt64}} }, OutOfRange},
		{"negative slots", func(d *Digest) { d.Places = []Place{{Server: "w", Slots: -1}} }, OutOfRange},
		{"negative run", func(d *Digest) { d.Places, d.PlaceRuns = []Place{{Server: "w"}}, []int64{-1} }, OutOfRange},
		{"suspected part at a negative position", func(d *Digest) { d.Suspects = []Suspect{{Part: "p", Depth: -1}} }, OutOfRange},
		{"suspected part cleared in the future", func(d *Digest) { d.Suspects = []Suspect{{Part: "p", Cleared: true, ClearedAge: -1}} }, OutOfRange},
		{"crash whose age overflows", func(d *Digest) { d.Suspects = []Suspect{{Part: "p", Crashes: []Crash{{Age: math.MaxInt64}}}} }, OutOfRange},
		{"long name of a suspected part", func(d *Digest) { d.Suspects = []Suspect{{Part: strings.Repeat("p", maxNameBytes+1)}} }, BadName},
		{"long name of a leaving server", func(d *Digest) { d.LeavingServers = []LeavingServer{{Server: strings.Repeat("s", maxNameBytes+1)}} }, BadName},
		{"too many leaving servers", func(d *Digest) { d.LeavingServers, d.ReachedHeads = make([]LeavingServer, maxEntries), []string{"w"} }, TooManyEntries},
		{"too many crashes", func(d *Digest) {
			d.Suspects = []Suspect{{Part: "p", Crashes: make([]Crash, maxEntries)}}
		}, TooManyEntries},
		{"cold start never ends", func(d *Digest) { d.OtherDataCentres = map[string][]Place{"b": {{Server: "w", Cold: math.MaxInt64}}} }, OutOfRange},
		{"no name", func(d *Digest) { d.Instance = "" }, BadName},
		{"long instance name", func(d *Digest) { d.Instance = strings.Repeat("x", maxNameBytes+1) }, BadName},
		{"long worker name", func(d *Digest) { d.ProgressingHeads = []string{strings.Repeat("x", maxNameBytes+1)} }, BadName},
		{"too many entries in several lists", func(d *Digest) { d.Load, d.ReachedHeads = make([]Load, maxEntries), []string{"w"} }, TooManyEntries},
		{"too many entries in one list", func(d *Digest) { d.Load = make([]Load, maxEntries+1) }, Unreadable},
		{"from an unknown data centre", func(d *Digest) { d.DataCentre = "c" }, ForeignDataCentre},
		{"places of an unknown data centre", func(d *Digest) { d.OtherDataCentres = map[string][]Place{"c": nil} }, ForeignDataCentre},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := digestOf("entry-1", 1)
			c.change(&d)
			x := newExchanger()
			x.OnDigest = func(d Digest) { t.Errorf("digest was accepted: %+v", d) }
			expectRefused(t, x.handleDatagram(address(1), encoded(t, d), nil, testNow), c.want)
			NewWithT(t).Expect(x.peers).To(BeEmpty())
		})
	}
	t.Run("datagram is too long", func(t *testing.T) {
		expectRefused(t, newExchanger().handleDatagram(address(1), make([]byte, maxDigestBytes+1), nil, testNow), TooLong)
	})
	t.Run("valid digest", func(t *testing.T) {
		g := NewWithT(t)
		x := newExchanger()
		g.Expect(x.handleDatagram(address(1), encoded(t, digestOf("entry-1", 1)), nil, testNow)).To(Succeed())
		g.Expect(x.peers).To(HaveLen(1))
	})
}

// A worker that reports numbers out of range must not cause the other instances to
// refuse its keeper's digests.
func TestEncodeClampsPlaces(t *testing.T) {
	g := NewWithT(t)
	d := digestOf("entry-1", 1)
	d.Keeper = true
	d.Places = []Place{{Server: "w", Slots: math.MaxInt, Cold: math.MaxInt64}}
	data, err := encode(d)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := decode(data, testNow)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Places).To(Equal([]Place{{Server: "w", Slots: maxCount, Cold: maxCold.Milliseconds()}}))
}

// A sender that can reach the port may send from any number of addresses. The
// stored digests must not exceed the limits on instances and memory.
func TestUnknownSendersMemoryLimit(t *testing.T) {
	const senders = 3 * maxPeers
	t.Run("instances", func(t *testing.T) {
		g := NewWithT(t)
		x := newExchanger()
		x.Add(address(1 << 20))
		for i := range senders {
			err := x.handleDatagram(address(i+1), encoded(t, digestOf("s-"+strconv.Itoa(i), 1)), nil, testNow)
			if err != nil {
				expectRefused(t, err, TooManyInstances)
			}
		}
		g.Expect(len(x.peers)).To(Equal(maxPeers))
		g.Expect(x.handleDatagram(address(1<<20), encoded(t, digestOf("entry-2", 1)), nil, testNow)).To(Succeed(), "an instance that the platform lists is accepted")
		for _, p := range x.peers {
			p.reachable = false // as if their digests had stopped
		}
		later := testNow.Add(countedFor + time.Second)
		g.Expect(x.handleDatagram(address(2<<20), encoded(t, digestOf("entry-3", 1)), nil, later)).To(Succeed(), "unreachable unlisted instances are removed")
		g.Expect(len(x.peers)).To(Equal(2))
	})
	t.Run("bytes", func(t *testing.T) {
		g := NewWithT(t)
		x := newExchanger()
		d := digestOf("", 1)
		d.Load = make([]Load, maxEntries)
		for i := range 2 * maxTotalDigestBytes / d.memoryBytes() {
			d.Instance = "s-" + strconv.Itoa(i)
			if err := x.handleDatagram(address(i+1), encoded(t, d), nil, testNow); err != nil {
				expectRefused(t, err, TooMuchMemory)
			}
		}
		total := 0
		for _, p := range x.peers {
			total += p.lastDigest.memoryBytes()
		}
		g.Expect(total).To(And(Equal(x.digestBytes), BeNumerically("<=", maxTotalDigestBytes)))
	})
	t.Run("two names from one address", func(t *testing.T) {
		x := newExchanger()
		NewWithT(t).Expect(x.handleDatagram(address(1), encoded(t, digestOf("entry-1", 1)), nil, testNow)).To(Succeed())
		expectRefused(t, x.handleDatagram(address(1), encoded(t, digestOf("entry-2", 2)), nil, testNow), NameTaken)
		NewWithT(t).Expect(x.handleDatagram(address(1), encoded(t, digestOf("entry-2", 2)), nil, testNow.Add(2*reachableFor))).To(Succeed())
	})
}

// decodedBytes is the most memory that one byte of a datagram can take. The worst
// case is a place without strings, encoded as one byte, in a list that grows.
const decodedBytes = 4 * entryBytes

func FuzzDecode(f *testing.F) {
	d := digestOf("entry-1", 1)
	d.Load = []Load{{Place: "w"}}
	d.Places = []Place{{Server: "w", Address: "127.0.0.1:1"}}
	d.OtherDataCentres = map[string][]Place{"b": {{Server: "v"}}}
	f.Add(encoded(f, d))
	f.Fuzz(func(t *testing.T, data []byte) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		d, err := decode(data, testNow)
		runtime.ReadMemStats(&after)
		const slack = 1 << 20 // for other goroutines and the stack trace of an error
		if limit := uint64(decodedBytes*len(data) + slack); after.TotalAlloc-before.TotalAlloc > limit {
			t.Fatalf("decoding %d bytes allocated %d bytes, more than %d", len(data), after.TotalAlloc-before.TotalAlloc, limit)
		}
		if err != nil {
			return
		}
		if d.Instance == "" || d.entryCount() > maxEntries || d.memoryBytes() > maxEntries*entryBytes+len(data) {
			t.Fatalf("digest was accepted: %+v", d)
		}
	})
}
