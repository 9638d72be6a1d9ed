package ratelimit

import (
	"math"
	"time"
)

const (
	// minHorizon is the shortest horizon of an account: the time in which what was sent decays
	// to 1/e. The horizon is longer for low limits, so that it has room for minBurst requests.
	minHorizon = time.Second
	minBurst   = 2
	// minPerSecond replaces lower limits. A server that gets no requests at all could not
	// say that it takes more again.
	minPerSecond = 0.2
	// settleTime is how long after the last answer that named a limit an answer without one
	// ends it. Answers of different connections may overtake each other.
	settleTime = 500 * time.Millisecond
	// endReportTime is how long the end of a limit is remembered and told to peers.
	endReportTime = 3 * time.Second
	// maxAge is the age of the last answer that named a limit from which on it is forgotten.
	maxAge = 10 * time.Minute
	// minSlot is the shortest time for which an instance admits its part of what is left. It
	// exceeds the time until peers hear of what was sent.
	minSlot = 150 * time.Millisecond
	// reportTimeout and reportLags bound how long a peer's report counts.
	reportTimeout = time.Second
	reportLags    = 5
	// minContention is the shortest time for which a request competes for what is left.
	minContention = 300 * time.Millisecond
	// idleContention is what each other instance adds to the competing requests at least.
	idleContention = 0.01
)

// Fleet describes the instances that send requests to the same servers.
type Fleet struct {
	Instances int           // with this one; 0 means 1
	Lag       time.Duration // how old reports are, beside their regular interval
}

// account is what is known of the limit of one server.
type account struct {
	run        int64 // that named the limit; 0 if not known
	perSecond  float64
	namedAt    time.Time // when an answer last named the limit
	freeAt     time.Time // when an answer last named none; zero if none did
	admitsFrom time.Time // since when the limit is kept without interruption
	demand     float64   // requests per second that this instance would send
	sent       decayingSum
	peers      map[string]peerReport

	slotStart  time.Time
	slotDraw   float64 // rounds the part of the slot
	sentInSlot int
}

// peerReport is a peer's last report of a server.
type peerReport struct {
	sent       float64 // when it was received
	demand     float64
	instances  int
	receivedAt time.Time
}

// decayingSum is a sum of numbers that decay exponentially. Sums of several instances can
// be added, and one that arrives late is decayed by its age.
type decayingSum struct {
	sum float64
	at  time.Time // of the last change
}

func (s decayingSum) value(now time.Time, horizon time.Duration) float64 {
	return s.sum * decay(now.Sub(s.at), horizon)
}

func (s decayingSum) plus(n float64, now time.Time, horizon time.Duration) decayingSum {
	return decayingSum{sum: s.value(now, horizon) + n, at: now}
}

func decay(age, horizon time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / horizon.Seconds())
}

// limiting reports whether the limit holds now.
func (a *account) limiting(now time.Time) bool {
	return now.Sub(a.namedAt) < maxAge && a.freeAt.Before(a.namedAt.Add(settleTime))
}

// forgettable reports whether neither the limit nor its end matters any more.
func (a *account) forgettable(now time.Time) bool {
	return now.Sub(a.namedAt) >= maxAge || !a.limiting(now) && now.Sub(a.freeAt) >= endReportTime
}

func (a *account) rate() float64 { return max(a.perSecond, minPerSecond) }

func (a *account) horizon() time.Duration {
	return max(minHorizon, time.Duration(minBurst/a.rate()*float64(time.Second)))
}

// others sums up the fresh reports of the peers.
func (a *account) others(now time.Time, f Fleet) (sum peerReport) {
	for name, p := range a.peers {
		if now.Sub(p.receivedAt) > max(reportTimeout, reportLags*f.Lag) {
			delete(a.peers, name)
			continue
		}
		sum.sent += p.sent * decay(now.Sub(p.receivedAt), a.horizon())
		sum.demand += p.demand
		sum.instances += p.instances
	}
	return sum
}

// part returns the number of requests that this instance may have sent in the present
// slot, as a mean over draws.
func (a *account) part(now time.Time, f Fleet) float64 {
	others := a.others(now, f)
	instances := max(f.Instances, 1, others.instances+1)
	unheard := instances - 1 - others.instances
	// Instances that aren't heard send as much as the limit divided among all. When the limit
	// begins, it counts as used in full.
	allowed := a.rate() * a.horizon().Seconds() * (1 - float64(unheard)/float64(instances)) * (1 - decay(now.Sub(a.admitsFrom), a.horizon()))
	left := allowed - others.sent - a.sent.value(now, a.horizon()) + float64(a.sentInSlot)
	return max(left, 0) * a.share(f, others, unheard)
}

// share returns this instance's share of what is left, by the requests that compete for
// it in a slot.
func (a *account) share(f Fleet, others peerReport, unheard int) float64 {
	competing := max(slot(f), minContention).Seconds()
	own := max(a.demand*competing, 1)
	rest := (others.demand + float64(unheard)*a.demand) * competing
	return own / (own + rest + idleContention*float64(others.instances+unheard))
}

func slot(f Fleet) time.Duration { return max(minSlot, f.Lag*3/2) }

// admits reports whether one more request may be sent now.
func (a *account) admits(now time.Time, f Fleet, random func() float64) bool {
	if now.Sub(a.slotStart) >= slot(f) {
		a.slotStart, a.slotDraw, a.sentInSlot = now, random(), 0
	}
	whole, fraction := math.Modf(a.part(now, f))
	if a.slotDraw < fraction {
		whole++
	}
	return float64(a.sentInSlot) < whole
}
