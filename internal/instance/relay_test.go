package instance

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/neighbour"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
	"github.com/chicorystall/chicorystall/pkg/listing"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

func newTestInstance(t *testing.T) *instance {
	return newInstance(t.Context(), Config{
		Settings: Settings{Name: "entry-1", DataCentre: "a", DataCentres: []string{"a", "b"}, RetryWindow: time.Second},
		Metrics:  telemetry.NewMetrics(),
	})
}

func announcedPlaces(i *instance, dataCentre string) []dispatch.Place {
	announcement, _ := i.state.List().Announcement(dataCentre)
	return announcement.Places
}

// If no digests arrive from another data centre's keeper, the keeper of the instance's
// own data centre announces the places of both from the platform's list. Otherwise all
// instances would have to read the list.
func TestAKeeperAnnouncesDataCentresWithUnreachableKeepers(t *testing.T) {
	desk := func(id string) []neighbour.Place { return []neighbour.Place{{Server: id, Service: "desk"}} }
	g := NewWithT(t)
	i := newTestInstance(t)
	own := neighbour.Digest{Instance: "entry-2", DataCentre: "a", Keeper: true, ListAge: 10, Places: desk("a-1")}
	i.onDigest(own)
	g.Expect(i.allAnnounced()).To(BeFalse(), "nothing is known of the other data centre")
	own.OtherDataCentres = map[string][]neighbour.Place{"b": desk("b-listed")}
	i.onDigest(own)
	g.Expect(i.allAnnounced()).To(BeTrue())
	g.Expect(announcedPlaces(i, "b")).To(HaveExactElements(HaveField("ID", "b-listed")))
	t.Run("the data centre's own keeper takes precedence", func(t *testing.T) {
		g := NewWithT(t)
		i.onDigest(neighbour.Digest{Instance: "entry-3", DataCentre: "b", Keeper: true, ListAge: 10, Places: desk("b-announced")})
		i.onDigest(own)
		g.Expect(announcedPlaces(i, "b")).To(HaveExactElements(HaveField("ID", "b-announced")))
		g.Expect(announcedPlaces(i, "b")[0]).To(BeAssignableToTypeOf(dispatch.Place{}))
	})
	t.Run("an old list does not replace own reads", func(t *testing.T) {
		g := NewWithT(t)
		i := newTestInstance(t)
		own.ListAge = minRelayAge.Milliseconds()
		i.onDigest(own)
		g.Expect(i.allAnnounced()).To(BeFalse())
		g.Expect(i.workersRelayed()).To(BeFalse())
	})
}

// An instance that relies on announcements has an old list, or none. If it didn't learn a
// worker's run from the keeper, it would take a new run for the one that left.
func TestAnnouncementsTellTheRunsOfPlaces(t *testing.T) {
	for _, dataCentre := range []string{"a", "b"} {
		t.Run("data centre "+dataCentre, func(t *testing.T) {
			g := NewWithT(t)
			keeper, other := newTestBed(t.Context()), newTestBed(t.Context())
			list, _ := listing.New(listing.Rules{}).WithRead(listing.Batch{Full: true, Records: []listing.Record{
				{ID: "w", Server: roster.Server{ID: "w", Service: "desk", DataCentre: dataCentre, Slots: 1, StartUnixMilli: 2}},
			}})
			layout := keeper.layout()
			layout.List = list
			d := neighbour.Digest{Instance: "entry-2", DataCentre: "a", Keeper: true, ListAge: 10}
			keeper.addPlaces(&d, layout)
			other.onDigest(d)
			g.Expect(other.layout().Places()).To(HaveExactElements(And(HaveField("ID", "w"), HaveField("Run", int64(2)))))
			t.Run("a new run changes the places", func(t *testing.T) {
				announcement, _ := other.state.List().Announcement(dataCentre)
				announcement.Places = slices.Clone(announcement.Places)
				announcement.Places[0].Run = 3
				NewWithT(t).Expect(other.state.ApplyAnnouncement(dataCentre, announcement)).To(BeTrue())
			})
		})
	}
}

func TestAStoppingInstanceIsNotTheKeeper(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	i := newInstance(ctx, Config{Settings: Settings{Name: "entry-1", DataCentre: "a", RetryWindow: time.Second}, Metrics: telemetry.NewMetrics()})
	i.started = time.Now().Add(-2 * discoveryTime)
	cancel()
	g.Expect(i.isKeeper()).To(BeFalse())
}
