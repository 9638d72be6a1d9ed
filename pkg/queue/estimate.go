package queue

import "time"

// RecordServed records that the backend servers have finished work of the given cost, and
// updates the estimated service rate. It only measures while requests wait. At other
// times the finished work depends on the callers' request rate instead.
func (q *Queue) RecordServed(now time.Time, cost int) {
	if q.windowStart.IsZero() || q.entries == 0 {
		q.windowStart = now
		q.servedCost = 0
		return
	}
	q.servedCost += float64(cost)
	elapsed := now.Sub(q.windowStart)
	if elapsed < rateWindow {
		return
	}
	observed := q.servedCost / elapsed.Seconds()
	q.rate = q.Rate() + rateSmoothing*(observed-q.Rate())
	q.servedCost = 0
	q.windowStart = now
}

// Rate returns the estimated service rate in cost units per second.
func (q *Queue) Rate() float64 {
	if q.rate > 0 {
		return q.rate
	}
	return q.config().Rate
}

// Wait estimates how long the entry would wait if it were pushed now.
func (q *Queue) Wait(e Entry) time.Duration {
	e.Weight = max(e.Weight, 1)
	p := min(max(e.Priority, 0), priorities-1)
	return q.estimateWait(p, q.classes[p].startTag(e, q.fifo))
}

// estimateWait estimates the wait of an entry with the priority and start tag: the cost
// of the entries that are served before it, divided by the service rate.
func (q *Queue) estimateWait(priority int, start float64) time.Duration {
	var ahead float64
	for p := 0; p <= priority; p++ {
		for _, it := range q.classes[p].items {
			if p < priority || it.startTag <= start {
				ahead += float64(it.Cost)
			}
		}
	}
	return time.Duration(ahead / q.Rate() * float64(time.Second))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
