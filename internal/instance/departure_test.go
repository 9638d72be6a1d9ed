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
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// testHeartbeat is how often the workers of a test write their entries.
const testHeartbeat = time.Second

// bench is an instance of data centre a, with a clock that the test moves. Its
// workers run one plain service; their entries hold their data centre, and "!"
// at the end if they are draining.
type bench struct {
	*instance
	now   time.Duration
	known bool // the list was read
}

func newBench(ctx context.Context) *bench {
	b := &bench{now: time.Hour}
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
	b.started = time.Now().Add(time.Hour) // it is no keeper
	b.state.clock = func() time.Duration { return b.now }
	b.state.view.Catalog = catalog.New(catalog.Content{Services: []catalog.Service{{Name: "desk"}}})
	return b
}

// switchOff has the instance begin anew without some guards.
func (b *bench) switchOff(off listing.Guard) {
	rules := b.state.list.Rules()
	rules.Disabled = off
	b.state.list = listing.New(rules)
}

// placed returns the workers that take requests.
func (b *bench) placed() []string {
	var ids []string
	for _, p := range b.layout().Places() {
		ids = append(ids, p.ID)
	}
	return ids
}

// tell has the instance hear the keeper of a data centre.
func (b *bench) tell(dataCentre string, end int64, age time.Duration, ids ...string) {
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

// read has the instance read records that end at an offset.
func (b *bench) read(end int64, resumed bool, records ...Record) {
	b.state.applyWorkers(batch{
		records: records, full: !b.known, whole: true, began: b.now, ended: b.now, resumed: resumed, end: end,
	})
	b.known = true
}

func entryOf(id, value string, offset int64) Record {
	return Record{Key: id, Value: []byte(value), Offset: offset}
}

func removal(id string, offset int64) Record { return Record{Key: id, Offset: offset} }

// An instance that could not read the list while others could gets no grace for
// what was removed meanwhile: the store was not away from the workers.
func TestAWorkerThatLeftWhileOnlyThisInstanceLostTheStoreGetsNoRequests(t *testing.T) {
	for _, c := range []struct {
		name  string
		known []Record // before the store is lost
		read  []Record // after
	}{
		{"known before", []Record{entryOf("a-1", "a", 1), entryOf("a-2", "a", 2), entryOf("b-1", "b", 3)}, []Record{removal("a-1", 9)}},
		{"registered and removed meanwhile", []Record{entryOf("a-2", "a", 2), entryOf("b-1", "b", 3)}, []Record{entryOf("a-1", "a", 5), removal("a-1", 9)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := newBench(t.Context())
			b.read(4, false, c.known...)
			for range 100 { // ten seconds in which only the keepers reach the store
				b.now += neighbour.Interval
				b.tell("a", 6, 10*time.Millisecond, "a-1", "a-2")
				b.tell("b", 6, 10*time.Millisecond, "b-1")
			}
			g.Expect(b.placed()).To(ConsistOf("a-1", "a-2", "b-1"))
			b.now += neighbour.Interval
			b.tell("a", 10, 10*time.Millisecond, "a-2")
			b.tell("b", 10, 10*time.Millisecond, "b-1")
			g.Expect(b.placed()).To(ConsistOf("a-2", "b-1"))
			// The keeper of a loses the store, so that this instance has to read.
			for range 15 {
				b.now += neighbour.Interval
				b.tell("b", 10, 10*time.Millisecond, "b-1")
			}
			b.read(10, true, c.read...)
			for range 10 {
				g.Expect(b.placed()).To(ConsistOf("a-2", "b-1"))
				b.now += neighbour.Interval
			}
		})
	}
}

// What was learnt of a removal stays, whatever its source does, until the worker
// registers again.
func TestARemovalIsNotUndone(t *testing.T) {
	for _, c := range []struct {
		name  string
		learn func(*bench) // that a-1 is removed by the record at offset 9
		then  func(*bench)
	}{
		{
			"read, then a keeper that has not read so far",
			func(b *bench) { b.read(10, false, removal("a-1", 9)) },
			func(b *bench) { b.tell("a", 6, 10*time.Millisecond, "a-1", "a-2") },
		},
		{
			"told, then a keeper that has not read so far",
			func(b *bench) { b.tell("a", 10, 10*time.Millisecond, "a-2") },
			func(b *bench) { b.now += time.Second; b.tell("a", 6, 10*time.Millisecond, "a-1", "a-2") },
		},
		{
			"told, then an answer of the store that was long under way",
			func(b *bench) { b.tell("a", 10, 500*time.Millisecond, "a-2") },
			func(b *bench) { b.now += 2 * time.Second; b.read(6, false) },
		},
		{
			"told, then silence",
			func(b *bench) { b.tell("a", 10, 10*time.Millisecond, "a-2") },
			func(b *bench) { b.now += time.Minute },
		},
		{
			"draining by an own read, then a keeper that has not read so far",
			func(b *bench) { b.read(10, false, entryOf("a-1", "a!", 9)) },
			func(b *bench) { b.tell("a", 6, 10*time.Millisecond, "a-1", "a-2") },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := newBench(t.Context())
			b.read(6, false, entryOf("a-1", "a", 1), entryOf("a-2", "a", 2))
			b.tell("a", 6, 10*time.Millisecond, "a-1", "a-2")
			g.Expect(b.placed()).To(ConsistOf("a-1", "a-2"))
			b.now += 3 * neighbour.Interval
			c.learn(b)
			g.Expect(b.placed()).To(ConsistOf("a-2"))
			b.now += 3 * neighbour.Interval
			c.then(b)
			g.Expect(b.placed()).To(ConsistOf("a-2"))
			b.read(20, false, entryOf("a-1", "a", 19))
			b.tell("a", 20, 10*time.Millisecond, "a-1", "a-2")
			g.Expect(b.placed()).To(ConsistOf("a-1", "a-2"), "it has registered again")
		})
	}
}

// Entries that lapse while nobody has the store are kept until its workers have
// had the time to come back.
func TestEntriesThatLapsedWhileNobodyHadTheStoreAreKept(t *testing.T) {
	start := func(t *testing.T) *bench {
		b := newBench(t.Context())
		b.read(6, false, entryOf("a-1", "a", 1), entryOf("a-2", "a", 2), entryOf("b-1", "b", 3))
		b.now += 5 * testHeartbeat
		b.read(9, true, removal("a-1", 6), removal("a-2", 7), removal("b-1", 8))
		NewWithT(t).Expect(b.placed()).To(ConsistOf("a-1", "a-2", "b-1"))
		return b
	}
	t.Run("those that come back stay", func(t *testing.T) {
		g := NewWithT(t)
		b := start(t)
		b.now += returnGrace / 2
		b.read(11, false, entryOf("a-1", "a", 9), entryOf("b-1", "b", 10))
		g.Expect(b.placed()).To(ConsistOf("a-1", "a-2", "b-1"))
		b.now += returnGrace/2 + time.Millisecond
		g.Expect(b.placed()).To(ConsistOf("a-1", "b-1"), "without another answer of the store")
	})
	t.Run("a keeper that has read further knows better", func(t *testing.T) {
		g := NewWithT(t)
		b := start(t)
		b.tell("b", 9, 10*time.Millisecond)
		g.Expect(b.placed()).To(BeEmpty())
	})
	t.Run("a keeper that has started since doesn't", func(t *testing.T) {
		g := NewWithT(t)
		b := start(t)
		b.onDigest(neighbour.Digest{Instance: "keeper-b", DataCentre: "b", Keeper: true, ListAge: 10, ListEnd: 9, ListSince: 9})
		g.Expect(b.placed()).To(ConsistOf("a-1", "a-2"))
	})
	t.Run("a few that are removed in a gap have not lapsed", func(t *testing.T) {
		g := NewWithT(t)
		b := newBench(t.Context())
		b.read(6, false, entryOf("a-1", "a", 1), entryOf("a-2", "a", 2), entryOf("b-1", "b", 3))
		b.now += 5 * testHeartbeat
		b.read(9, true, removal("a-1", 6))
		g.Expect(b.placed()).To(ConsistOf("a-2", "b-1"))
	})
	t.Run("nothing lapses in a gap that is shorter than a worker's silence", func(t *testing.T) {
		g := NewWithT(t)
		b := newBench(t.Context())
		b.read(6, false, entryOf("a-1", "a", 1))
		b.now += testHeartbeat
		b.read(9, true, removal("a-1", 6))
		g.Expect(b.placed()).To(BeEmpty())
	})
}

func TestGuardsThatFewDeparturesNeed(t *testing.T) {
	start := func(t *testing.T, off listing.Guard) *bench {
		b := newBench(t.Context())
		b.switchOff(off)
		b.read(6, false, entryOf("a-1", "a", 1), entryOf("a-2", "a", 2), entryOf("b-1", "b", 3))
		return b
	}
	removals := []Record{removal("a-1", 6), removal("a-2", 7)}
	t.Run("most are removed while others have the store", func(t *testing.T) {
		for off, left := range map[listing.Guard][]string{0: {"b-1"}, listing.GuardPeerAnswers: {"a-1", "a-2", "b-1"}} {
			b := start(t, off)
			for b.now < time.Hour+5*testHeartbeat {
				b.now += neighbour.Interval
				b.tell("b", 6, 10*time.Millisecond, "b-1")
			}
			b.read(8, true, removals...)
			NewWithT(t).Expect(b.placed()).To(ConsistOf(left))
		}
	})
	t.Run("removed before a keeper was heard last", func(t *testing.T) {
		for off, left := range map[listing.Guard][]string{0: {"b-1"}, listing.GuardBeforeOutage: {"a-1", "a-2", "b-1"}} {
			b := start(t, off)
			b.onDigest(neighbour.Digest{
				Instance: "keeper-b", DataCentre: "b", Keeper: true, ListAge: 10, ListEnd: 8, ListSince: 8, Places: deskPlaces([]string{"b-1"}),
			})
			b.now += 5 * testHeartbeat
			b.read(8, true, removals...)
			NewWithT(t).Expect(b.placed()).To(ConsistOf(left))
		}
	})
	t.Run("removed after most had come back", func(t *testing.T) {
		for off, left := range map[listing.Guard][]string{0: {"a-1", "a-2"}, listing.GuardAfterRecovery: {"a-1", "a-2", "b-1"}} {
			b := start(t, off)
			b.now += 5 * testHeartbeat
			b.read(11, true, append(slices.Clone(removals), entryOf("a-1", "a", 8), entryOf("a-2", "a", 9), removal("b-1", 10))...)
			NewWithT(t).Expect(b.placed()).To(ConsistOf(left))
		}
	})
	t.Run("a keeper that has read further", func(t *testing.T) {
		for off, left := range map[listing.Guard][]string{0: {"b-1"}, listing.GuardKeeperRead: {"a-1", "a-2", "b-1"}} {
			b := start(t, off)
			b.now += 5 * testHeartbeat
			b.read(8, true, removals...)
			b.tell("b", 8, 10*time.Millisecond, "b-1")
			NewWithT(t).Expect(b.placed()).To(ConsistOf(left))
		}
	})
}

// What answers at a worker's address goes before its entry, until that worker
// registers again.
func TestAnotherWorkerAtTheAddressEndsAWorker(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t.Context())
	b.read(6, false, entryOf("a-1", "a", 1), entryOf("a-2", "a", 2))
	list, _ := b.state.List()
	known, _ := list.Server("a-1")
	b.state.Ended(known)
	g.Expect(b.placed()).To(ConsistOf("a-2"))
	b.read(6, false)
	g.Expect(b.placed()).To(ConsistOf("a-2"))
	b.read(7, false, entryOf("a-1", "a", 6))
	g.Expect(b.placed()).To(ConsistOf("a-1", "a-2"))
}
