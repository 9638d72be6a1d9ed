package instance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/neighbour"
	"github.com/chicorystall/chicorystall/pkg/position"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// at returns a position, which has to be valid.
func at(era, offset int64) position.Position {
	p, err := position.At(era, offset)
	if err != nil {
		panic(err)
	}
	return p
}

// readOperator applies a read of the operator's records up to an end to a state. It is full
// if it is the first of its era.
func readOperator(s *State, end position.Position, records ...Record) {
	s.applyOperator(batch{records: records, full: end.Era() != s.operatorEra || s.operatorEnd == 0, caughtUp: true, began: s.clock(), end: end})
}

func configAt(version int64, offset position.Position) Record { return config(version, offset)[0] }

// The store came back from a copy and gave out offsets again. Configurations there were
// skipped as older ones, or would have replaced a newer one that the copy lacks.
func TestConfigurationAfterTheStoreWasRestored(t *testing.T) {
	for _, c := range []struct {
		name  string
		reads func(*State)
		want  int64
	}{
		{"an older one from the copy is not taken", func(s *State) {
			readOperator(s, at(2, 2), configAt(8, at(2, 1)))
		}, 15},
		{"a newer one at a lower offset is taken", func(s *State) {
			readOperator(s, at(2, 2), configAt(8, at(2, 1)))
			readOperator(s, at(2, 3), configAt(17, at(2, 2)))
		}, 17},
		{"those that are written again are not taken until they are newer", func(s *State) {
			readOperator(s, at(2, 2), configAt(8, at(2, 1)))
			readOperator(s, at(2, 3), configAt(12, at(2, 2)))
		}, 15},
		{"one that was written again before the read", func(s *State) {
			readOperator(s, at(2, 3), configAt(17, at(2, 2)))
		}, 17},
		{"after two restores, the first of which wasn't noticed", func(s *State) {
			readOperator(s, at(3, 2), configAt(8, at(3, 1)))
			readOperator(s, at(3, 3), configAt(17, at(3, 2)))
		}, 17},
		{"an answer of the era before arrives late", func(s *State) {
			readOperator(s, at(2, 3), configAt(17, at(2, 2)))
			s.applyOperator(batch{records: []Record{configAt(16, at(1, 9))}, caughtUp: true, end: at(1, 10)})
		}, 17},
		{"in the same era the later record counts", func(s *State) {
			readOperator(s, at(1, 5), configAt(14, at(1, 4)))
		}, 14},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newState(func() {})
			restores := 0
			s.onRestore = func() { restores++ }
			readOperator(s, at(1, 4), configAt(15, at(1, 3)))
			g.Expect(restores).To(BeZero())
			c.reads(s)
			g.Expect(s.View().Catalog.Version()).To(Equal(c.want))
			g.Expect(restores).To(BeNumerically("<=", 1), "what was written to the store is renewed once")
		})
	}
}

// A keeper's word about the end of the era before proved a configuration that the store had
// lost, and one about the new era was taken for older.
func TestKeeperProofAfterTheStoreWasRestored(t *testing.T) {
	g := NewWithT(t)
	s := newState(func() {})
	now := time.Hour
	s.clock = func() time.Duration { return now }
	readOperator(s, at(1, 14), configAt(15, at(1, 13)))
	proved := s.View().ConfirmedAt
	now += time.Second
	s.ApplyKeeperProof(at(2, 3), now)
	g.Expect(s.View().ConfirmedAt).To(Equal(proved), "the keeper has read an era that this instance has not")
	g.Expect(s.news).To(Receive())
	readOperator(s, at(2, 3), configAt(17, at(2, 2)))
	now += time.Second
	s.ApplyKeeperProof(at(1, 14), now)
	g.Expect(s.View().ConfirmedAt).To(Equal(now), "whoever has read the new era knows all of the one before that counts")
}

// evacuation returns the operator's record that takes data centre b out of service, or puts
// it back.
func evacuation(takenOut bool, offset position.Position) Record {
	r := Record{Key: "b", Offset: offset}
	if takenOut {
		r.Value = []byte("out")
	}
	return r
}

// A data centre that was taken out of service got requests again when the copy lacked the
// record that says so.
func TestDataCentresAfterTheStoreWasRestored(t *testing.T) {
	for _, c := range []struct {
		name       string
		known      bool // taken out before
		reads      func(*State)
		soon, late bool // taken out at first and in the end
	}{
		{"out, and the copy lacks it", true, func(s *State) { readOperator(s, at(2, 1)) }, true, false},
		{"out, and it is written again", true, func(s *State) {
			readOperator(s, at(2, 1))
			readOperator(s, at(2, 2), evacuation(true, at(2, 1)))
		}, true, true},
		{"out, and it is put back after the restore", true, func(s *State) {
			readOperator(s, at(2, 2), evacuation(true, at(2, 1)))
			readOperator(s, at(2, 3), evacuation(false, at(2, 2)))
		}, false, false},
		{"back, and the copy has it out", false, func(s *State) { readOperator(s, at(2, 2), evacuation(true, at(2, 1))) }, false, true},
		{"back, and it is put back again", false, func(s *State) {
			readOperator(s, at(2, 2), evacuation(true, at(2, 1)))
			readOperator(s, at(2, 3), evacuation(false, at(2, 2)))
		}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newState(func() {})
			s.platform.DecodeOperatorRecord = func(r Record) (OperatorRecord, error) {
				return OperatorRecord{DataCentre: r.Key, TakenOut: len(r.Value) > 0}, nil
			}
			now := time.Hour
			s.clock = func() time.Duration { return now }
			readOperator(s, at(1, 9), evacuation(true, at(1, 8)))
			if !c.known {
				readOperator(s, at(1, 10), evacuation(false, at(1, 9)))
			}
			c.reads(s)
			g.Expect(s.TakenOut("b")).To(Equal(c.soon))
			now += inServiceGrace
			g.Expect(s.TakenOut("b")).To(Equal(c.late || c.soon))
			now += outOfServiceGrace - inServiceGrace
			g.Expect(s.TakenOut("b")).To(Equal(c.late))
		})
	}
}

// A record that can't be read blocked all proofs, also when the restored store had lost it.
func TestUnreadableRecordThatTheRestoredStoreLacks(t *testing.T) {
	g := NewWithT(t)
	s := newState(func() {})
	now := time.Hour
	s.clock = func() time.Duration { return now }
	readOperator(s, at(1, 2), configAt(8, at(1, 1)))
	readOperator(s, at(1, 3), Record{Key: "other", Value: []byte("{"), Offset: at(1, 2)})
	now += time.Second
	readOperator(s, at(2, 2), configAt(8, at(2, 1)))
	g.Expect(s.View().ConfirmedAt).To(Equal(now))
}

// A worker whose leaving the copy lacks got requests again, from the keeper and from those
// that hear it.
func TestWorkerThatLeftBeforeTheStoreWasRestoredGetsNoRequests(t *testing.T) {
	const grace = restoreHeartbeats * testHeartbeat
	for _, c := range []struct {
		name     string
		leaves   Record
		copied   []Record // of the worker, in the first read after the restore
		later    []Record
		placed   bool // it gets requests after that
		inAWhile bool // after RestoreGrace
	}{
		{"it drained", entryOf("a-1", "a!", at(1, 9)), []Record{entryOf("a-1", "a", at(2, 4))}, nil, false, false},
		{"it was removed", removal("a-1", at(1, 9)), []Record{entryOf("a-1", "a", at(2, 4))}, nil, false, true},
		{"it was removed, and is removed again", removal("a-1", at(1, 9)), []Record{entryOf("a-1", "a", at(2, 4))}, []Record{removal("a-1", at(2, 9))}, false, false},
		{"it was removed, and writes again", removal("a-1", at(1, 9)), []Record{entryOf("a-1", "a", at(2, 4))}, []Record{entryOf("a-1", "a", at(2, 9))}, true, true},
		{"it changed, and the copy lacks it", entryOf("a-1", "a", at(1, 9)), nil, nil, true, false},
		{"it changed, the copy lacks it, and it writes again", entryOf("a-1", "a", at(1, 9)), nil, []Record{entryOf("a-1", "a", at(2, 9))}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := newTestBed(t.Context())
			decode, seqs := b.state.platform.DecodeServer, map[position.Position]int64{at(1, 4): 4, at(1, 9): 9, at(2, 4): 4, at(2, 9): 12}
			var decoding Record
			b.state.platform.DecodeServer = func(id string, data []byte, read time.Time) (roster.Server, error) {
				s, err := decode(id, data, read)
				s.StartUnixMilli, s.EntrySeq = 1, seqs[decoding.Offset]
				return s, err
			}
			read := func(full bool, end position.Position, records ...Record) {
				for n, r := range records { // one by one, so that the decoder knows the record
					decoding = r
					b.state.applyWorkers(batch{records: records[n : n+1], full: full && len(records) == 1, caughtUp: true, began: b.now, ended: b.now, end: end})
				}
			}
			read(true, at(1, 5), entryOf("a-1", "a", at(1, 4)))
			read(false, at(1, 10), c.leaves)
			b.now += 2 * time.Second
			if len(c.copied) == 0 {
				b.state.applyWorkers(batch{full: true, caughtUp: true, began: b.now, ended: b.now, end: at(2, 6)})
			}
			read(true, at(2, 6), c.copied...)
			read(false, at(2, 10), c.later...)
			g.Expect(b.placed()).To(HaveLen(map[bool]int{true: 1}[c.placed]))
			b.now += grace + 1
			b.state.applyWorkers(batch{caughtUp: true, began: b.now, ended: b.now, end: at(2, 10)})
			g.Expect(b.placed()).To(HaveLen(map[bool]int{true: 1}[c.inAWhile]))
		})
	}
	t.Run("a keeper that read only the copy announces it", func(t *testing.T) {
		g := NewWithT(t)
		b := newTestBed(t.Context())
		b.readList(at(1, 5), false, entryOf("a-1", "a", at(1, 4)))
		b.readList(at(1, 10), false, removal("a-1", at(1, 9)))
		b.announce("a", at(2, 6), 0, "a-1", "a-2")
		g.Expect(b.placed()).To(ConsistOf("a-2"))
		b.now += grace + 1
		b.announce("a", at(2, 6), 0, "a-1", "a-2")
		g.Expect(b.placed()).To(ConsistOf("a-1", "a-2"))
	})
	t.Run("a keeper that is still in the era before announces it", func(t *testing.T) {
		g := NewWithT(t)
		b := newTestBed(t.Context())
		b.readList(at(1, 5), false, entryOf("a-1", "a", at(1, 4)))
		b.state.applyWorkers(batch{records: []Record{entryOf("a-1", "a!", at(2, 4))}, full: true, caughtUp: true, began: b.now, ended: b.now, end: at(2, 6)})
		b.onDigest(neighbour.Digest{Instance: "keeper-a", DataCentre: "a", Keeper: true, ListEnd: at(1, 300), Places: deskPlaces([]string{"a-1"})})
		g.Expect(b.placed()).To(BeEmpty())
	})
}

// An instance that started after a restore took the older configuration of the copy for
// proven, and accepted keys that had been removed, while its peers knew the newer one.
func TestOlderConfigurationOfTheCopyIsNotProven(t *testing.T) {
	const start = time.Hour
	for _, c := range []struct {
		name  string
		steps func(s *State, now *time.Duration)
		want  bool // proven
	}{
		{"no peer knows a newer one", func(s *State, now *time.Duration) {
			s.NotePeerVersion(8)
		}, true},
		{"a peer does, right after the start", func(s *State, now *time.Duration) {
			s.NotePeerVersion(15)
		}, false},
		{"a peer does, and a later read shows nothing", func(s *State, now *time.Duration) {
			*now += 2 * discoveryTime
			s.NotePeerVersion(15)
			*now += time.Second
			readOperator(s, 2)
		}, false},
		{"a peer does, and no read has begun since", func(s *State, now *time.Duration) {
			*now += 2 * discoveryTime
			s.NotePeerVersion(15)
		}, true},
		{"a peer does, and a keeper proves the older one later", func(s *State, now *time.Duration) {
			s.NotePeerVersion(15)
			*now += time.Second
			s.ApplyKeeperProof(2, *now)
		}, false},
		{"a peer does, and a keeper proves the older one by an earlier read", func(s *State, now *time.Duration) {
			s.NotePeerVersion(15)
			s.ApplyKeeperProof(2, *now-1)
		}, false},
		{"the operator writes it again", func(s *State, now *time.Duration) {
			s.NotePeerVersion(15)
			*now += time.Second
			readOperator(s, 3, configAt(15, 2))
		}, true},
		{"the peer isn't heard any more", func(s *State, now *time.Duration) {
			s.NotePeerVersion(15)
			*now += peerVersionTimeout + 1
			readOperator(s, 2)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			now := start
			s := newState(func() {})
			s.clock = func() time.Duration { return now }
			readOperator(s, 2, configAt(8, 1))
			now += 100 * time.Millisecond
			c.steps(s, &now)
			g.Expect(s.View().ConfirmedAt > 0).To(Equal(c.want))
		})
	}
}
