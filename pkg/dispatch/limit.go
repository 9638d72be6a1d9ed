package dispatch

import (
	"time"

	"github.com/chicorystall/chicorystall/pkg/ratelimit"
)

// NoteLimit records that a server, in its run, named the requests per second that it takes
// from all instances together. It reports whether that is news.
func (s *Scheduler) NoteLimit(now time.Time, id string, run int64, perSecond float64) bool {
	return s.limits.Note(now, id, run, perSecond)
}

// NoteUnlimited records that an answer of a server, in its run, named no limit. It reports
// whether that ends one.
func (s *Scheduler) NoteUnlimited(now time.Time, id string, run int64) bool {
	return s.limits.NoteUnlimited(now, id, run)
}

// LimitReports returns what to tell the peers of limits.
func (s *Scheduler) LimitReports(now time.Time) []ratelimit.Report { return s.limits.Reports(now) }

// MergeLimits records what a peer, or a relay for several, told of limits. It returns the
// servers whose limits are news.
func (s *Scheduler) MergeLimits(now time.Time, peer string, reports []ratelimit.Report) []string {
	return s.limits.Merge(now, peer, reports)
}

// Limited returns the number of servers whose limits hold now.
func (s *Scheduler) Limited(now time.Time) int { return s.limits.Len(now) }

func (s *Scheduler) fleet() ratelimit.Fleet {
	return ratelimit.Fleet{Instances: max(s.Instances, 1), Lag: s.PeerLag}
}

// updateDemand tells the accounts of limited places what this instance would send there:
// all that arrives here for a service and model, since a place with a low load is the best
// for every request once its limit admits one.
func (s *Scheduler) updateDemand(now time.Time, k serviceModel) {
	if s.limits.Len(now) == 0 {
		return
	}
	for _, p := range s.byServiceModel[k] {
		s.limits.SetDemand(p.ID, s.arrivals[k].perSecond(now))
	}
}

// limitOf returns the limit of a place, or nil if it has none.
func (s *Scheduler) limitOf(now time.Time, p *placeState) *ratelimit.Limit {
	if l, ok := s.limits.Limit(now, p.ID, p.Run, s.fleet()); ok {
		return &l
	}
	return nil
}

// capacity returns how many requests can run at a place: its slots, or fewer if its limit
// lets fewer start within a run time.
func (s *Scheduler) capacity(now time.Time, p *placeState) float64 {
	slots := float64(p.Slots)
	if l := s.limitOf(now, p); l != nil {
		if mean := s.meanRunTimes[serviceModel{p.Service, p.Model}]; mean > 0 {
			return min(slots, l.PerSecond*mean.Seconds())
		}
	}
	return slots
}

// limitedRate returns the requests per second that this instance may send to the places
// that can run a ticket, by its parts of their limits. It returns false unless all of them
// are limited.
func (s *Scheduler) limitedRate(now time.Time, k serviceModel, t *Ticket) (perSecond float64, limited bool) {
	for _, p := range s.byServiceModel[k] {
		if _, barred := s.barred(now, p); barred || t.tried(p.ID) {
			continue
		}
		l := s.limitOf(now, p)
		if l == nil {
			return 0, false
		}
		perSecond += l.Part
	}
	return perSecond, perSecond > 0
}

// secondsFor returns the time in which a rate lets a number of requests start.
func secondsFor(requests int, perSecond float64) time.Duration {
	return time.Duration(float64(requests) / perSecond * float64(time.Second))
}
