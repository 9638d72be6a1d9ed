package measure

import (
	"container/heap"
	"time"
)

// eventEpoch is the time at which an eventClock starts.
var eventEpoch = time.Unix(1_800_000_000, 0)

// eventClock runs functions in the order of their virtual times.
type eventClock struct {
	now    time.Duration
	count  int
	events timedEvents
}

type timedEvent struct {
	at  time.Duration
	seq int // orders events with the same time
	do  func()
}

type timedEvents []timedEvent

func (h timedEvents) Len() int      { return len(h) }
func (h timedEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timedEvents) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h *timedEvents) Push(x any) { *h = append(*h, x.(timedEvent)) }
func (h *timedEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (c *eventClock) time() time.Time { return eventEpoch.Add(c.now) }

func (c *eventClock) at(at time.Duration, do func()) {
	c.count++
	heap.Push(&c.events, timedEvent{at: at, seq: c.count, do: do})
}

func (c *eventClock) after(d time.Duration, do func()) { c.at(c.now+d, do) }

// run executes all events before end.
func (c *eventClock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at < end {
		e := heap.Pop(&c.events).(timedEvent)
		c.now = e.at
		e.do()
	}
}
