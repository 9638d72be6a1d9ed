package instance

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/neighbour"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// A keeper does not give up a head that other instances reach. A worker that answers
// but serves no group must not count as reachable, since the keeper would wait with
// its former members.
func TestAHeadCountsAsReachableOnlyWhileItServes(t *testing.T) {
	for _, c := range []struct {
		name   string
		report roster.Membership
		want   []string
	}{
		{"open", roster.Membership{Group: "m.x", State: roster.Open}, []string{"h"}},
		{"closing", roster.Membership{Group: "m.x", State: roster.Closing}, []string{"h"}},
		{"about to open, as its report lags", roster.Membership{Group: "m.x", State: roster.Ready}, []string{"h"}},
		{"in no group", roster.Membership{}, nil},
		{"a member", roster.Membership{Group: "m.y", Rank: 1, State: roster.Ready}, nil},
		{"broken", roster.Membership{Group: "m.x", State: roster.Broken}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := newTestInstance(t)
			i.platform.Report = func(_ context.Context, known roster.Server) (roster.Server, error) {
				return roster.Server{ID: known.ID, Membership: c.report}, nil
			}
			i.probeHead(t.Context(), roster.Server{ID: "h"})
			NewWithT(t).Expect(i.digest().ReachedHeads).To(Equal(c.want))
		})
	}
}

// Another worker, or another run of the same one, may answer at an unreachable head's
// address. Only the start time distinguishes them.
func TestUnreachableHeadsAreSentWithTheirStartTime(t *testing.T) {
	heads := []roster.Server{{ID: "h", Address: "127.0.0.1:1", StartUnixMilli: 7}, {ID: "i", Address: "127.0.0.1:2", StartUnixMilli: 8}}
	var d neighbour.Digest
	addUnreachableHeads(&d, heads)
	NewWithT(t).Expect(unreachableHeads(d)).To(Equal(heads))
	t.Run("older releases send no start time", func(t *testing.T) {
		d := neighbour.Digest{SilentHeads: []neighbour.SilentHead{{Server: "h", Address: "127.0.0.1:1"}}}
		NewWithT(t).Expect(unreachableHeads(d)).To(Equal([]roster.Server{{ID: "h", Address: "127.0.0.1:1"}}))
	})
}
