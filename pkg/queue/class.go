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

// charge books the entry's cost to its account.
func (c *class) charge(e Entry, start float64) {
	if c.finish == nil {
		c.finish = make(map[string]float64)
	}
	c.finish[e.Account] = start + float64(e.Cost)/float64(e.Weight)
}

// insert keeps the items in the order of their start tags, and those with equal
// tags in the order of arrival.
func (c *class) insert(it item) {
	at := len(c.items)
	for at > 0 && c.items[at-1].start > it.start {
		at--
	}
	c.items = slices.Insert(c.items, at, it)
}

// forget drops finish tags that no longer delay anyone.
func (c *class) forget() {
	for account, tag := range c.finish {
		if tag <= c.virtual {
			delete(c.finish, account)
		}
	}
}
