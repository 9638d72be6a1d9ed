package instance

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/neighbour"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/listing"
	"github.com/chicorystall/chicorystall/pkg/position"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// testHeartbeat is how often the workers of a test write their entries.
const testHeartbeat = time.Second

// testBed is an instance of data centre a with a clock that the test advances. All
// workers run one plain service. A worker's entry is the name of its data centre,
// followed by "!" if it is draining.
type testBed struct {
	*instance
	now      time.Duration
	listRead bool // the instance has read the list
}

func newTestBed(ctx context.Context) *testBed {
	b := &testBed{now: time.Hour}
	b.instance = newInstance(ctx, Config{
		Settings: Settings{Name: "entry-1", DataCentre: "a", DataCentres: []string{"a", "b"}, RetryWindow: time.Second, HeartbeatInterval: testHeartbeat},
		Metrics:  telemetry.NewMetrics(),
		Platform: Platform{
			DecodeServer: func(id string, data []byte, _ time.Time) (roster.Server, error) {
				s := roster.Server{ID: id, Service: "desk", DataCentre: string(data[:1]), Slots: 1}
				s.Draining = len(data) > 1
				return s, nil
			},
		},
	})
	b.started = time.Now().Add(time.Hour) // an instance can't be keeper right after its start
	b.state.clock = func() time.Duration { return b.now }
	b.state.view.Catalog = catalog.New(catalog.Content{Services: []catalog.Service{{Name: "desk"}}})
	return b
}

// disableGuards replaces the instance's list by an empty one without some guards.
func (b *testBed) disableGuards(disabled listing.Guard) {
	rules := b.state.list.Rules()
	rules.Disabled = disabled
	b.state.list = listing.New(rules)
}

// placed returns the workers that requests can be sent to.
func (b *testBed) placed() []string {
	var ids []string
	for _, p := range b.layout().Places() {
		ids = append(ids, p.ID)
	}
	return ids
}

// announce delivers a digest of a data centre's keeper to the instance.
func (b *testBed) announce(dataCentre string, end position.Position, age time.Duration, ids ...string) {
	b.onDigest(neighbour.Digest{
		Instance: "keeper-" + dataCentre, DataCentre: dataCentre, Keeper: true,
		ListAge: age.Milliseconds(), ListEnd: end, Places: deskPlaces(ids),
	})
}

func deskPlaces(ids []string) []neighbour.Place {
	var places []neighbour.Place
	for _, id := range ids {
		places = append(places, neighbour.Place{Server: id, Service: "desk", Slots: 1})
	}
	return places
}

// readList applies a read of records up to an offset to the instance.
func (b *testBed) readList(end position.Position, resumed bool, records ...Record) {
	b.state.applyWorkers(batch{
		records: records, full: !b.listRead, caughtUp: true, began: b.now, ended: b.now, resumed: resumed, end: end,
	})
	b.listRead = true
}

func entryOf(id, value string, offset position.Position) Record {
	return Record{Key: id, Value: []byte(value), Offset: offset}
}

func removal(id string, offset position.Position) Record { return Record{Key: id, Offset: offset} }

// If only this instance lost the store, the workers could still write their entries.
// An entry that was removed meanwhile did not lapse and must not be kept.
func TestAWorkerThatLeftWhileOnlyThisInstanceLostTheStoreGetsNoRequests(t *testing.T) {
	for _, c := range []struct {
		name  string
		known []Record // read before the instance loses the store
		read  []Record // read when it reaches the store again
	}{
		{"known before", []Record{entryOf("a-1", "a", 1), entryOf("a-2", "a", 2), entryOf("b-1", "b", 3)}, []Record{removal("a-1", 9)}},
		{"registered and removed meanwhile", []Record{entryOf("a-2", "a", 2), entryOf("b-1", "b", 3)}, []Record{entryOf("a-1", "a", 5), removal("a-1", 9)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := newTestBed(t.Context())
			b.readList(4, false, c.known...)
			for range 100 { // 10 s in which only the keepers reach the store
				b.now += neighbour.Interval
				b.announce("a", 6, 10*time.Millisecond, "a-1", "a-2")
				b.announce("b", 6, 10*time.Millisecond, "b-1")
			}
			g.Expect(b.placed()).To(ConsistOf("a-1", "a-2", "b-1"))
			b.now += neighbour.Interval
			b.announce("a", 10, 10*time.Millisecond, "a-2")
			b.announce("b", 10, 10*time.Millisecond, "b-1")
			g.Expect(b.placed()).To(ConsistOf("a-2", "b-1"))
			// The keeper of a loses the store, so this instance has to read the list itself.
			for range 15 {
				b.now += neighbour.Interval
				b.announce("b", 10, 10*time.Millisecond, "b-1")
			}
			b.readList(10, true, c.read...)
			for range 10 {
				g.Expect(b.placed()).To(ConsistOf("a-2", "b-1"))
				b.now += neighbour.Interval
			}
		})
	}
}

// A known removal holds until the worker registers again. Older announcements, late
// answers of the store and silent keepers must not undo it.
func TestARemovalIsNotUndone(t *testing.T) {
	for _, c := range []struct {
		name  string
		learn func(*testBed) // makes the removal of a-1 at offset 9 known
		then  func(*testBed)
	}{
		{
			"removal read, then an announcement of a keeper that has read less",
			func(b *testBed) { b.readList(10, false, removal("a-1", 9)) },
			func(b *testBed) { b.announce("a", 6, 10*time.Millisecond, "a-1", "a-2") },
		},
		{
			"removal announced, then an announcement of a keeper that has read less",
			func(b *testBed) { b.announce("a", 10, 10*time.Millisecond, "a-2") },
			func(b *testBed) { b.now += time.Second; b.announce("a", 6, 10*time.Millisecond, "a-1", "a-2") },
		},
		{
			"removal announced, then an older answer of the store that was delayed",
			func(b *testBed) { b.announce("a", 10, 500*time.Millisecond, "a-2") },
			func(b *testBed) { b.now += 2 * time.Second; b.readList(6, false) },
		},
		{
			"removal announced, then no more digests",
			func(b *testBed) { b.announce("a", 10, 10*time.Millisecond, "a-2") },
			func(b *testBed) { b.now += time.Minute },
		},
		{
			"draining entry read, then an announcement of a keeper that has read less",
			func(b *testBed) { b.readList(10, false, entryOf("a-1", "a!", 9)) },
			func(b *testBed) { b.announce("a", 6, 10*time.Millisecond, "a-1", "a-2") },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := newTestBed(t.Context())
			b.readList(6, false, entryOf("a-1", "a", 1), entryOf("a-2", "a", 2))
			b.announce("a", 6, 10*time.Millisecond, "a-1", "a-2")
			g.Expect(b.placed()).To(ConsistOf("a-1", "a-2"))
			b.now += 3 * neighbour.Interval
			c.learn(b)
			g.Expect(b.placed()).To(ConsistOf("a-2"))
			b.now += 3 * neighbour.Interval
			c.then(b)
			g.Expect(b.placed()).To(ConsistOf("a-2"))
			b.readList(20, false, entryOf("a-1", "a", 19))
			b.announce("a", 20, 10*time.Millisecond, "a-1", "a-2")
			g.Expect(b.placed()).To(ConsistOf("a-1", "a-2"), "it has registered again")
		})
	}
}

// Entries that lapse while no instance can reach the store are kept for lapseGrace,
// in which their workers can register again.
func TestEntriesThatLapsedInAStoreOutageAreKept(t *testing.T) {
	start := func(t *testing.T) *testBed {
		b := newTestBed(t.Context())
		b.readList(6, false, entryOf("a-1", "a", 1), entryOf("a-2", "a", 2), entryOf("b-1", "b", 3))
		b.now += 5 * testHeartbeat
		b.readList(9, true, removal("a-1", 6), removal("a-2", 7), removal("b-1", 8))
		NewWithT(t).Expect(b.placed()).To(ConsistOf("a-1", "a-2", "b-1"))
		return b
	}
	t.Run("workers that register again stay", func(t *testing.T) {
		g := NewWithT(t)
		b := start(t)
		b.now += lapseGrace / 2
		b.readList(11, false, entryOf("a-1", "a", 9), entryOf("b-1", "b", 10))
		g.Expect(b.placed()).To(ConsistOf("a-1", "a-2", "b-1"))
		b.now += lapseGrace/2 + time.Millisecond
		g.Expect(b.placed()).To(ConsistOf("a-1", "b-1"), "the grace ends without another answer of the store")
	})
	t.Run("a keeper that has read further overrides the grace", func(t *testing.T) {
		g := NewWithT(t)
		b := start(t)
		b.announce("b", 9, 10*time.Millisecond)
		g.Expect(b.placed()).To(BeEmpty())
	})
	t.Run("a keeper that started after the removals does not", func(t *testing.T) {
		g := NewWithT(t)
		b := start(t)
		b.onDigest(neighbour.Digest{Instance: "keeper-b", DataCentre: "b", Keeper: true, ListAge: 10, ListEnd: 9, ListSince: 9})
		g.Expect(b.placed()).To(ConsistOf("a-1", "a-2"))
	})
	t.Run("a minority that is missing after an outage was removed", func(t *testing.T) {
		g := NewWithT(t)
		b := newTestBed(t.Context())
		b.readList(6, false, entryOf("a-1", "a", 1), entryOf("a-2", "a", 2), entryOf("b-1", "b", 3))
		b.now += 5 * testHeartbeat
		b.readList(9, true, removal("a-1", 6))
		g.Expect(b.placed()).To(ConsistOf("a-2", "b-1"))
	})
	t.Run("nothing lapses in an outage that is too short", func(t *testing.T) {
		g := NewWithT(t)
		b := newTestBed(t.Context())
		b.readList(6, false, entryOf("a-1", "a", 1))
		b.now += testHeartbeat
		b.readList(9, true, removal("a-1", 6))
		g.Expect(b.placed()).To(BeEmpty())
	})
}

// Some guards matter too rarely for TestEachDepartureGuardIsNeeded to find a
// violation without them. Each case here needs one of them.
func TestRarelyNeededGuards(t *testing.T) {
	start := func(t *testing.T, disabled listing.Guard) *testBed {
		b := newTestBed(t.Context())
		b.disableGuards(disabled)
		b.readList(6, false, entryOf("a-1", "a", 1), entryOf("a-2", "a", 2), entryOf("b-1", "b", 3))
		return b
	}
	removals := []Record{removal("a-1", 6), removal("a-2", 7)}
	t.Run("most are removed while others can reach the store", func(t *testing.T) {
		for disabled, want := range map[listing.Guard][]string{0: {"b-1"}, listing.GuardPeerAnswers: {"a-1", "a-2", "b-1"}} {
			b := start(t, disabled)
			for b.now < time.Hour+5*testHeartbeat {
				b.now += neighbour.Interval
				b.announce("b", 6, 10*time.Millisecond, "b-1")
			}
			b.readList(8, true, removals...)
			NewWithT(t).Expect(b.placed()).To(ConsistOf(want))
		}
	})
	t.Run("removed before the last digest of a keeper", func(t *testing.T) {
		for disabled, want := range map[listing.Guard][]string{0: {"b-1"}, listing.GuardBeforeOutage: {"a-1", "a-2", "b-1"}} {
			b := start(t, disabled)
			b.onDigest(neighbour.Digest{
				Instance: "keeper-b", DataCentre: "b", Keeper: true, ListAge: 10, ListEnd: 8, ListSince: 8, Places: deskPlaces([]string{"b-1"}),
			})
			b.now += 5 * testHeartbeat
			b.readList(8, true, removals...)
			NewWithT(t).Expect(b.placed()).To(ConsistOf(want))
		}
	})
	t.Run("removed after most had registered again", func(t *testing.T) {
		for disabled, want := range map[listing.Guard][]string{0: {"a-1", "a-2"}, listing.GuardAfterRecovery: {"a-1", "a-2", "b-1"}} {
			b := start(t, disabled)
			b.now += 5 * testHeartbeat
			b.readList(11, true, append(slices.Clone(removals), entryOf("a-1", "a", 8), entryOf("a-2", "a", 9), removal("b-1", 10))...)
			NewWithT(t).Expect(b.placed()).To(ConsistOf(want))
		}
	})
	t.Run("a keeper that has read further", func(t *testing.T) {
		for disabled, want := range map[listing.Guard][]string{0: {"b-1"}, listing.GuardKeeperRead: {"a-1", "a-2", "b-1"}} {
			b := start(t, disabled)
			b.now += 5 * testHeartbeat
			b.readList(8, true, removals...)
			b.announce("b", 8, 10*time.Millisecond, "b-1")
			NewWithT(t).Expect(b.placed()).To(ConsistOf(want))
		}
	})
}

// If another worker answers at a worker's address, its entry is outdated and is
// ignored until the worker registers again.
func TestAWorkerIsRemovedWhenAnotherAnswersAtItsAddress(t *testing.T) {
	g := NewWithT(t)
	b := newTestBed(t.Context())
	b.readList(6, false, entryOf("a-1", "a", 1), entryOf("a-2", "a", 2))
	list, _ := b.state.Roster()
	known, _ := list.Server("a-1")
	b.state.MarkReplaced(known)
	g.Expect(b.placed()).To(ConsistOf("a-2"))
	b.readList(6, false)
	g.Expect(b.placed()).To(ConsistOf("a-2"))
	b.readList(7, false, entryOf("a-1", "a", 6))
	g.Expect(b.placed()).To(ConsistOf("a-1", "a-2"))
}
