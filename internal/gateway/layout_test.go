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

// An instance that hears a keeper doesn't read the platform's list itself. When
// the keeper falls silent, the list that it has may name workers that have left
// long ago; what the keeper told last is newer.
func TestPlacesFollowTheNewerKnowledge(t *testing.T) {
	listed := []listing.Record{{ID: "left", Server: roster.Server{ID: "left", Service: "desk", DataCentre: "a"}}}
	told := []dispatch.Place{{ID: "stays", Service: "desk", DataCentre: "a"}}
	for _, c := range []struct {
		name       string
		list, told time.Duration
		want       string
	}{
		{"a keeper that was heard just now", 0, 10 * time.Second, "stays"},
		{"an old list against a keeper that fell silent", time.Second, 6 * time.Second, "stays"},
		{"a list that was read since", 8 * time.Second, 6 * time.Second, "left"},
		{"a keeper that tells of its groups before the list does", 10 * time.Second, 9500 * time.Millisecond, "stays"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			list, _ := listing.New(listing.Rules{MaxAnnouncementAge: time.Second}).WithRead(listing.Batch{Records: listed, Full: true, Ended: c.list})
			list, _ = list.WithAnnouncement("a", listing.Announcement{Statement: listing.Statement{Source: listing.Word, At: c.told}, Places: told})
			l := Layout{
				Catalog: catalog.New(catalog.Content{Services: []catalog.Service{{Name: "desk"}}}),
				List:    list, Now: 10 * time.Second,
				Closed: func(string) bool { return false },
			}
			places := l.Places()
			g.Expect(places).To(HaveLen(1))
			g.Expect(places[0].ID).To(Equal(c.want))
		})
	}
}

// A keeper knows that a head serves another model before the platform's list does.
func TestAPlacesModelIsThatOfTheGroupThatTheKeeperSawOpen(t *testing.T) {
	g := NewWithT(t)
	engine := &catalog.Engine{Models: []catalog.Model{{Name: "old"}, {Name: "new"}}}
	list, _ := listing.New(listing.Rules{}).WithRead(listing.Batch{Full: true, Records: []listing.Record{{ID: "w", Server: roster.Server{
		ID: "w", Service: "pool", DataCentre: "a", Membership: roster.Membership{Group: "old.1", Epoch: 3, Rank: 1, State: roster.Ready},
	}}}})
	l := Layout{
		Catalog:         catalog.New(catalog.Content{Services: []catalog.Service{{Name: "pool", Engine: engine}}}),
		List:            list,
		HeadsDataCentre: "a", Heads: map[string]roster.Membership{"w": {Group: "new.2", Epoch: 4, State: roster.Open}},
		Closed: func(string) bool { return false },
	}
	g.Expect(l.Places()).To(HaveExactElements(And(HaveField("ID", "w"), HaveField("Model", "new"))))
	l.Heads = map[string]roster.Membership{}
	g.Expect(l.Places()).To(BeEmpty(), "the keeper saw no open head")
}
