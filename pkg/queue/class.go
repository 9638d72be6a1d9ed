package queue

import (
	"math"
	"slices"
)

const maxTag = math.MaxFloat64

// startTag returns the virtual time at which the entry's service begins.
func (c *class) startTag(e Entry, fifo bool) float64 {
	if fifo {
		if n := len(c.items); n > 0 {
			return max(c.virtual, c.items[n-1].start)
		}
		return c.virtual
	}
	return max(c.virtual, c.finish[e.Account])
}

// insert keeps the items in the order of their start tags, and those with equal
// tags in the order of arrival.
func (c *class) insert(e Entry, start float64) {
	if c.finish == nil {
		c.finish = make(map[string]float64)
	}
	c.finish[e.Account] = start + float64(e.Cost)/float64(e.Weight)
	at := len(c.items)
	for at > 0 && c.items[at-1].start > start {
		at--
	}
	c.items = slices.Insert(c.items, at, item{Entry: e, start: start})
}

// forget drops finish tags that no longer delay anyone.
func (c *class) forget() {
	for account, tag := range c.finish {
		if tag <= c.virtual {
			delete(c.finish, account)
		}
	}
}
