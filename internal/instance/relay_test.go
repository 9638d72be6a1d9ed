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

func toldPlaces(i *instance, dataCentre string) []dispatch.Place {
	told, _ := i.state.Listing().Announcement(dataCentre)
	return told.Places
}

// While a keeper can't be heard, that of this instance's own data centre tells
// what the platform's list has, so that not all instances have to read it.
func TestAKeeperTellsOfDataCentresThatAreNotHeard(t *testing.T) {
	desk := func(id string) []neighbour.Place { return []neighbour.Place{{Server: id, Service: "desk"}} }
	g := NewWithT(t)
	i := newTestInstance(t)
	own := neighbour.Digest{Instance: "entry-2", DataCentre: "a", Keeper: true, ListAge: 10, Places: desk("a-1")}
	i.onDigest(own)
	g.Expect(i.relayed()).To(BeFalse(), "nothing is known of the other data centre")
	own.OtherDataCentres = map[string][]neighbour.Place{"b": desk("b-listed")}
	i.onDigest(own)
	g.Expect(i.relayed()).To(BeTrue())
	g.Expect(toldPlaces(i, "b")).To(HaveExactElements(HaveField("ID", "b-listed")))
	t.Run("the data centre's own keeper goes first", func(t *testing.T) {
		g := NewWithT(t)
		i.onDigest(neighbour.Digest{Instance: "entry-3", DataCentre: "b", Keeper: true, ListAge: 10, Places: desk("b-told")})
		i.onDigest(own)
		g.Expect(toldPlaces(i, "b")).To(HaveExactElements(HaveField("ID", "b-told")))
		g.Expect(toldPlaces(i, "b")[0]).To(BeAssignableToTypeOf(dispatch.Place{}))
	})
	t.Run("an old list is no relay", func(t *testing.T) {
		g := NewWithT(t)
		i := newTestInstance(t)
		own.ListAge = relayTrust.Milliseconds()
		i.onDigest(own)
		g.Expect(i.relayed()).To(BeFalse())
		g.Expect(i.workersRelayed()).To(BeFalse())
	})
}

func TestAnInstanceThatStopsLooksAfterNoGroups(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	i := newInstance(ctx, Config{Settings: Settings{Name: "entry-1", DataCentre: "a", RetryWindow: time.Second}, Metrics: telemetry.NewMetrics()})
	i.started = time.Now().Add(-2 * meetingTime)
	cancel()
	g.Expect(i.acting()).To(BeFalse())
}
