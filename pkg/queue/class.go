package queue

import (
	"math"
	"slices"
)

const maxTag = math.MaxFloat64

// startTag returns the entry's start tag, which is the virtual time at which its service
// begins.
func (c *class) startTag(e Entry, fifo bool) float64 {
	if fifo {
		if n := len(c.items); n > 0 {
			return max(c.virtualTime, c.items[n-1].startTag)
		}
		return c.virtualTime
	}
	return max(c.virtualTime, c.finishTags[e.Account])
}

// setFinishTag sets the account's finish tag to the virtual time at which the entry's
// service ends.
func (c *class) setFinishTag(e Entry, start float64) {
	if c.finishTags == nil {
		c.finishTags = make(map[string]float64)
	}
	c.finishTags[e.Account] = start + float64(e.Cost)/float64(e.Weight)
}

// insert adds an entry. The items are ordered by start tag, and those with equal tags by
// arrival.
func (c *class) insert(it queuedEntry) {
	at := len(c.items)
	for at > 0 && c.items[at-1].startTag > it.startTag {
		at--
	}
	c.items = slices.Insert(c.items, at, it)
}

// deleteOldFinishTags deletes the finish tags that no longer affect a start tag.
func (c *class) deleteOldFinishTags() {
	for account, tag := range c.finishTags {
		if tag <= c.virtualTime {
			delete(c.finishTags, account)
		}
	}
}
