package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// modelClock is a virtual clock with a queue of events.
type modelClock struct {
	now    time.Duration
	events eventHeap
	count  int
}

type modelEvent struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []modelEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(modelEvent)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func (c *modelClock) after(d time.Duration, run func()) {
	c.count++
	heap.Push(&c.events, modelEvent{at: c.now + d, order: c.count, run: run})
}

// every calls run at each interval until it returns false.
func (c *modelClock) every(d time.Duration, run func() bool) {
	c.after(d, func() {
		if run() {
			c.every(d, run)
		}
	})
}

func (c *modelClock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(modelEvent)
		c.now = e.at
		e.run()
	}
	c.now = end
}

var modelEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (c *modelClock) time() time.Time { return modelEpoch.Add(c.now) }

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)) }

// exponential draws an exponentially distributed duration with the given mean.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// samples collects durations.
type samples []time.Duration

func (s *samples) add(d time.Duration) { *s = append(*s, d) }

// quantile returns the q-quantile, or 0 if there are no samples.
func (s samples) quantile(q float64) time.Duration {
	if len(s) == 0 {
		return 0
	}
	sorted := slices.Clone(s)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func (s samples) p95() time.Duration { return s.quantile(0.95) }

func millis(d time.Duration) string {
	return fmt.Sprintf("%.0f ms", float64(d)/float64(time.Millisecond))
}

func percent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(part)/float64(whole))
}
