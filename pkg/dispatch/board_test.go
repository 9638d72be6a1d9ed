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

func newHead(id, dataCentre string) dispatch.Place {
	return dispatch.Place{ID: id, Service: "pool", Model: "m", DataCentre: dataCentre, Slots: 2}
}

func newTicket(latestStart time.Duration) *dispatch.Ticket {
	return &dispatch.Ticket{
		Service: "pool", Model: "m", DataCentre: "a", PromptTokens: 100, LatestOnTimeStart: start.Add(latestStart), LatestStart: start.Add(latestStart),
	}
}

func newScheduler(places ...dispatch.Place) *dispatch.Scheduler {
	scheduler := &dispatch.Scheduler{}
	scheduler.SetPlaces(start, places)
	return scheduler
}

func TestOffer(t *testing.T) {
	t.Run("no place serves the model", func(t *testing.T) {
		g := NewWithT(t)
		d := newScheduler().Offer(start, newTicket(time.Second))
		g.Expect(d.Verdict).To(Equal(dispatch.Refuse))
		g.Expect(d.Reason).To(Equal(dispatch.ReasonNoPlace))
		g.Expect(d.RetryAfter).To(BeNumerically(">", 0))
	})
	t.Run("prefers the local data centre", func(t *testing.T) {
		g := NewWithT(t)
		d := newScheduler(newHead("far", "b"), newHead("near", "a")).Offer(start, newTicket(time.Second))
		g.Expect(d.Place.ID).To(Equal("near"))
	})
	t.Run("prefers another data centre if the local one is fuller", func(t *testing.T) {
		g := NewWithT(t)
		scheduler := newScheduler(newHead("far", "b"), newHead("near", "a"))
		scheduler.SetPeerLoads(start, "entry-2", map[string]dispatch.Load{"near": {Running: 1}})
		g.Expect(scheduler.Offer(start, newTicket(time.Second)).Place.ID).To(Equal("far"))
	})
	t.Run("avoids a place that failed the request", func(t *testing.T) {
		g := NewWithT(t)
		q := newTicket(time.Second)
		q.Tried = []string{"near"}
		g.Expect(newScheduler(newHead("far", "b"), newHead("near", "a")).Offer(start, q).Place.ID).To(Equal("far"))
	})
	t.Run("avoids a place until the given time", func(t *testing.T) {
		g := NewWithT(t)
		scheduler := newScheduler(newHead("near", "a"))
		scheduler.AvoidUntil("near", start.Add(time.Second))
		g.Expect(scheduler.Offer(start, newTicket(time.Second)).Verdict).To(Equal(dispatch.Wait))
		g.Expect(scheduler.AssignWaiting(start.Add(999 * time.Millisecond))).To(BeEmpty())
	})
	t.Run("refuses after the latest start", func(t *testing.T) {
		g := NewWithT(t)
		scheduler := newScheduler(newHead("near", "a"))
		fill(scheduler, 2)
		g.Expect(scheduler.Offer(start, newTicket(0)).Verdict).To(Equal(dispatch.Refuse))
	})
}

// fill offers n tickets and returns those that run.
func fill(scheduler *dispatch.Scheduler, n int) []*dispatch.Ticket {
	var taken []*dispatch.Ticket
	for range n {
		q := newTicket(time.Second)
		if scheduler.Offer(start, q).Verdict == dispatch.Run {
			taken = append(taken, q)
		}
	}
	return taken
}

// With more requests than slots, requests that can meet their objective run first,
// then the more urgent ones, then the earlier ones. A free slot is used at once, and
// each ticket runs in the end.
func TestOverload(t *testing.T) {
	g := NewWithT(t)
	scheduler := newScheduler(newHead("near", "a"))
	running := fill(scheduler, 2)
	late := newTicket(10 * time.Millisecond)
	late.LatestStart = start.Add(time.Second)
	urgent, first, second := newTicket(time.Second), newTicket(time.Second), newTicket(time.Second)
	urgent.Priority, first.Priority, second.Priority = 0, 1, 1
	first.Arrived = start.Add(-time.Millisecond)
	for _, q := range []*dispatch.Ticket{late, second, first, urgent} {
		g.Expect(scheduler.Offer(start, q).Verdict).To(Equal(dispatch.Wait))
	}
	now := start.Add(50 * time.Millisecond)
	var order []*dispatch.Ticket
	for len(order) < 4 {
		scheduler.Done(now, running[0], dispatch.Served, 50*time.Millisecond)
		got := scheduler.AssignWaiting(now)
		g.Expect(got).To(HaveLen(1))
		running = append(running[1:], got[0])
		order = append(order, got[0])
	}
	g.Expect(order).To(Equal([]*dispatch.Ticket{urgent, first, second, late}))
}

func TestWaitingTicketsExpire(t *testing.T) {
	g := NewWithT(t)
	scheduler := newScheduler(newHead("near", "a"))
	fill(scheduler, 2)
	q := newTicket(100 * time.Millisecond)
	g.Expect(scheduler.Offer(start, q).Verdict).To(Equal(dispatch.Wait))
	g.Expect(scheduler.RemoveExpired(start.Add(99 * time.Millisecond))).To(BeEmpty())
	g.Expect(scheduler.RemoveExpired(start.Add(100 * time.Millisecond))).To(ConsistOf(q))
	g.Expect(scheduler.RemoveExpired(start.Add(time.Second))).To(BeEmpty())
	t.Run("at once when there are no places any more", func(t *testing.T) {
		g := NewWithT(t)
		q := newTicket(time.Second)
		g.Expect(scheduler.Offer(start, q).Verdict).To(Equal(dispatch.Wait))
		scheduler.SetPlaces(start, nil)
		g.Expect(scheduler.RemoveExpired(start)).To(ConsistOf(q))
	})
}

// The requests of peers take up slots too, so that clients may be spread unevenly.
// The load of a peer that has sent no report for a while no longer counts.
func TestPeerLoadTakesSlots(t *testing.T) {
	g := NewWithT(t)
	scheduler := newScheduler(newHead("near", "a"))
	scheduler.SetPeerLoads(start, "entry-2", map[string]dispatch.Load{"near": {Running: 1}})
	scheduler.SetPeerLoads(start, "entry-3", map[string]dispatch.Load{"near": {Running: 1}})
	g.Expect(scheduler.Offer(start, newTicket(time.Second)).Verdict).To(Equal(dispatch.Wait))
	scheduler.SetPeerLoads(start.Add(2*time.Second), "entry-3", nil)
	g.Expect(scheduler.AssignWaiting(start.Add(500 * time.Millisecond))).To(HaveLen(1))
}

// Workers that fail some of their requests get fewer requests until their failures
// are long past.
func TestFailingPlacesGetFewerRequests(t *testing.T) {
	g := NewWithT(t)
	scheduler := newScheduler(newHead("bad", "a"), newHead("good", "b"))
	for range 3 {
		q := newTicket(time.Second)
		g.Expect(scheduler.Offer(start, q).Verdict).To(Equal(dispatch.Run))
		result := dispatch.Served
		if q.Place().ID == "bad" {
			result = dispatch.Failed
		}
		scheduler.Done(start, q, result, time.Millisecond)
	}
	g.Expect(scheduler.Offer(start, newTicket(time.Second)).Place.ID).To(Equal("good"))
	later := start.Add(time.Minute)
	g.Expect(scheduler.Offer(later, newTicket(2*time.Minute)).Place.ID).To(Equal("bad"), "it is local, and its failures are long past")
}

// All instances together must keep the rate limit of a worker in cold start.
func TestColdPlacesKeepTheirRateLimit(t *testing.T) {
	for _, instances := range []int{1, 4, 9} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			g := NewWithT(t)
			const rate = 8
			sent := 0
			for range instances {
				cold := newHead("cold", "a")
				cold.Slots, cold.ColdRate, cold.ColdUntil = 1000, rate, start.Add(3*time.Second)
				scheduler := newScheduler(cold)
				scheduler.Instances = instances
				for ms := range 1000 {
					if scheduler.Offer(start.Add(time.Duration(ms)*time.Millisecond), newTicket(time.Minute)).Verdict == dispatch.Run {
						sent++
					}
					scheduler.AssignWaiting(start.Add(time.Duration(ms) * time.Millisecond))
				}
			}
			g.Expect(sent).To(BeNumerically("<=", rate+instances), "the rate, and a first request from each instance")
		})
	}
}

// When a burst arrives at all instances at once, a place in cold start must not get
// more requests than its limit, even if no instance has sent there for a while. The
// danger is that unused turns add up.
func TestColdPlacesKeepTheirRateLimitInABurst(t *testing.T) {
	const (
		rate  = 26.0
		bound = 1.5*rate + 5 // requests in one second, as required by the users
		cold  = 3 * time.Second
	)
	for _, instances := range []int{1, 9, 63, 72, 300} {
		for _, quiet := range []time.Duration{0, time.Second, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d instances after %s", instances, quiet), func(t *testing.T) {
				g := NewWithT(t)
				sent := 0
				random := rand.New(rand.NewPCG(1, uint64(instances)))
				for range instances {
					p := newHead("cold", "a")
					p.Slots, p.ColdRate, p.ColdUntil = 1000, rate, start.Add(cold)
					scheduler := newScheduler(p)
					scheduler.Instances, scheduler.Random, scheduler.MaxWaiting = instances, random.Float64, 1
					scheduler.Offer(start, newTicket(time.Millisecond))
					for ms := 0; ms < 1000; ms += 10 {
						now := start.Add(quiet + time.Duration(ms)*time.Millisecond)
						scheduler.RemoveExpired(now)
						if scheduler.Offer(now, newTicket(time.Minute)).Verdict == dispatch.Run {
							sent++
						}
						sent += len(scheduler.AssignWaiting(now))
					}
				}
				g.Expect(float64(sent)).To(BeNumerically("<=", bound))
				g.Expect(sent).To(BeNumerically(">", 0))
			})
		}
	}
}

// BenchmarkOffer offers tickets to 27 heads of 162 workers with the loads of 72 instances.
func BenchmarkOffer(b *testing.B) {
	var places []dispatch.Place
	for n := range 27 {
		p := newHead(fmt.Sprintf("head-%d", n), string(rune('a'+n%3)))
		p.Slots = 48
		places = append(places, p)
	}
	loaded := newScheduler(places...)
	for n := range 72 {
		loads := map[string]dispatch.Load{}
		for _, p := range places {
			loads[p.ID] = dispatch.Load{Running: n % 2}
		}
		loaded.SetPeerLoads(start, fmt.Sprintf("entry-%d", n), loads)
	}
	q := newTicket(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		if loaded.Offer(start, q).Verdict == dispatch.Run {
			loaded.Done(start, q, dispatch.Served, time.Second)
		}
	}
}
