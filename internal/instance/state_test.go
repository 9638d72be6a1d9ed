package instance

import (
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/position"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// newState returns a state of a platform on which a configuration's record is its
// version and a worker's entry is the name of its service.
func newState(onChange func()) *State {
	never := func() bool { return false }
	platform := Platform{
		DecodeOperatorRecord: func(r Record) (OperatorRecord, error) {
			version, err := strconv.ParseInt(string(r.Value), 10, 64)
			if err != nil {
				return OperatorRecord{}, errors.Wrap(err, "version")
			}
			return OperatorRecord{Catalog: catalog.New(catalog.Content{Version: version})}, nil
		},
		DecodeServer: func(id string, data []byte, _ time.Time) (roster.Server, error) {
			return roster.Server{ID: id, Service: string(data)}, nil
		},
	}
	return NewState(platform, Settings{HeartbeatInterval: testHeartbeat}, nil, never, never, never, func() int { return 1 }, onChange)
}

func config(version int64, offset position.Position) []Record {
	return []Record{{Key: "config", Value: strconv.AppendInt(nil, version, 10), Offset: offset}}
}

// A read that returns an older configuration must not replace a newer one.
func TestStateIgnoresOlderRecords(t *testing.T) {
	g := NewWithT(t)
	changes := 0
	s := newState(func() { changes++ })
	s.applyOperator(batch{records: config(4, 9), caughtUp: true, full: true, began: 1, end: 10})
	s.applyOperator(batch{records: config(3, 5), caughtUp: true, full: true, began: 2, end: 10})
	g.Expect(s.View().Catalog.Version()).To(BeEquivalentTo(4))
	g.Expect(s.View().ConfirmedAt).To(BeEquivalentTo(2))
	t.Run("a keeper's proof counts only if all its records are known", func(t *testing.T) {
		g := NewWithT(t)
		s.ApplyKeeperProof(11, 7)
		g.Expect(s.View().ConfirmedAt).To(BeEquivalentTo(2))
		s.ApplyKeeperProof(10, 6)
		g.Expect(s.View().ConfirmedAt).To(BeEquivalentTo(6))
	})
	t.Run("a configuration that can't be decoded proves nothing", func(t *testing.T) {
		g := NewWithT(t)
		s.applyOperator(batch{records: []Record{{Key: "config", Value: []byte("{"), Offset: 12}}, caughtUp: true, began: 9, end: 13})
		g.Expect(s.View().Catalog.Version()).To(BeEquivalentTo(4))
		g.Expect(s.View().ConfirmedAt).To(BeEquivalentTo(6))
	})
}

// Entries that lapsed during an outage of the store are kept for lapseGrace after it.
// Entries that are removed at other times are dropped at once.
func TestStateKeepsLapsedEntries(t *testing.T) {
	start := func() (*State, *time.Duration) {
		s, now := newState(func() {}), time.Hour
		s.clock = func() time.Duration { return now }
		s.applyWorkers(batch{records: []Record{{Key: "w", Value: []byte("desk"), Offset: 1}}, full: true, began: now, ended: now, end: 2})
		return s, &now
	}
	const shortestLapse = lapseHeartbeats * testHeartbeat
	for _, c := range []struct {
		name    string
		resumed bool
		outage  time.Duration
		wantLen int
	}{
		{"removed", false, shortestLapse, 0},
		{"removed in an outage that is too short for a lapse", true, shortestLapse - 1, 0},
		{"lapsed in an outage", true, shortestLapse, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s, now := start()
			*now += c.outage
			s.applyWorkers(batch{records: []Record{{Key: "w", Offset: 2}}, resumed: c.resumed, began: *now, ended: *now, end: 3})
			list, _ := s.Roster()
			g.Expect(list.Len()).To(Equal(c.wantLen))
			g.Expect(s.KeepsLapsedEntries()).To(Equal(c.wantLen > 0))
		})
	}
	t.Run("removed just before the grace ends", func(t *testing.T) {
		g := NewWithT(t)
		s, now := start()
		*now += shortestLapse
		s.applyWorkers(batch{resumed: true, began: *now, ended: *now, end: 2})
		*now += lapseGrace
		s.applyWorkers(batch{records: []Record{{Key: "w", Offset: 2}}, began: *now, ended: *now, end: 3})
		list, _ := s.Roster()
		g.Expect(list.Len()).To(Equal(1))
		*now++
		list, _ = s.Roster()
		g.Expect(list.Len()).To(BeZero(), "the grace counts from the end of the outage, not from the removal")
	})
}

func TestAnAnswerThatCameDuringASuspensionIsAsOldAsItsCall(t *testing.T) {
	for _, c := range []struct {
		name               string
		monotonic, elapsed time.Duration
		want               time.Duration
	}{
		{"awake", 600 * time.Millisecond, 600 * time.Millisecond, 1600 * time.Millisecond},
		{"suspended", 600 * time.Millisecond, 4600 * time.Millisecond, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			began := time.Second
			g.Expect(earliestAnswer(began, began+c.elapsed, c.monotonic)).To(Equal(c.want))
		})
	}
}
