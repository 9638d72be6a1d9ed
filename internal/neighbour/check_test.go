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

// now is the time of tests on digests that started at its beginning.
var now = time.UnixMilli(1_700_000_000_000)

func digestOf(name string, seq uint64) Digest {
	return Digest{Instance: name, DataCentre: "a", Started: now.UnixMilli(), Seq: seq}
}

func encoded(t testing.TB, d Digest) []byte {
	t.Helper()
	d.Version = digestVersion
	data, err := cbor.Marshal(d) // as a stranger does, without encode's clamping
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

// A number that no instance sends would make knowledge look as new as never.
func TestDigestsOutOfRange(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Digest)
		want   Refusal
	}{
		{"started in the future", func(d *Digest) { d.Started = now.Add(time.Hour).UnixMilli() }, OutOfRange},
		{"started before all time", func(d *Digest) { d.Started = math.MinInt64 }, OutOfRange},
		{"last number of all", func(d *Digest) { d.Seq = math.MaxUint64 }, OutOfRange},
		{"list read in the future", func(d *Digest) { d.ListAge = -1 }, OutOfRange},
		{"list's age overflows", func(d *Digest) { d.ListAge = math.MaxInt64 }, OutOfRange},
		{"operator's records read in the future", func(d *Digest) { d.OperatorAge = -1 }, OutOfRange},
		{"operator's age overflows", func(d *Digest) { d.OperatorAge = math.MaxInt64 / 1000 }, OutOfRange},
		{"end before all records", func(d *Digest) { d.OperatorEnd = -1 }, OutOfRange},
		{"negative load", func(d *Digest) { d.Load = []Load{{Place: "w", Running: -1}} }, OutOfRange},
		{"load that overflows a sum", func(d *Digest) { d.Load = []Load{{Place: "w", Reading: math.MaxInt64}} }, OutOfRange},
		{"negative slots", func(d *Digest) { d.Places = []Place{{Server: "w", Slots: -1}} }, OutOfRange},
		{"cold for ever", func(d *Digest) { d.OtherDataCentres = map[string][]Place{"b": {{Server: "w", Cold: math.MaxInt64}}} }, OutOfRange},
		{"no name", func(d *Digest) { d.Instance = "" }, BadName},
		{"long name", func(d *Digest) { d.Instance = strings.Repeat("x", maxName+1) }, BadName},
		{"long worker's name", func(d *Digest) { d.ProgressingHeads = []string{strings.Repeat("x", maxName+1)} }, BadName},
		{"many entries", func(d *Digest) { d.Load, d.ReachedHeads = make([]Load, maxEntries), []string{"w"} }, TooManyEntries},
		{"a list of too many entries", func(d *Digest) { d.Load = make([]Load, maxEntries+1) }, Unreadable},
		{"from nowhere", func(d *Digest) { d.DataCentre = "c" }, ForeignDataCentre},
		{"about nowhere", func(d *Digest) { d.OtherDataCentres = map[string][]Place{"c": nil} }, ForeignDataCentre},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := digestOf("entry-1", 1)
			c.change(&d)
			n := newExchanger()
			n.OnDigest = func(d Digest) { t.Errorf("taken: %+v", d) }
			expectRefused(t, n.take(address(1), encoded(t, d), nil, now), c.want)
			NewWithT(t).Expect(n.peers).To(BeEmpty())
		})
	}
	t.Run("a longer datagram", func(t *testing.T) {
		expectRefused(t, newExchanger().take(address(1), make([]byte, maxDigest+1), nil, now), TooLong)
	})
	t.Run("as instances send it", func(t *testing.T) {
		g := NewWithT(t)
		n := newExchanger()
		g.Expect(n.take(address(1), encoded(t, digestOf("entry-1", 1)), nil, now)).To(Succeed())
		g.Expect(n.peers).To(HaveLen(1))
	})
}

// What a worker reports of itself must not make its keeper's digests fail.
func TestAnOddWorkerDoesNotSilenceItsKeeper(t *testing.T) {
	g := NewWithT(t)
	d := digestOf("entry-1", 1)
	d.Keeper = true
	d.Places = []Place{{Server: "w", Slots: math.MaxInt, Cold: math.MaxInt64}}
	data, err := encode(d)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := decode(data, now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Places).To(Equal([]Place{{Server: "w", Slots: maxCount, Cold: maxCold.Milliseconds()}}))
}

// Whoever reaches the port may send from any number of addresses.
func TestStrangersTakeNoMemoryWithoutEnd(t *testing.T) {
	const strangers = 3 * maxPeers
	t.Run("instances", func(t *testing.T) {
		g := NewWithT(t)
		n := newExchanger()
		n.Add(address(1 << 20))
		for i := range strangers {
			err := n.take(address(i+1), encoded(t, digestOf("s-"+strconv.Itoa(i), 1)), nil, now)
			if err != nil {
				expectRefused(t, err, TooManyInstances)
			}
		}
		g.Expect(len(n.peers)).To(Equal(maxPeers))
		g.Expect(n.take(address(1<<20), encoded(t, digestOf("entry-2", 1)), nil, now)).To(Succeed(), "one that the platform names is heard")
		for _, p := range n.peers {
			p.heard = false // as after their silence
		}
		later := now.Add(forgetAfter + time.Second)
		g.Expect(n.take(address(2<<20), encoded(t, digestOf("entry-3", 1)), nil, later)).To(Succeed(), "silent strangers make room")
		g.Expect(len(n.peers)).To(Equal(2))
	})
	t.Run("bytes", func(t *testing.T) {
		g := NewWithT(t)
		n := newExchanger()
		d := digestOf("", 1)
		d.Load = make([]Load, maxEntries)
		for i := range 2 * maxHeld / d.size() {
			d.Instance = "s-" + strconv.Itoa(i)
			if err := n.take(address(i+1), encoded(t, d), nil, now); err != nil {
				expectRefused(t, err, TooMuchMemory)
			}
		}
		held := 0
		for _, p := range n.peers {
			held += p.last.size()
		}
		g.Expect(held).To(And(Equal(n.held), BeNumerically("<=", maxHeld)))
	})
	t.Run("names of one address", func(t *testing.T) {
		n := newExchanger()
		NewWithT(t).Expect(n.take(address(1), encoded(t, digestOf("entry-1", 1)), nil, now)).To(Succeed())
		expectRefused(t, n.take(address(1), encoded(t, digestOf("entry-2", 2)), nil, now), NameTaken)
		NewWithT(t).Expect(n.take(address(1), encoded(t, digestOf("entry-2", 2)), nil, now.Add(2*heardFor))).To(Succeed())
	})
}

// decodedBytes is the most memory that a byte of a datagram takes: a place
// without texts, which is one byte long, in a list that grows.
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
		d, err := decode(data, now)
		runtime.ReadMemStats(&after)
		const slack = 1 << 20 // of other goroutines, and of an error's stack
		if limit := uint64(decodedBytes*len(data) + slack); after.TotalAlloc-before.TotalAlloc > limit {
			t.Fatalf("%d bytes took %d of memory, at most %d", len(data), after.TotalAlloc-before.TotalAlloc, limit)
		}
		if err != nil {
			return
		}
		if d.Instance == "" || d.entries() > maxEntries || d.size() > maxEntries*entryBytes+len(data) {
			t.Fatalf("taken: %+v", d)
		}
	})
}
