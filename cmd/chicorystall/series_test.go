package main

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/fake/groupworker"
)

var (
	seriesSeed     = flag.Uint64("series.seed", 1, "first `seed` of TestSeriesOfDisturbances")
	seriesSeeds    = flag.Int("series.seeds", 1, "number of seeds of TestSeriesOfDisturbances")
	seriesLogs     = flag.String("series.logs", "", "existing `folder` for the logs of the instances; empty keeps none")
	seriesDuration = flag.Duration("series.duration", 20*time.Second, "duration of a series of disturbances")
)

// Signals, configurations and silences in series, one over the other, break no rule.
func TestSeriesOfDisturbances(t *testing.T) {
	for n := range *seriesSeeds {
		seed := *seriesSeed + uint64(n)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			g := NewWithT(t)
			s := newSeries(t, seed)
			record := s.run(*seriesDuration)
			v := record.judge()
			t.Logf("%d requests, %d answered with 200, %d arrivals, %d closed unread; most use of the retry allowance: %.2f (%s)",
				len(record.requests), s.served(record), len(record.arrivals), v.closedUnread, v.retryUse, v.retryPeak)
			for _, b := range v.broken {
				t.Log(b)
			}
			g.Expect(s.served(record)).To(BeNumerically(">", len(record.requests)/4), "no series is judged whose requests mostly fail")
			g.Expect(v.broken).To(BeEmpty())
		})
	}
}

func TestJudgeOfSeries(t *testing.T) {
	const second = time.Second
	bounds := seriesBounds{contact: 3 * second, grace: 8 * second, lossSlack: 200 * time.Millisecond, retryWindow: 10 * second, retryRatio: 0.2, retrySlack: 4}
	request := func(change func(q *seriesRequest)) []seriesRequest {
		q := seriesRequest{id: "a", kind: unsafeKind, service: "desk", sent: second, ended: 2 * second, limit: 8 * second, status: 200, whole: true}
		change(&q)
		return []seriesRequest{q}
	}
	answered := func(*seriesRequest) {}
	cut := func(q *seriesRequest) { q.status, q.whole = 0, false }
	cutAfter := func(d time.Duration) func(q *seriesRequest) {
		return func(q *seriesRequest) { q.status, q.whole, q.ended = 0, false, q.sent+d }
	}
	arrivals := func(n int, outcome groupworker.Outcome) (found []seriesArrival) {
		for range n {
			found = append(found, seriesArrival{request: "a", service: "desk", at: second, ran: true, outcome: outcome, ended: 2 * second})
		}
		return found
	}
	repeated := func(n int, at, gap time.Duration) (found []seriesArrival) {
		for i := range n {
			found = append(found, seriesArrival{request: "a", service: "desk", at: at + time.Duration(i)*gap, outcome: groupworker.Completed})
		}
		return found
	}
	limits := []seriesLimit{{worker: "w", perSecond: 1, from: second, to: 20 * second}}
	limited := func(n int, at time.Duration, first groupworker.Outcome) []seriesArrival {
		found := []seriesArrival{{request: "first", worker: "w", at: second, outcome: first, ended: second}}
		for i := range n {
			found = append(found, seriesArrival{request: fmt.Sprint(i), worker: "w", at: at, outcome: groupworker.BrokenOff})
		}
		return found
	}
	for _, test := range []struct {
		name     string
		requests []seriesRequest
		arrivals []seriesArrival
		stops    []seriesStop
		troubles []seriesTrouble
		limits   []seriesLimit
		want     string // rule that is broken
		unread   int
	}{
		{name: "an answer", requests: request(answered), arrivals: arrivals(1, groupworker.Completed)},
		{name: "a cut of a request that reached a worker", requests: request(cut), arrivals: arrivals(1, groupworker.Canceled), want: "LOST"},
		{name: "a cut of an answer", requests: request(func(q *seriesRequest) { q.whole = false }), arrivals: arrivals(1, groupworker.Completed), want: "LOST"},
		{name: "a cut of a request that was read", requests: request(cut), want: "LOST"},
		{name: "a connection that is closed unread", requests: request(cutAfter(second / 10)), unread: 1},
		{name: "an early cut of a request that reached a worker", requests: request(cutAfter(second / 10)), arrivals: arrivals(1, groupworker.Canceled), want: "LOST"},
		{name: "a worker that broke off", requests: request(cut), arrivals: arrivals(1, groupworker.BrokenOff)},
		{name: "a cut at the end of the request's time", requests: request(cutAfter(8 * second)), arrivals: arrivals(1, groupworker.Canceled)},
		{
			name: "a cut at the end of the grace", requests: request(cutAfter(7 * second)), stops: []seriesStop{{at: 0}},
			arrivals: []seriesArrival{{request: "a", at: second, ran: true, outcome: groupworker.Canceled, ended: 7 * second}},
		},
		{
			name: "a cut at the end of another instance's grace", requests: request(cutAfter(7 * second)), stops: []seriesStop{{at: 0, instance: 1}},
			arrivals: []seriesArrival{{request: "a", at: second, ran: true, outcome: groupworker.Canceled, ended: 7 * second}}, want: "LOST",
		},
		{name: "a cut within the grace", requests: request(cut), arrivals: arrivals(1, groupworker.Canceled), stops: []seriesStop{{at: 0}}, want: "LOST"},
		{
			name: "a cut of a stream after workers were faulty", requests: request(func(q *seriesRequest) { q.whole, q.sent = false, 3*second; q.ended = 4 * second }),
			arrivals: arrivals(1, groupworker.Canceled), troubles: []seriesTrouble{{from: 0, to: second}},
		},
		{
			name: "a cut of a stream long after workers were faulty", requests: request(func(q *seriesRequest) { q.whole, q.sent = false, 5*second; q.ended = 6 * second }),
			arrivals: arrivals(1, groupworker.Canceled), troubles: []seriesTrouble{{from: 0, to: second}}, want: "LOST",
		},
		{
			name: "a close without an answer by a sound worker while others are faulty", requests: request(cut),
			arrivals: arrivals(1, groupworker.Canceled), troubles: []seriesTrouble{{from: 0, to: second}}, want: "LOST",
		},
		{name: "two runs of an unsafe request", requests: request(answered), arrivals: arrivals(2, groupworker.Completed), want: "TWICE"},
		{name: "two runs of a safe request", requests: request(func(q *seriesRequest) { q.kind = safeKind }), arrivals: arrivals(2, groupworker.Completed)},
		{name: "a refusal of a request that ran", requests: request(func(q *seriesRequest) { q.status = 503 }), arrivals: arrivals(1, groupworker.Completed), want: "REFUSED"},
		{name: "a refusal of a request that did not run", requests: request(func(q *seriesRequest) { q.status = 503 })},
		{name: "as many repeats as allowed", requests: request(answered), arrivals: repeated(5, second, second/10)},
		{name: "more repeats than allowed", requests: request(answered), arrivals: repeated(6, second, second/10), want: "BUDGET"},
		{name: "as many repeats over more than a window", requests: request(answered), arrivals: repeated(6, second, 3*second)},
		{name: "as many requests as a limit allows", requests: request(answered), arrivals: limited(11, 5*second, groupworker.Completed), limits: limits},
		{name: "more requests than a limit allows", requests: request(answered), arrivals: limited(12, 5*second, groupworker.Completed), limits: limits, want: "LIMIT"},
		{name: "more requests, while no answer named the limit", requests: request(answered), arrivals: limited(12, 5*second, groupworker.BrokenOff), limits: limits},
		{name: "more requests, before the limit has to be known", requests: request(answered), arrivals: limited(12, second+second/4, groupworker.Completed), limits: limits},
		{name: "more requests, of an instance that started again", requests: request(answered), arrivals: limited(12, 5*second, groupworker.Completed), limits: limits, stops: []seriesStop{{at: 0}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			r := seriesRecord{requests: test.requests, arrivals: test.arrivals, stops: test.stops, troubles: test.troubles, limits: test.limits, bounds: bounds}
			v := r.judge()
			if test.want == "" {
				g.Expect(v.broken).To(BeEmpty())
			} else {
				g.Expect(v.broken).To(ConsistOf(HavePrefix(test.want + ": ")))
			}
			g.Expect(v.closedUnread).To(Equal(test.unread))
		})
	}
}
