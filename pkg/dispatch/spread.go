package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSpread is the least weight of an instance's preferences in the score of a place.
	// With it, the requests of an instance meet at few places, where they find open
	// connections.
	minSpread = 0.02
	// distanceFactor is how much more the preferences count against places in another data
	// centre, times the spread. While little is known of the peers' loads, a distant place
	// is not worth its distance until the near ones are full.
	distanceFactor = 10
	// minWeight bounds the preference for a place.
	minWeight = 1e-3
	// arrivalWindow is the time over which arrivals are counted.
	arrivalWindow = time.Second
)

// preference returns the cost that an instance adds to a place. It differs between
// instances, and stays the same for each of them. It is distributed exponentially with a
// mean of 1: of places with weights, the one with the least quotient of cost and weight
// is then chosen by a share of the instances that is proportional to its weight.
func preference(instance, place string) float64 {
	uniform := (float64(xxhash.Sum64String(instance+"/"+place)) + 1) / (math.MaxUint64 + 1)
	return -math.Log(uniform)
}

// bias returns what an instance's preference adds to the score of a place. The weight of
// a place is its share of free slots, less if it fails requests.
func (p *placeState) bias(t *Ticket, now time.Time, spread float64) float64 {
	weight := float64(max(p.Slots-p.running(), 1)) / float64(max(p.Slots, 1))
	weight *= math.Pow(1-p.knownFailureShare(now), failureExponent)
	bias := spread * p.preference / max(weight, minWeight)
	if p.DataCentre != t.DataCentre {
		bias *= 1 + distanceFactor*spread
	}
	return bias
}

// spread returns the weight of the preferences in the choice of a place. Peers place
// requests that this instance has not heard of yet. If all instances chose the place with
// the least known load, these would meet at one place and exceed its slots. The weight is
// the number of such requests over the slots of a place: a place that is known to have
// less load by some share of its slots then gets about that many of them more.
func (s *Scheduler) spread(now time.Time, t *Ticket) float64 {
	k := serviceModel{t.Service, t.Model}
	slots := 0
	for _, p := range s.byServiceModel[k] {
		slots += p.Slots
	}
	if slots == 0 || s.arrivals[k] == nil {
		return minSpread
	}
	unheard := s.arrivals[k].perSecond(now) * float64(max(s.Instances, 1)-1) * s.PeerLag.Seconds()
	return max(unheard*float64(len(s.byServiceModel[k]))/float64(slots), minSpread)
}

// arrivalRate measures how many tickets arrive. The zero value has measured nothing.
type arrivalRate struct {
	windowStart time.Time
	count       int     // in the current window
	last        float64 // per second, in the windows before
}

func (r *arrivalRate) add(now time.Time) {
	r.advance(now)
	r.count++
}

// perSecond returns the tickets per second, averaged over about two windows.
func (r *arrivalRate) perSecond(now time.Time) float64 {
	r.advance(now)
	if elapsed := now.Sub(r.windowStart); r.last == 0 && elapsed > 0 {
		return float64(r.count) / max(elapsed, arrivalWindow/4).Seconds()
	}
	return r.last
}

func (r *arrivalRate) advance(now time.Time) {
	elapsed := now.Sub(r.windowStart)
	if elapsed < arrivalWindow {
		return
	}
	if r.windowStart.IsZero() {
		r.windowStart = now
		return
	}
	rate := float64(r.count) / elapsed.Seconds()
	if r.last == 0 || elapsed > 2*arrivalWindow {
		r.last = rate
	} else {
		r.last = (r.last + rate) / 2
	}
	r.windowStart, r.count = now, 0
}
