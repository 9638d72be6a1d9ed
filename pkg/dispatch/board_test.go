package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

var start = time.Unix(1_000_000, 0)

func head(id, dataCentre string) dispatch.Place {
	return dispatch.Place{ID: id, Service: "pool", Model: "m", DataCentre: dataCentre, Slots: 2}
}

func ticket(onTime time.Duration) *dispatch.Ticket {
	return &dispatch.Ticket{
		Service: "pool", Model: "m", DataCentre: "a", PromptTokens: 100, LatestOnTimeStart: start.Add(onTime), LatestStart: start.Add(onTime),
	}
}

func board(places ...dispatch.Place) *dispatch.Scheduler {
	b := &dispatch.Scheduler{}
	b.SetPlaces(start, places)
	return b
}

func TestOffer(t *testing.T) {
	t.Run("no place serves the model", func(t *testing.T) {
		g := NewWithT(t)
		d := board().Offer(start, ticket(time.Second))
		g.Expect(d.Verdict).To(Equal(dispatch.Refuse))
		g.Expect(d.Reason).To(Equal(dispatch.ReasonNoPlace))
		g.Expect(d.RetryAfter).To(BeNumerically(">", 0))
	})
	t.Run("the data centre at hand first", func(t *testing.T) {
		g := NewWithT(t)
		d := board(head("far", "b"), head("near", "a")).Offer(start, ticket(time.Second))
		g.Expect(d.Place.ID).To(Equal("near"))
	})
	t.Run("another one when it is fuller", func(t *testing.T) {
		g := NewWithT(t)
		b := board(head("far", "b"), head("near", "a"))
		b.SetPeerLoads(start, "entry-2", map[string]dispatch.Load{"near": {Running: 1}})
		g.Expect(b.Offer(start, ticket(time.Second)).Place.ID).To(Equal("far"))
	})
	t.Run("never a place that failed it", func(t *testing.T) {
		g := NewWithT(t)
		q := ticket(time.Second)
		q.Tried = []string{"near"}
		g.Expect(board(head("far", "b"), head("near", "a")).Offer(start, q).Place.ID).To(Equal("far"))
	})
	t.Run("not one in doubt", func(t *testing.T) {
		g := NewWithT(t)
		b := board(head("near", "a"))
		b.AvoidUntil("near", start.Add(time.Second))
		g.Expect(b.Offer(start, ticket(time.Second)).Verdict).To(Equal(dispatch.Wait))
		g.Expect(b.AssignWaiting(start.Add(999 * time.Millisecond))).To(BeEmpty())
	})
	t.Run("too late to start", func(t *testing.T) {
		g := NewWithT(t)
		b := board(head("near", "a"))
		fill(b, 2)
		g.Expect(b.Offer(start, ticket(0)).Verdict).To(Equal(dispatch.Refuse))
	})
}

// fill takes n places.
func fill(b *dispatch.Scheduler, n int) []*dispatch.Ticket {
	var taken []*dispatch.Ticket
	for range n {
		q := ticket(time.Second)
		if b.Offer(start, q).Verdict == dispatch.Run {
			taken = append(taken, q)
		}
	}
	return taken
}

// More work than places: those on time go first, then the more urgent, then the
// earlier; nothing is kept back while a place is free, and each ticket ends.
func TestOverload(t *testing.T) {
	g := NewWithT(t)
	b := board(head("near", "a"))
	running := fill(b, 2)
	late := ticket(10 * time.Millisecond)
	late.LatestStart = start.Add(time.Second)
	urgent, first, second := ticket(time.Second), ticket(time.Second), ticket(time.Second)
	urgent.Priority, first.Priority, second.Priority = 0, 1, 1
	first.Arrived = start.Add(-time.Millisecond)
	for _, q := range []*dispatch.Ticket{late, second, first, urgent} {
		g.Expect(b.Offer(start, q).Verdict).To(Equal(dispatch.Wait))
	}
	now := start.Add(50 * time.Millisecond)
	var order []*dispatch.Ticket
	for len(order) < 4 {
		b.Done(now, running[0], dispatch.Served, 50*time.Millisecond)
		got := b.AssignWaiting(now)
		g.Expect(got).To(HaveLen(1))
		running = append(running[1:], got[0])
		order = append(order, got[0])
	}
	g.Expect(order).To(Equal([]*dispatch.Ticket{urgent, first, second, late}))
}

func TestTicketsExpire(t *testing.T) {
	g := NewWithT(t)
	b := board(head("near", "a"))
	fill(b, 2)
	q := ticket(100 * time.Millisecond)
	g.Expect(b.Offer(start, q).Verdict).To(Equal(dispatch.Wait))
	g.Expect(b.RemoveExpired(start.Add(99 * time.Millisecond))).To(BeEmpty())
	g.Expect(b.RemoveExpired(start.Add(100 * time.Millisecond))).To(ConsistOf(q))
	g.Expect(b.RemoveExpired(start.Add(time.Second))).To(BeEmpty())
	t.Run("at once when no place is left", func(t *testing.T) {
		g := NewWithT(t)
		q := ticket(time.Second)
		g.Expect(b.Offer(start, q).Verdict).To(Equal(dispatch.Wait))
		b.SetPlaces(start, nil)
		g.Expect(b.RemoveExpired(start)).To(ConsistOf(q))
	})
}

// Uneven shares of clients: what the neighbours run takes places, until they
// have not been heard of for a while.
func TestNeighboursTakePlaces(t *testing.T) {
	g := NewWithT(t)
	b := board(head("near", "a"))
	b.SetPeerLoads(start, "entry-2", map[string]dispatch.Load{"near": {Running: 1}})
	b.SetPeerLoads(start, "entry-3", map[string]dispatch.Load{"near": {Running: 1}})
	g.Expect(b.Offer(start, ticket(time.Second)).Verdict).To(Equal(dispatch.Wait))
	b.SetPeerLoads(start.Add(2*time.Second), "entry-3", nil)
	g.Expect(b.AssignWaiting(start.Add(500 * time.Millisecond))).To(HaveLen(1))
}

// Workers that fail part of what they get lose their share, and get it back.
func TestFailingPlaces(t *testing.T) {
	g := NewWithT(t)
	b := board(head("bad", "a"), head("good", "b"))
	for range 3 {
		q := ticket(time.Second)
		g.Expect(b.Offer(start, q).Verdict).To(Equal(dispatch.Run))
		result := dispatch.Served
		if q.Place().ID == "bad" {
			result = dispatch.Failed
		}
		b.Done(start, q, result, time.Millisecond)
	}
	g.Expect(b.Offer(start, ticket(time.Second)).Place.ID).To(Equal("good"))
	later := start.Add(time.Minute)
	g.Expect(b.Offer(later, ticket(2*time.Minute)).Place.ID).To(Equal("bad"), "at hand, and its failures are long ago")
}

// A worker in cold start bears a rate from all instances together.
func TestColdPlaces(t *testing.T) {
	for _, instances := range []int{1, 4, 9} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			g := NewWithT(t)
			const rate = 8
			sent := 0
			for range instances {
				cold := head("cold", "a")
				cold.Slots, cold.ColdRate, cold.ColdUntil = 1000, rate, start.Add(3*time.Second)
				b := board(cold)
				b.Instances = instances
				for ms := range 1000 {
					if b.Offer(start.Add(time.Duration(ms)*time.Millisecond), ticket(time.Minute)).Verdict == dispatch.Run {
						sent++
					}
					b.AssignWaiting(start.Add(time.Duration(ms) * time.Millisecond))
				}
			}
			g.Expect(sent).To(BeNumerically("<=", rate+instances), "the rate, and one each to begin with")
		})
	}
}

// Work that comes to all instances at once finds a cold place with no more turns
// than it bears in a second, also when none of them has sent there for a while.
func TestColdPlacesUnderABurst(t *testing.T) {
	const (
		rate  = 26.0
		bound = 1.5*rate + 5 // requests in a second, of the users' bounds
		cold  = 3 * time.Second
	)
	for _, instances := range []int{1, 9, 63, 72, 300} {
		for _, quiet := range []time.Duration{0, time.Second, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d instances after %s", instances, quiet), func(t *testing.T) {
				g := NewWithT(t)
				sent := 0
				random := rand.New(rand.NewPCG(1, uint64(instances)))
				for range instances {
					p := head("cold", "a")
					p.Slots, p.ColdRate, p.ColdUntil = 1000, rate, start.Add(cold)
					b := board(p)
					b.Instances, b.Random, b.MaxWaiting = instances, random.Float64, 1
					b.Offer(start, ticket(time.Millisecond))
					for ms := 0; ms < 1000; ms += 10 {
						now := start.Add(quiet + time.Duration(ms)*time.Millisecond)
						b.RemoveExpired(now)
						if b.Offer(now, ticket(time.Minute)).Verdict == dispatch.Run {
							sent++
						}
						sent += len(b.AssignWaiting(now))
					}
				}
				g.Expect(float64(sent)).To(BeNumerically("<=", bound))
				g.Expect(sent).To(BeNumerically(">", 0))
			})
		}
	}
}

// BenchmarkOffer decides among the heads of 162 workers with the loads of 72 instances.
func BenchmarkOffer(b *testing.B) {
	var places []dispatch.Place
	for n := range 27 {
		p := head(fmt.Sprintf("head-%d", n), string(rune('a'+n%3)))
		p.Slots = 48
		places = append(places, p)
	}
	x := board(places...)
	for n := range 72 {
		loads := map[string]dispatch.Load{}
		for _, p := range places {
			loads[p.ID] = dispatch.Load{Running: n % 2}
		}
		x.SetPeerLoads(start, fmt.Sprintf("entry-%d", n), loads)
	}
	q := ticket(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		if x.Offer(start, q).Verdict == dispatch.Run {
			x.Done(start, q, dispatch.Served, time.Second)
		}
	}
}
