package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/dispatch"
	"github.com/chicorystall/chicorystall/pkg/ratelimit"
)

// wideHead returns a head with more slots than any test here uses.
func wideHead(id string, run int64) dispatch.Place {
	p := headOfRun(id, run)
	p.Slots = 40
	return p
}

// newLimitedScheduler returns a scheduler with the heads "h" and, if open, "other", where h
// named a limit of 2 requests per second long enough ago for it to have room.
func newLimitedScheduler(open bool) (s *dispatch.Scheduler, now time.Time) {
	places := []dispatch.Place{wideHead("h", 1)}
	if open {
		places = append(places, wideHead("other", 1))
	}
	s = newScheduler(places...)
	s.NoteLimit(start, "h", 1, 2)
	return s, start.Add(10 * time.Second)
}

// offerAt offers a ticket that can wait for 100 ms.
func offerAt(s *dispatch.Scheduler, now time.Time) dispatch.Decision {
	return s.Offer(now, newTicket(now.Sub(start)+100*time.Millisecond))
}

func TestLimitedPlace(t *testing.T) {
	t.Run("takes what its limit allows, and another place the rest", func(t *testing.T) {
		g := NewWithT(t)
		s, now := newLimitedScheduler(true)
		sent := map[string]int{}
		for range 20 {
			d := offerAt(s, now)
			g.Expect(d.Verdict).To(Equal(dispatch.Run))
			sent[d.Place.ID]++
		}
		g.Expect(sent["h"]).To(BeNumerically("<=", 2))
		g.Expect(sent["other"]).To(BeNumerically(">=", 18))
	})
	t.Run("alone, makes requests wait or refuses them at once", func(t *testing.T) {
		g := NewWithT(t)
		s, now := newLimitedScheduler(false)
		verdicts := map[dispatch.Verdict]int{}
		for range 20 {
			d := offerAt(s, now)
			verdicts[d.Verdict]++
			if d.Verdict == dispatch.Refuse {
				g.Expect(d.Reason).To(Equal(dispatch.ReasonLimited))
				g.Expect(d.RetryAfter).To(BeNumerically(">=", 500*time.Millisecond), "the time until its turn by the limit")
			}
		}
		g.Expect(verdicts[dispatch.Run]).To(Equal(2))
		g.Expect(verdicts[dispatch.Wait]).To(Equal(1))
		g.Expect(verdicts[dispatch.Refuse]).To(Equal(17))
	})
	t.Run("counts attempts that are handed over", func(t *testing.T) {
		g := NewWithT(t)
		s, now := newLimitedScheduler(false)
		assigned := 0
		for range 20 {
			if _, ok := s.TryAssign(now, newTicket(now.Sub(start)+time.Second)); ok {
				assigned++
			}
		}
		g.Expect(assigned).To(Equal(2))
	})
	t.Run("takes all again once it names no limit", func(t *testing.T) {
		g := NewWithT(t)
		s, now := newLimitedScheduler(false)
		g.Expect(s.NoteUnlimited(now, "h", 1)).To(BeTrue())
		for range 6 {
			g.Expect(offerAt(s, now).Verdict).To(Equal(dispatch.Run))
		}
	})
	t.Run("in a new run has no limit", func(t *testing.T) {
		g := NewWithT(t)
		s, now := newLimitedScheduler(false)
		s.SetPlaces(now, []dispatch.Place{wideHead("h", 2)})
		for range 6 {
			g.Expect(offerAt(s, now).Verdict).To(Equal(dispatch.Run))
		}
	})
	t.Run("is left to the peers that use it", func(t *testing.T) {
		g := NewWithT(t)
		s, now := newLimitedScheduler(false)
		s.Instances = 2
		s.MergeLimits(now, "peer", []ratelimit.Report{{Server: "h", Run: 1, PerSecond: 2, Sent: 4, Demand: 9, Instances: 1}})
		g.Expect(offerAt(s, now).Verdict).To(Equal(dispatch.Wait))
	})
	t.Run("tells which limit decided", func(t *testing.T) {
		g := NewWithT(t)
		s, now := newLimitedScheduler(false)
		g.Expect(offerAt(s, now).Limit).To(Equal(&ratelimit.Limit{PerSecond: 2, Age: 10 * time.Second, Part: 2}))
	})
	t.Run("tells which limit decided after a wait", func(t *testing.T) {
		g := NewWithT(t)
		s, now := newLimitedScheduler(false)
		waiting := newTicket(now.Sub(start) + time.Second)
		for s.Offer(now, waiting).Verdict == dispatch.Run {
			waiting = newTicket(now.Sub(start) + time.Second)
		}
		now = now.Add(900 * time.Millisecond)
		g.Expect(s.AssignWaiting(now)).To(HaveExactElements(waiting))
		g.Expect(s.Assigned(now, waiting).Limit).To(HaveField("PerSecond", 2.0))
	})
	t.Run("counts as fully used at its limit", func(t *testing.T) {
		g := NewWithT(t)
		s, now := newLimitedScheduler(false)
		ticket := newTicket(now.Sub(start) + time.Second)
		s.Offer(now, ticket)
		s.Done(now, ticket, dispatch.Served, 500*time.Millisecond)
		g.Expect(s.Utilization(now, "pool", "m")).To(BeZero())
		g.Expect(offerAt(s, now).Verdict).To(Equal(dispatch.Run))
		g.Expect(s.Utilization(now, "pool", "m")).To(Equal(1.0))
	})
}
