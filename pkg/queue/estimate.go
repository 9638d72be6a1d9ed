package queue

import "time"

// RecordServed notes that the backend servers behind the queue have finished work of
// so much cost. It keeps the estimate of the service rate, from times in which
// something waited throughout: otherwise the callers set the rate.
func (q *Queue) RecordServed(now time.Time, cost int) {
	if q.windowAt.IsZero() || q.entries == 0 {
		q.windowAt = now
		q.served = 0
		return
	}
	q.served += float64(cost)
	elapsed := now.Sub(q.windowAt)
	if elapsed < rateWindow {
		return
	}
	observed := q.served / elapsed.Seconds()
	q.rate = q.Rate() + rateGain*(observed-q.Rate())
	q.served = 0
	q.windowAt = now
}

// Rate returns the estimated service in cost units a second.
func (q *Queue) Rate() float64 {
	if q.rate > 0 {
		return q.rate
	}
	return q.config().Rate
}

// Wait estimates how long a new entry would wait.
func (q *Queue) Wait(e Entry) time.Duration {
	e.Weight = max(e.Weight, 1)
	p := min(max(e.Priority, 0), priorities-1)
	return q.waitOf(p, q.classes[p].startTag(e, q.fifo))
}

// waitOf estimates the wait of an entry with the start tag: the work that is
// served before it, at the rate that its priority is left.
func (q *Queue) waitOf(priority int, start float64) time.Duration {
	var ahead float64
	for p := 0; p <= priority; p++ {
		for _, it := range q.classes[p].items {
			if p < priority || it.start <= start {
				ahead += float64(it.Cost)
			}
		}
	}
	return time.Duration(ahead / q.Rate() * float64(time.Second))
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
