package keeper

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

var member = roster.Server{
	ID: "w", Service: "pool", DataCentre: "a", Born: 1, Seq: 1, Orders: 2,
	Membership: roster.Membership{Group: "m.x", Epoch: 3, Rank: 1, State: roster.Ready},
}

// keeperOf returns a keeper of one worker whose reports come from report.
func keeperOf(report func(roster.Server) (roster.Server, error)) *Keeper {
	list := roster.New([]roster.Server{member})
	return &Keeper{
		DataCentre: "a", StallTime: time.Second, Metrics: telemetry.NewMetrics(),
		List:    func() (*roster.Roster, time.Time) { return list, time.Now() },
		Engine:  func() (string, *catalog.Engine) { return "pool", &catalog.Engine{} },
		Stalled: func(string) bool { return false },
		Moving:  func(string) bool { return false },
		Report:  func(_ context.Context, known roster.Server) (roster.Server, error) { return report(known) },
	}
}

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
		k.askOne(context.Background(), k.workers["w"])
	}
	k.merge(now, "pool", true)
	g.Expect(k.workers["w"].lost()).To(BeTrue())
	silent = false
	k.askOne(context.Background(), k.workers["w"])
	g.Expect(k.workers["w"].lost()).To(BeFalse())
	g.Expect(k.workers["w"].server.Membership).To(Equal(member.Membership))
}

// A report that is older than the answer to an order is not mixed with it.
func TestAReportOlderThanAnOrderIsLeftOut(t *testing.T) {
	g := NewWithT(t)
	k := keeperOf(func(known roster.Server) (roster.Server, error) {
		known.Membership, known.Orders = roster.Membership{}, 2
		return known, nil
	})
	k.merge(time.Now(), "pool", true)
	w := k.workers["w"]
	w.known, w.entryAt = true, time.Time{}
	k.Order = func(context.Context, roster.Server, formation.Order, int64) (Outcome, error) { return Begun, nil }
	k.sendOne(context.Background(), formation.Order{Worker: "w", Operation: formation.Join, Group: "m.y"})
	k.askOne(context.Background(), w)
	g.Expect(w.server.Orders).To(BeEquivalentTo(3))
	g.Expect(w.server.Membership).To(Equal(member.Membership), "the state goes with its count")
}

// A report that lags behind the platform's list sets no member free.
func TestTheListGoesBeforeReports(t *testing.T) {
	g := NewWithT(t)
	k := keeperOf(func(known roster.Server) (roster.Server, error) {
		known.Membership = roster.Membership{}
		return known, nil
	})
	k.merge(time.Now(), "pool", true)
	w := k.workers["w"]
	w.entryAt = time.Now().Add(-time.Hour)
	k.askOne(context.Background(), w)
	g.Expect(w.server.Membership).To(Equal(member.Membership))
	t.Run("without the list reports go", func(t *testing.T) {
		g := NewWithT(t)
		list, _ := k.List()
		k.List = func() (*roster.Roster, time.Time) { return list, time.Now().Add(-time.Hour) }
		k.askOne(context.Background(), w)
		g.Expect(w.server.Membership.State).To(Equal(roster.Alone))
	})
}
