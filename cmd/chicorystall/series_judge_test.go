package main

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake/groupworker"
)

// Kinds of requests in a series.
const (
	safeKind   = "safe"
	unsafeKind = "unsafe"
	streamKind = "stream"
)

// seriesRequest is a request as its client saw it. Times count from the start of the
// series.
type seriesRequest struct {
	id, kind, service string
	instance          int
	sent, ended       time.Duration
	limit             time.Duration // smallest of the client's time and the route's timeouts in force
	status            int           // 0 if there was no answer
	whole             bool          // the answer is complete
	unsent            bool          // the connection failed while the request was written
}

// seriesArrival is a request as a worker saw it.
type seriesArrival struct {
	request, service string
	worker           string
	at               time.Duration
	ran              bool
	outcome          groupworker.Outcome
	ended            time.Duration
}

// seriesStop is a SIGTERM of an instance.
type seriesStop struct {
	instance int
	at       time.Duration
}

// seriesTrouble is a time in which workers are faulty.
type seriesTrouble struct{ from, to time.Duration }

// seriesRecord is what clients, workers and operator saw.
type seriesRecord struct {
	requests []seriesRequest
	arrivals []seriesArrival
	stops    []seriesStop
	troubles []seriesTrouble
	limits   []seriesLimit
	outdated []string // instances that didn't know the last configuration in time
	bounds   seriesBounds
}

// seriesLimit is a time in which a worker named the requests per second that it takes.
type seriesLimit struct {
	worker    string
	perSecond float64
	from, to  time.Duration
}

// seriesBounds are the bounds of the rules.
type seriesBounds struct {
	contact, grace, lossSlack, retryWindow time.Duration
	retryRatio, retrySlack                 float64
}

// seriesVerdict is what a record shows.
type seriesVerdict struct {
	broken       []string
	closedUnread int     // requests on connections that were closed without reading them
	retryUse     float64 // largest use of the retry allowance; above 1 is too much
	retryPeak    string
}

// judge returns which rules a record breaks.
func (r *seriesRecord) judge() seriesVerdict {
	var v seriesVerdict
	arrivals := map[string][]seriesArrival{}
	slices.SortStableFunc(r.arrivals, func(a, b seriesArrival) int { return cmp.Compare(a.at, b.at) })
	for _, a := range r.arrivals {
		arrivals[a.request] = append(arrivals[a.request], a)
	}
	for _, q := range r.requests {
		r.judgeRequest(&v, q, arrivals[q.id])
	}
	r.judgeRetries(&v)
	r.judgeLimits(&v)
	for _, o := range r.outdated {
		v.broken = append(v.broken, "CONFIG: "+o)
	}
	return v
}

func (r *seriesRecord) judgeRequest(v *seriesVerdict, q seriesRequest, arrivals []seriesArrival) {
	runs := 0
	for _, a := range arrivals {
		if a.ran {
			runs++
		}
	}
	if q.kind == unsafeKind && runs > 1 {
		v.broken = append(v.broken, fmt.Sprintf("TWICE: %s ran %d times", q.id, runs))
	}
	if q.kind == unsafeKind && runs > 0 && slices.Contains([]int{408, 421, 429, 503}, q.status) {
		v.broken = append(v.broken, fmt.Sprintf("REFUSED: %s has status %d and ran", q.id, q.status))
	}
	took := q.ended - q.sent
	switch {
	case q.whole || q.unsent || took >= q.limit:
	case len(arrivals) == 0 && q.status == 0 && took <= r.bounds.lossSlack:
		v.closedUnread++
	case len(arrivals) > 0 && arrivals[len(arrivals)-1].outcome == groupworker.BrokenOff:
	case (q.status != 0 || len(arrivals) == 0) && r.inTrouble(q):
	case len(arrivals) > 0 && r.excusedByStop(q, arrivals[len(arrivals)-1]):
	default:
		v.broken = append(v.broken, fmt.Sprintf("LOST: %s %s at instance %d, sent %v, ended after %v of %v, status %d, %d arrivals",
			q.kind, q.id, q.instance, q.sent, took, q.limit, q.status, len(arrivals)))
	}
}

// inTrouble reports whether workers were faulty shortly before a request or during it. That
// excuses all but closing the connection without an answer after a sound worker had the
// request.
func (r *seriesRecord) inTrouble(q seriesRequest) bool {
	return slices.ContainsFunc(r.troubles, func(t seriesTrouble) bool {
		return t.from <= q.ended && q.sent <= t.to+r.bounds.contact
	})
}

// excusedByStop reports whether a request that was sent soon after a SIGTERM was still
// running in the last sixth of the grace.
func (r *seriesRecord) excusedByStop(q seriesRequest, last seriesArrival) bool {
	const sentWithin = 3 * time.Second
	return slices.ContainsFunc(r.stops, func(s seriesStop) bool {
		end := s.at + r.bounds.grace
		return s.instance == q.instance && q.sent <= s.at+sentWithin && q.ended <= end+time.Second &&
			last.at <= end && last.ended >= end-r.bounds.grace/6
	})
}

// judgeRetries compares, in each window that ends with a repeat, the repeats at each
// service with the allowance.
func (r *seriesRecord) judgeRetries(v *seriesVerdict) {
	sent := map[string][]time.Duration{}
	for _, q := range r.requests {
		sent[q.service] = append(sent[q.service], q.sent)
	}
	for _, times := range sent {
		slices.Sort(times)
	}
	repeats, seen := map[string][]time.Duration{}, map[string]bool{}
	for _, a := range r.arrivals {
		if seen[a.request] {
			repeats[a.service] = append(repeats[a.service], a.at)
		}
		seen[a.request] = true
	}
	window := r.bounds.retryWindow
	for service, times := range repeats {
		worst, peak := 0.0, ""
		for _, end := range times {
			count := countBetween(times, end-window, end)
			requests := max(countBetween(sent[service], end-window, end), countBetween(sent[service], end-2*window, end-window),
				countBetween(sent[service], end-window-window/2, end-window/2))
			allowed := r.bounds.retryRatio*float64(requests) + r.bounds.retrySlack
			if use := float64(count) / allowed; use > worst {
				worst, peak = use, fmt.Sprintf("service %s, until %v: %d repeats, %d requests, allowed %.0f", service, end, count, requests, allowed)
			}
		}
		if worst > v.retryUse {
			v.retryUse, v.retryPeak = worst, peak
		}
		if worst > 1 {
			v.broken = append(v.broken, "BUDGET: "+peak)
		}
	}
}

// countBetween returns how many of the sorted times are after start and not after end.
func countBetween(times []time.Duration, start, end time.Duration) int {
	from, to := between(times, start, end)
	return to - from
}

// between returns the bounds of the sorted times that are after start and not after end.
func between(times []time.Duration, start, end time.Duration) (from, to int) {
	from, _ = slices.BinarySearch(times, start+1)
	to, _ = slices.BinarySearch(times, end+1)
	return from, to
}

// judgeLimits compares the requests that a worker got while it named a limit with what that
// allows, in each window that ends late enough. Those of instances count that had a whole
// answer with the limit long enough before, and that didn't start lately.
func (r *seriesRecord) judgeLimits(v *seriesVerdict) {
	const window, toldBefore, excess, slack = 4 * time.Second, 500 * time.Millisecond, 1.5, 5
	instances := map[string]int{}
	for _, q := range r.requests {
		instances[q.id] = q.instance
	}
	for _, l := range r.limits {
		told, named := map[int]time.Duration{}, l.to // when answers with the limit had ended, and the first of them
		for _, a := range r.arrivals {
			if a.worker != l.worker || a.at < l.from || a.at >= l.to || a.outcome != groupworker.Completed {
				continue
			}
			i := instances[a.request]
			if at, ok := told[i]; !ok || a.ended < at {
				told[i] = a.ended
			}
			named = min(named, a.ended)
		}
		var times []time.Duration
		var senders []int
		for _, a := range r.arrivals {
			i := instances[a.request]
			at, ok := told[i]
			if a.worker == l.worker && ok && a.at >= at+toldBefore && a.at < l.to && !r.stoppedLately(i, a.at) {
				times, senders = append(times, a.at), append(senders, i)
			}
		}
		allowed := excess*window.Seconds()*l.perSecond + slack
		for _, end := range times {
			from, to := between(times, end-window, end)
			if n := to - from; end >= named+r.bounds.contact && float64(n) > allowed {
				v.broken = append(v.broken, fmt.Sprintf("LIMIT: worker %s got %d requests until %v, limit %v a second from %v on, allowed %.0f, sent by %v at %v",
					l.worker, n, end, l.perSecond, l.from, allowed, senders[from:to], times[from:to]))
				break
			}
		}
	}
}

// stoppedLately reports whether an instance had a SIGTERM so lately that it may have
// started again within contact.
func (r *seriesRecord) stoppedLately(instance int, at time.Duration) bool {
	return slices.ContainsFunc(r.stops, func(s seriesStop) bool {
		return s.instance == instance && s.at <= at && at <= s.at+r.bounds.grace+2*r.bounds.contact
	})
}
