package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

// headOfRun returns a head in a run of its server.
func headOfRun(id string, run int64) dispatch.Place {
	p := newHead(id, "a")
	p.Run = run
	return p
}

func TestBarredPlaceGetsNoRequests(t *testing.T) {
	for _, c := range []struct {
		name       string
		say        func(*dispatch.Scheduler)
		run        int64 // of the place when the request comes
		after      time.Duration
		wantBarred bool
	}{
		{"says nothing", func(*dispatch.Scheduler) {}, 1, 0, false},
		{"leaves", func(s *dispatch.Scheduler) { s.NoteLeaving(start, "h", 1) }, 1, time.Minute, true},
		{"leaves, and is listed without its run", func(s *dispatch.Scheduler) { s.NoteLeaving(start, "h", 1) }, 0, time.Minute, true},
		{"left, and a new run has its ID", func(s *dispatch.Scheduler) { s.NoteLeaving(start, "h", 1) }, 2, 0, false},
		{"rests", func(s *dispatch.Scheduler) { s.NoteRest(start, "h", 1, 5*time.Second) }, 1, 4 * time.Second, true},
		{"has rested", func(s *dispatch.Scheduler) { s.NoteRest(start, "h", 1, 5*time.Second) }, 1, 5 * time.Second, false},
		{"rested, and a new run has its ID", func(s *dispatch.Scheduler) { s.NoteRest(start, "h", 1, 5*time.Second) }, 2, 0, false},
		{"asks for a shorter rest later", func(s *dispatch.Scheduler) {
			s.NoteRest(start, "h", 1, 5*time.Second)
			s.NoteRest(start, "h", 1, time.Second)
		}, 1, 4 * time.Second, true},
		{"asks for a rest without end", func(s *dispatch.Scheduler) { s.NoteRest(start, "h", 1, 1<<62) }, 1, 10 * time.Minute, false},
		{"leaves, and asks for a rest", func(s *dispatch.Scheduler) {
			s.NoteLeaving(start, "h", 1)
			s.NoteRest(start, "h", 1, time.Second)
		}, 1, time.Minute, true},
		{"another server leaves", func(s *dispatch.Scheduler) { s.NoteLeaving(start, "other", 1) }, 1, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newScheduler(headOfRun("h", c.run))
			c.say(s)
			// A place that is taken from the list and put on it again is barred as before.
			s.SetPlaces(start, nil)
			s.SetPlaces(start, []dispatch.Place{headOfRun("h", c.run)})
			q := newTicket(c.after + time.Second)
			d := s.Offer(start.Add(c.after), q)
			g.Expect(d.Verdict == dispatch.Run).To(Equal(!c.wantBarred), "%+v", d)
		})
	}
}

func TestAllPlacesBarred(t *testing.T) {
	rest := func(ids ...string) func(*dispatch.Scheduler) {
		return func(s *dispatch.Scheduler) {
			for n, id := range ids {
				s.NoteRest(start, id, 1, time.Duration(n+1)*2*time.Second)
			}
		}
	}
	for _, c := range []struct {
		name       string
		say        func(*dispatch.Scheduler)
		latest     time.Duration
		want       dispatch.Verdict
		reason     string
		retryAfter time.Duration
	}{
		{"one isn't", rest("h1"), time.Second, dispatch.Run, "", 0},
		{"until after the latest start", rest("h1", "h2"), time.Second, dispatch.Refuse, dispatch.ReasonResting, 2 * time.Second},
		{"until before the latest start", rest("h1", "h2"), 3 * time.Second, dispatch.Wait, "", 0},
		{"they leave", func(s *dispatch.Scheduler) {
			s.NoteLeaving(start, "h1", 1)
			s.NoteLeaving(start, "h2", 1)
		}, 3 * time.Second, dispatch.Refuse, dispatch.ReasonNoPlace, 2 * time.Second},
		{"one leaves, one rests", func(s *dispatch.Scheduler) {
			s.NoteLeaving(start, "h1", 1)
			s.NoteRest(start, "h2", 1, time.Second)
		}, 3 * time.Second, dispatch.Wait, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newScheduler(headOfRun("h1", 1), headOfRun("h2", 1))
			c.say(s)
			d := s.Offer(start, newTicket(c.latest))
			g.Expect(d.Verdict).To(Equal(c.want))
			g.Expect(d.Reason).To(Equal(c.reason))
			g.Expect(d.RetryAfter).To(Equal(c.retryAfter))
		})
	}
	t.Run("a waiting ticket is placed when the rest ends", func(t *testing.T) {
		g := NewWithT(t)
		s := newScheduler(headOfRun("h1", 1))
		s.NoteRest(start, "h1", 1, time.Second)
		g.Expect(s.Offer(start, newTicket(3*time.Second)).Verdict).To(Equal(dispatch.Wait))
		g.Expect(s.AssignWaiting(start.Add(900 * time.Millisecond))).To(BeEmpty())
		g.Expect(s.RemoveExpired(start.Add(900 * time.Millisecond))).To(BeEmpty())
		g.Expect(s.AssignWaiting(start.Add(time.Second))).To(HaveLen(1))
	})
	t.Run("a waiting ticket is refused when the last place leaves", func(t *testing.T) {
		g := NewWithT(t)
		s := newScheduler(headOfRun("h1", 1))
		s.NoteRest(start, "h1", 1, time.Second)
		s.Offer(start, newTicket(3*time.Second))
		s.NoteLeaving(start, "h1", 1)
		g.Expect(s.RemoveExpired(start)).To(HaveLen(1))
	})
}

func TestBarsAreNewsOnce(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(headOfRun("h", 1))
	g.Expect(s.NoteRest(start, "h", 1, time.Second)).To(BeTrue())
	g.Expect(s.NoteRest(start, "h", 1, time.Second)).To(BeFalse())
	g.Expect(s.NoteLeaving(start, "h", 1)).To(BeTrue())
	g.Expect(s.NoteLeaving(start, "h", 1)).To(BeFalse())
	g.Expect(s.NoteRest(start, "h", 1, time.Second)).To(BeFalse())
	g.Expect(s.NoteRest(start, "h", 2, time.Second)).To(BeTrue(), "another run")
}

func TestBarsAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler()
	noted := 0
	for n := range 5000 {
		if s.NoteRest(start, fmt.Sprint("h", n), 1, time.Second) {
			noted++
		}
	}
	g.Expect(noted).To(Equal(4096))
	g.Expect(s.NoteRest(start.Add(time.Minute), "later", 1, time.Second)).To(BeTrue(), "ended bars make room")
}

func TestLeavingServersAreToldToPeers(t *testing.T) {
	h := dispatch.LeavingServer{ID: "h", Run: 1}
	for _, c := range []struct {
		name  string
		say   func(*dispatch.Scheduler)
		after time.Duration
		want  []dispatch.LeavingServer
	}{
		{"said here", func(s *dispatch.Scheduler) { s.NoteLeaving(start, "h", 1) }, time.Second, []dispatch.LeavingServer{h}},
		{"said here a while ago", func(s *dispatch.Scheduler) { s.NoteLeaving(start, "h", 1) }, 3 * time.Second, nil},
		{"said here again", func(s *dispatch.Scheduler) {
			s.NoteLeaving(start, "h", 1)
			s.NoteLeaving(start.Add(2*time.Second), "h", 1)
		}, 3 * time.Second, []dispatch.LeavingServer{h}},
		{"told by a peer", func(s *dispatch.Scheduler) { s.NotePeerLeaving(start, h) }, 0, nil},
		{"said here, then told by a peer", func(s *dispatch.Scheduler) {
			s.NoteLeaving(start, "h", 1)
			s.NotePeerLeaving(start.Add(time.Second), h)
		}, time.Second, []dispatch.LeavingServer{h}},
		{"asked for a rest", func(s *dispatch.Scheduler) { s.NoteRest(start, "h", 1, time.Minute) }, 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(headOfRun("h", 1))
			c.say(s)
			NewWithT(t).Expect(s.LeavingServers(start.Add(c.after))).To(Equal(c.want))
		})
	}
	t.Run("what a peer tells bars the place", func(t *testing.T) {
		g := NewWithT(t)
		s := newScheduler(headOfRun("h", 1))
		g.Expect(s.NotePeerLeaving(start, h)).To(BeTrue())
		g.Expect(s.NotePeerLeaving(start, h)).To(BeFalse())
		g.Expect(s.Offer(start, newTicket(time.Second)).Verdict).To(Equal(dispatch.Refuse))
	})
	t.Run("the newest if there are many", func(t *testing.T) {
		g := NewWithT(t)
		s := newScheduler()
		for n := range 100 {
			s.NoteLeaving(start.Add(time.Duration(n)*time.Millisecond), fmt.Sprint("h", n), 1)
		}
		told := s.LeavingServers(start.Add(100 * time.Millisecond))
		g.Expect(told).To(HaveLen(64))
		g.Expect(told[0].ID).To(Equal("h99"))
	})
}

// An instance may know a new run of a server before its peers do. If the word on one run
// lifted the bar on the other, a server that leaves would get requests again and again.
func TestBarsHoldWhenInstancesKnowDifferentRuns(t *testing.T) {
	for _, c := range []struct {
		name       string
		say        func(*dispatch.Scheduler)
		run        int64
		wantBarred bool
	}{
		{"a peer's word on an earlier run", func(s *dispatch.Scheduler) {
			s.NoteLeaving(start, "h", 2)
			s.NotePeerLeaving(start, dispatch.LeavingServer{ID: "h", Run: 1})
		}, 2, true},
		{"a peer's word on a run that is not known here yet", func(s *dispatch.Scheduler) {
			s.NotePeerLeaving(start, dispatch.LeavingServer{ID: "h", Run: 2})
		}, 1, true},
		{"a peer's word on an unknown run", func(s *dispatch.Scheduler) {
			s.NoteLeaving(start, "h", 2)
			s.NotePeerLeaving(start, dispatch.LeavingServer{ID: "h"})
		}, 3, false},
		{"the run becomes known after the word", func(s *dispatch.Scheduler) {
			s.NotePeerLeaving(start, dispatch.LeavingServer{ID: "h"})
			s.NoteLeaving(start, "h", 2)
		}, 3, false},
		{"a rest that an earlier run asked for", func(s *dispatch.Scheduler) {
			s.NoteLeaving(start, "h", 2)
			s.NoteRest(start, "h", 1, time.Second)
		}, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(headOfRun("h", c.run))
			c.say(s)
			d := s.Offer(start.Add(100*time.Millisecond), newTicket(time.Second))
			NewWithT(t).Expect(d.Verdict == dispatch.Run).To(Equal(!c.wantBarred), "%+v", d)
		})
	}
	t.Run("instances that tell each other", func(t *testing.T) {
		g := NewWithT(t)
		old, current := newScheduler(headOfRun("h", 1)), newScheduler(headOfRun("h", 2))
		old.NoteLeaving(start, "h", 1)
		current.NoteLeaving(start, "h", 2)
		for ms := 0; ms < 5000; ms += 100 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			told, toldBack := old.LeavingServers(now), current.LeavingServers(now)
			for _, s := range told {
				current.NotePeerLeaving(now, s)
			}
			for _, s := range toldBack {
				old.NotePeerLeaving(now, s)
			}
			for _, s := range []*dispatch.Scheduler{old, current} {
				g.Expect(s.Offer(now, newTicket(time.Duration(ms)*time.Millisecond+time.Second)).Verdict).To(Equal(dispatch.Refuse), "after %d ms", ms)
			}
		}
	})
}
