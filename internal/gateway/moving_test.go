package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A keeper doesn't replace a head that an instance reports as moving. Neither requests
// sent to a dead head nor a suspension of the instance may make it look alive.
func TestHeadWithoutEventsIsNotMoving(t *testing.T) {
	t.Run("a request was sent", func(t *testing.T) {
		g := NewWithT(t)
		var p Progress
		p.begin("h", &headAttempt{})
		g.Expect(p.Moving(time.Now())).To(BeEmpty())
	})
	t.Run("the process was suspended", func(t *testing.T) {
		g := NewWithT(t)
		var p Progress
		p.begin("h", &headAttempt{})
		p.heads["h"].silentSince = time.Now().Add(-2 * stallHandOverAfter)
		p.check(time.Now(), true, func(string) {})
		g.Expect(p.Moving(time.Now())).To(BeEmpty())
	})
}

func TestHeadIsMovingForAWindowAfterAnEvent(t *testing.T) {
	g := NewWithT(t)
	var p Progress
	start := time.Now()
	p.begin("h", &headAttempt{})
	p.noteEvent("h", start)
	g.Expect(p.Moving(start.Add(movingWindow - 1))).To(ConsistOf("h"))
	p.check(start.Add(movingWindow), true, func(string) {})
	g.Expect(p.Moving(start.Add(movingWindow))).To(BeEmpty())
}

// The time without an event must not include time in which the head had no request,
// or in which this process was suspended.
func TestStallTimeRestartsWithARequestAndAfterASuspension(t *testing.T) {
	for _, c := range []struct {
		name string
		prep func(p *Progress, now time.Time)
	}{
		{"a request was sent", func(p *Progress, now time.Time) {
			f := &headAttempt{}
			p.begin("h", f)
			p.heads["h"].silentSince = now.Add(-2 * stallHandOverAfter)
			p.end("h", f)
			p.begin("h", f)
		}},
		{"the process was suspended", func(p *Progress, now time.Time) {
			p.begin("h", &headAttempt{})
			p.heads["h"].silentSince = now.Add(-2 * stallHandOverAfter)
			p.check(now, true, func(string) {})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var p Progress
			now := time.Now()
			c.prep(&p, now)
			p.check(now.Add(stallReportAfter/2), false, func(string) {})
			g.Expect(p.Stalled()).To(BeEmpty())
			p.check(now.Add(2*stallReportAfter), false, func(string) {})
			g.Expect(p.Stalled()).To(ConsistOf("h"))
		})
	}
}

// A stream that is blocked by its client receives no events. That doesn't show that its
// head is silent.
func TestAHeadWhoseClientsReadSlowlyIsNotSilent(t *testing.T) {
	for _, c := range []struct {
		name        string
		others      int // attempts that wait for events
		wantStalled bool
	}{
		{"all clients read slowly", 0, false},
		{"an attempt waits for events", 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var p Progress
			handedOver := 0
			a := &headAttempt{handOver: func() { handedOver++ }}
			p.begin("h", a)
			p.setWriting(a, true)
			for range c.others {
				p.begin("h", &headAttempt{})
			}
			now := time.Now()
			p.check(now.Add(2*stallHandOverAfter), false, func(string) {})
			g.Expect(p.Stalled() != nil).To(Equal(c.wantStalled))
			g.Expect(handedOver > 0).To(Equal(c.wantStalled))
			p.setWriting(a, false)
			p.check(now.Add(2*stallHandOverAfter+stallReportAfter/2), false, func(string) {})
			g.Expect(p.Stalled() != nil).To(Equal(c.wantStalled), "the time of the write doesn't count")
		})
	}
}
