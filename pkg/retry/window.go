package retry

import "time"

// windowSlots is the number of slots into which a window is divided.
const windowSlots = 20

// slidingCount counts events over a sliding window. The zero value has counted nothing.
type slidingCount struct {
	counts [windowSlots + 1]int // by slot number, modulo their number
	newest int64                // number of the newest slot that was used
}

// add counts an event.
func (c *slidingCount) add(now time.Time, window time.Duration) {
	slot := c.advance(now, window)
	c.counts[slot%int64(len(c.counts))]++
}

// atMost returns a number of events that the last window does not exceed. It includes
// up to one slot more than the window.
func (c *slidingCount) atMost(now time.Time, window time.Duration) int {
	c.advance(now, window)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// atLeast returns a number of events that the last window contains at least. It leaves
// out the slot that began before the window.
func (c *slidingCount) atLeast(now time.Time, window time.Duration) int {
	slot := c.advance(now, window)
	return c.atMost(now, window) - c.counts[(slot+1)%int64(len(c.counts))]
}

// advance drops the events that are older than the window and returns the number of the
// slot that now is in. A time before an earlier one counts as that.
func (c *slidingCount) advance(now time.Time, window time.Duration) int64 {
	slot := max(now.UnixNano()/max(int64(window)/windowSlots, 1), c.newest)
	for n := max(c.newest+1, slot-windowSlots); n <= slot; n++ {
		c.counts[n%int64(len(c.counts))] = 0
	}
	c.newest = slot
	return slot
}
