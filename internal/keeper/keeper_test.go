package keeper

import (
	"context"
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

var member = roster.Server{
	ID: "w", Service: "pool", DataCentre: "a", StartUnixMilli: 1, EntrySeq: 1, OrderCount: 2,
	Membership: roster.Membership{Group: "m.x", Epoch: 3, Rank: 1, State: roster.Ready},
}

// keeperOf returns a keeper of one worker whose reports come from report.
func keeperOf(report func(roster.Server) (roster.Server, error)) *Keeper {
	list := roster.New([]roster.Server{member})
	return &Keeper{
		DataCentre: "a", Metrics: telemetry.NewMetrics(), patience: time.Minute,
		List:           func() (*roster.Roster, time.Time) { return list, time.Now() },
		Engine:         func() (string, *catalog.Engine) { return "pool", &catalog.Engine{} },
		HeadStalled:    func(string) bool { return false },
		HeadResponding: func(string) bool { return false },
		Report:         func(_ context.Context, known roster.Server) (roster.Server, error) { return report(known) },
	}
}

func (k *Keeper) askAll() { k.ask(context.Background(), slices.Collect(maps.Values(k.workers))) }

// A member that leaves some questions unanswered stays in its group: a worker
// that counts as free while its head is open would be joined to another group.
func TestAMemberThatWasSilentStaysInItsGroup(t *testing.T) {
	g := NewWithT(t)
	silent := true
	k := keeperOf(func(roster.Server) (roster.Server, error) {
		if silent {
			return roster.Server{}, errors.New("no answer")
		}
		return member, nil
	})
	now := time.Now()
	for range lostAfter {
		k.merge(now, "pool", true)
		k.askAll()
	}
	k.merge(now, "pool", true)
	g.Expect(k.workers["w"].lost()).To(BeTrue())
	silent = false
	k.askAll()
	g.Expect(k.workers["w"].lost()).To(BeFalse())
	g.Expect(k.workers["w"].server.Membership).To(Equal(member.Membership))
}

// A report that is older than the answer to an order is not mixed with it.
func TestAReportOlderThanAnOrderIsLeftOut(t *testing.T) {
	g := NewWithT(t)
	k := keeperOf(func(known roster.Server) (roster.Server, error) {
		known.Membership, known.OrderCount = roster.Membership{}, 2
		return known, nil
	})
	k.merge(time.Now(), "pool", true)
	w := k.workers["w"]
	w.known, w.movedAt = true, time.Time{}
	k.Order = func(context.Context, roster.Server, formation.Order, int64) (Outcome, error) { return Begun, nil }
	k.send(context.Background(), []formation.Order{{Worker: "w", Operation: formation.Join, Group: "m.y", Epoch: 4, Members: []string{"v", "w"}}})
	k.askAll()
	g.Expect(w.server.OrderCount).To(BeEquivalentTo(3))
	g.Expect(w.server.Membership).To(Equal(roster.Membership{Group: "m.y", Epoch: 4, Rank: 1, State: roster.Joining}), "the state goes with its count")
}

// Whether a report or an entry that came just before it is newer can't be told:
// taken for a head that left, an old report would set the members of an open
// group free. Once the entry is older than any report, the report goes, since a
// worker that is cut off from the platform writes no more entries.
func TestReportsAndEntriesThatDiffer(t *testing.T) {
	for _, c := range []struct {
		name     string
		entryAge time.Duration
		known    bool
		state    roster.State
	}{
		{"entry that just came", 0, false, roster.Ready},
		{"entry older than any report", reportLag, true, roster.Alone},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			k := keeperOf(func(known roster.Server) (roster.Server, error) {
				known.Membership, known.OrderCount = roster.Membership{}, 3
				return known, nil
			})
			k.merge(time.Now(), "pool", true)
			w := k.workers["w"]
			w.movedAt = time.Now().Add(-c.entryAge)
			k.askAll()
			g.Expect(w.known).To(Equal(c.known))
			g.Expect(w.server.Membership.State).To(Equal(c.state))
		})
	}
}

// One unanswered question is enough for a member of a group whose streams stand
// still, and too little for one of a group that serves.
func TestASilentMemberOfAStalledGroupIsLost(t *testing.T) {
	for _, c := range []struct {
		name    string
		stalled bool
	}{{"streams stand still", true}, {"streams go on", false}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			k := keeperOf(func(known roster.Server) (roster.Server, error) {
				if known.ID == member.ID {
					return roster.Server{}, errors.New("no answer")
				}
				return known, nil
			})
			head := member
			head.ID, head.Membership.Rank, head.Membership.State = "head", 0, roster.Open
			list := roster.New([]roster.Server{member, head})
			k.List = func() (*roster.Roster, time.Time) { return list, time.Now() }
			k.HeadStalled = func(id string) bool { return c.stalled && id == "head" }
			k.merge(time.Now(), "pool", true)
			k.ask(context.Background(), k.toAsk(time.Now()))
			g.Expect(k.workers["w"].lost()).To(Equal(c.stalled))
			g.Expect(k.workers["head"].lost()).To(BeFalse())
		})
	}
}

// A worker refuses an epoch below the highest that it has seen, which no report
// shows once it has left that group: with epochs that rise one by one, a keeper's
// orders to join would be refused for a long time.
func TestARefusedJoinRaisesEpochs(t *testing.T) {
	g := NewWithT(t)
	alone := member
	alone.Membership = roster.Membership{}
	k := keeperOf(func(roster.Server) (roster.Server, error) { return alone, nil })
	k.Order = func(context.Context, roster.Server, formation.Order, int64) (Outcome, error) {
		return Rejected, errors.New("status 412")
	}
	k.merge(time.Now(), "pool", true)
	k.askAll()
	k.epoch = 5
	k.workers["w"].known = true
	k.send(context.Background(), []formation.Order{{Worker: "w", Operation: formation.Join, Group: "m.y", Epoch: 5, Members: []string{"w"}}})
	g.Expect(k.epoch).To(BeNumerically(">", 5+epochGap/2))
}

// A question that was asked in an earlier turn as the keeper doesn't inform the
// next one. If the worker weren't asked again, the keeper would wait for it forever.
func TestAnAnswerFromAnEarlierTurnIsAskedForAgain(t *testing.T) {
	g := NewWithT(t)
	alone := member
	alone.Membership = roster.Membership{}
	k := keeperOf(func(roster.Server) (roster.Server, error) { return alone, nil })
	list := roster.New([]roster.Server{alone})
	k.List = func() (*roster.Roster, time.Time) { return list, time.Now() }
	k.merge(time.Now(), "pool", true)
	k.askAll()
	k.turn = time.Now() // the role was lost and regained while the question was under way
	g.Expect(k.informed()).To(BeFalse())
	k.ask(context.Background(), k.toAsk(time.Now()))
	g.Expect(k.informed()).To(BeTrue())
}
