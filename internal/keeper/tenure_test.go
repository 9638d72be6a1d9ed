package keeper

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// A keeper decides without the store as it did before there were grants, and not
// before it has epochs above those that workers report.
func TestKeeperWaitsForAGrantWithinBounds(t *testing.T) {
	reported := formation.Term{Grant: 4, Raise: 2}
	now := time.Unix(1000, 0)
	noStore := func(context.Context) (int64, error) { return 0, errors.New("down") }
	for _, c := range []struct {
		name   string
		tenure tenure
		grant  func(context.Context) (int64, error)
		has    bool
		lowest formation.Term // of the epochs that follow, if there are any
	}{
		{"no store", tenure{}, nil, true, reported.Successor()},
		{"a grant", tenure{grant: 5}, noStore, true, formation.Term{}},
		{"an earlier grant than a worker reports", tenure{grant: 3}, noStore, false, formation.Term{}},
		{"not requested yet", tenure{}, noStore, false, formation.Term{}},
		{"just requested", tenure{wantedSince: now.Add(-grantTimeout + 1)}, noStore, false, formation.Term{}},
		{"no answer", tenure{wantedSince: now.Add(-grantTimeout)}, noStore, true, reported.Successor()},
		{"no answer after another keeper was met", tenure{superseded: true, wantedSince: now.Add(-grantTimeout)}, noStore, false, formation.Term{}},
		{"late orders are carried out", tenure{superseded: true, wantedSince: now.Add(-supersededTimeout)}, noStore, true, reported.Successor()},
		{"without a grant, below another keeper's epochs", tenure{unguarded: true, wantedSince: now}, noStore, true, reported.Successor()},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			k := newTestKeeper(func(known roster.Server) (roster.Server, error) { return known, nil })
			k.Grant, k.tenure = c.grant, c.tenure
			w := testMember
			w.Membership.Epoch = reported.Base() + 7
			k.workers = map[string]*worker{"w": newWorker(w, now)}
			g.Expect(k.hasTerm(now)).To(Equal(c.has))
			g.Expect(formation.TermOf(k.epoch)).To(Equal(c.lowest))
		})
	}
}

// Grants whose records the store may have lost are renewed, but not while a group is
// forming, whose epochs derive from the present one.
func TestKeeperRenewsAGrantThatTheStoreMayHaveLost(t *testing.T) {
	for _, c := range []struct {
		name    string
		tenure  tenure
		forming map[string]formation.FormingGroup
		want    int64
	}{
		{"a grant", tenure{grant: 5}, nil, 9},
		{"a grant, and a group is forming", tenure{grant: 5}, map[string]formation.FormingGroup{"g": {}}, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			k := newTestKeeper(func(known roster.Server) (roster.Server, error) { return known, nil })
			k.Grant = func(context.Context) (int64, error) { return 9, nil }
			k.tenure, k.forming = c.tenure, c.forming
			k.RenewGrant()
			k.requestGrant(t.Context())
			g.Eventually(func() int64 {
				k.requestGrant(t.Context())
				return k.tenure.grant
			}).Should(Equal(c.want))
			g.Expect(k.grantOutdated.Load()).To(Equal(c.want == 5))
		})
	}
}
