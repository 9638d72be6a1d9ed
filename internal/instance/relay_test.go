package instance

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/neighbour"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
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

func TestAStoppingInstanceIsNotTheKeeper(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	i := newInstance(ctx, Config{Settings: Settings{Name: "entry-1", DataCentre: "a", RetryWindow: time.Second}, Metrics: telemetry.NewMetrics()})
	i.started = time.Now().Add(-2 * discoveryTime)
	cancel()
	g.Expect(i.isKeeper()).To(BeFalse())
}
