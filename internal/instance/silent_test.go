package instance

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/neighbour"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// A keeper doesn't give up a head that other instances reach. One that answers and
// serves no group must not keep its former members waiting.
func TestAHeadIsReachedOnlyWhileItServes(t *testing.T) {
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
			i.askSilentHead(t.Context(), roster.Server{ID: "h"})
			NewWithT(t).Expect(i.digest().ReachedHeads).To(Equal(c.want))
		})
	}
}

// Another worker, or another start of the same, may answer at a head's address.
// Only its start tells it from the one that is silent.
func TestSilentHeadsAreToldWithTheirStart(t *testing.T) {
	heads := []roster.Server{{ID: "h", Address: "127.0.0.1:1", Born: 7}, {ID: "i", Address: "127.0.0.1:2", Born: 8}}
	var d neighbour.Digest
	tellSilent(&d, heads)
	NewWithT(t).Expect(silentHeads(d)).To(Equal(heads))
	t.Run("by a release that doesn't tell it", func(t *testing.T) {
		d := neighbour.Digest{SilentHeads: []neighbour.SilentHead{{Server: "h", Address: "127.0.0.1:1"}}}
		NewWithT(t).Expect(silentHeads(d)).To(Equal([]roster.Server{{ID: "h", Address: "127.0.0.1:1"}}))
	})
}
