package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
	"github.com/chicorystall/chicorystall/pkg/listing"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// An instance that receives digests from a keeper doesn't read the platform's list
// itself. So when the keeper becomes unreachable, the instance's list may be older than
// the last announcement and name workers that have left since.
func TestPlacesFollowNewerOfListAndAnnouncement(t *testing.T) {
	listed := []listing.Record{{ID: "left", Server: roster.Server{ID: "left", Service: "desk", DataCentre: "a"}}}
	announced := []dispatch.Place{{ID: "stays", Service: "desk", DataCentre: "a"}}
	for _, c := range []struct {
		name                string
		listRead, announced time.Duration
		want                string
	}{
		{"reachable keeper", 0, 10 * time.Second, "stays"},
		{"unreachable keeper and an older list", time.Second, 6 * time.Second, "stays"},
		{"unreachable keeper and a newer list", 8 * time.Second, 6 * time.Second, "left"},
		{"announcement of groups that are not in the list yet", 10 * time.Second, 9500 * time.Millisecond, "stays"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			list, _ := listing.New(listing.Rules{MaxAnnouncementAge: time.Second}).WithRead(listing.Batch{Records: listed, Full: true, Ended: c.listRead})
			list, _ = list.WithAnnouncement("a", listing.Announcement{Statement: listing.Statement{Source: listing.Word, At: c.announced}, Places: announced})
			l := Layout{
				Catalog: catalog.New(catalog.Content{Services: []catalog.Service{{Name: "desk"}}}),
				List:    list, Now: 10 * time.Second,
				TakenOut: func(string) bool { return false },
			}
			places := l.Places()
			g.Expect(places).To(HaveLen(1))
			g.Expect(places[0].ID).To(Equal(c.want))
		})
	}
}

// A keeper knows a head's new model before the platform's list shows it. Places
// based on the list would send requests to the wrong model.
func TestPlaceModelComesFromKeepersOpenGroup(t *testing.T) {
	g := NewWithT(t)
	engine := &catalog.Engine{Models: []catalog.Model{{Name: "old"}, {Name: "new"}}}
	list, _ := listing.New(listing.Rules{}).WithRead(listing.Batch{Full: true, Records: []listing.Record{{ID: "w", Server: roster.Server{
		ID: "w", Service: "pool", DataCentre: "a", Membership: roster.Membership{Group: "old.1", Epoch: 3, Rank: 1, State: roster.Ready},
	}}}})
	l := Layout{
		Catalog:         catalog.New(catalog.Content{Services: []catalog.Service{{Name: "pool", Engine: engine}}}),
		List:            list,
		HeadsDataCentre: "a", Heads: map[string]roster.Membership{"w": {Group: "new.2", Epoch: 4, State: roster.Open}},
		TakenOut: func(string) bool { return false },
	}
	g.Expect(l.Places()).To(HaveExactElements(And(HaveField("ID", "w"), HaveField("Model", "new"))))
	l.Heads = map[string]roster.Membership{}
	g.Expect(l.Places()).To(BeEmpty(), "the keeper knows no open head")
}

// The instances that hear a keeper don't read the list themselves. They must know the run
// of an announced place all the same, since a server's word that it leaves binds its run.
func TestAnnouncedPlaceHasTheLatestRun(t *testing.T) {
	for _, c := range []struct {
		name              string
		listed, announced int64
		want              int64
	}{
		{"not in the own list", 0, 2, 2},
		{"an earlier run in the own list", 1, 2, 2},
		{"a later run in the own list", 3, 2, 3},
		{"announced by an older release", 1, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			read := listing.Batch{Full: true}
			if c.listed > 0 {
				read.Records = []listing.Record{{ID: "w", Server: roster.Server{ID: "w", Service: "desk", DataCentre: "a", StartUnixMilli: c.listed}}}
			}
			list, _ := listing.New(listing.Rules{}).WithRead(read)
			list, _ = list.WithAnnouncement("a", listing.Announcement{
				Statement: listing.Statement{Source: listing.Word, At: 10 * time.Second},
				Places:    []dispatch.Place{{ID: "w", Service: "desk", DataCentre: "a", Run: c.announced}},
			})
			l := Layout{
				Catalog: catalog.New(catalog.Content{Services: []catalog.Service{{Name: "desk"}}}),
				List:    list, Now: 10 * time.Second,
				TakenOut: func(string) bool { return false },
			}
			NewWithT(t).Expect(l.Places()).To(HaveExactElements(HaveField("Run", c.want)))
		})
	}
}
