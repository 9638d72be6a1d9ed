package listing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/roster"
)

func TestNewer(t *testing.T) {
	for _, c := range []struct {
		name    string
		s, than Statement
		want    bool
	}{
		{"has read further, earlier", Statement{End: 10, At: 1}, Statement{End: 9, At: 2}, true},
		{"has read less, later", Statement{End: 9, At: 2}, Statement{End: 10, At: 1}, false},
		{"has read as far, later", Statement{End: 9, At: 2}, Statement{End: 9, At: 1}, true},
		{"an older release's, later", Statement{At: 2}, Statement{End: 9, At: 1}, true},
		{"an older release's, earlier", Statement{At: 1}, Statement{End: 9, At: 2}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(c.s.Newer(c.than)).To(Equal(c.want))
		})
	}
}

// What a keeper names is not undone by an own read that ends before it.
func TestANamedRemovalGoesBeforeAnOlderRecord(t *testing.T) {
	for _, c := range []struct {
		name string
		gone Departure
		want []string
	}{
		{"removed", Departure{ID: "w", Offset: 9}, nil},
		{"draining", Departure{ID: "w", Offset: 9, Draining: true}, []string{"w draining true"}},
		{"removed before it registered", Departure{ID: "w", Offset: 4}, []string{"w draining false"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l, _ := New(Rules{}).WithRead(Batch{Full: true, End: 3, Ended: 1})
			l, _ = l.WithAnnouncement("a", Announcement{Statement: Statement{End: 10, At: 2}, Departures: []Departure{c.gone}})
			l, _ = l.WithRead(Batch{Records: []Record{{ID: "w", Offset: 5, Server: roster.Server{ID: "w"}}}, End: 6, Ended: 3})
			var got []string
			for _, s := range l.Roster().All() {
				got = append(got, fmt.Sprintf("%s draining %v", s.ID, s.Draining))
			}
			g.Expect(got).To(Equal(c.want))
		})
	}
}

func TestGoneIsToldForAWhile(t *testing.T) {
	g := NewWithT(t)
	l, _ := New(Rules{}).WithRead(Batch{Records: []Record{{ID: "w", Offset: 1}, {ID: "v", Offset: 2}}, Full: true, End: 3, Ended: time.Second})
	l, _ = l.WithRead(Batch{Records: []Record{{ID: "w", Offset: 3, Removed: true}}, End: 4, Ended: 2 * time.Second})
	g.Expect(l.RecentDepartures(2 * time.Second)).To(HaveExactElements(Departure{ID: "w", Offset: 3}))
	g.Expect(l.RecentDepartures(2*time.Second + tellFor + 1)).To(BeEmpty())
}

func Example() {
	list := New(Rules{OutageThreshold: 2400 * time.Millisecond, Grace: 2 * time.Second, MaxAnnouncementAge: time.Second})
	list, _ = list.WithRead(Batch{Records: []Record{{ID: "w", Offset: 7, Server: roster.Server{ID: "w"}}}, Full: true, End: 8, Ended: time.Second})
	list, changes := list.WithAnnouncement("eu-1", Announcement{
		Statement:  Statement{Source: Word, From: "entry-2", End: 10, At: 2 * time.Second},
		Departures: []Departure{{ID: "w", Offset: 9}},
	})
	fmt.Println(changes[0].Server.ID, changes[0].Event, changes[0].By.From, list.Roster().Len())
	// Output: w Removed entry-2 0
}
