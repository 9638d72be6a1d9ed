package route

// DefaultMaxBlocks bounds a [Cache] that sets no bound.
const DefaultMaxBlocks = 4096

// Cache is what is known of one backend server's prefix cache, from its late
// and incomplete events and from what was sent to it. The zero value is empty.
// It is not safe for concurrent use; Digest gives an immutable copy.
type Cache struct {
	MaxBlocks int // 0 is DefaultMaxBlocks

	boot   string
	seq    uint64
	age    uint64 // grows with each gap
	order  []uint64
	blocks map[uint64]entry
}

type entry struct {
	age uint64 // age of the cache when the block was last confirmed
}

// Event is a cache event of a backend server.
type Event struct {
	Boot    string
	Seq     uint64 // grows by one with each event of one boot
	Stored  []uint64
	Removed []uint64
	Cleared bool
}

// Apply takes an event. An old one changes nothing; after a gap the blocks that
// were known before count as uncertain until they are confirmed.
func (c *Cache) Apply(e Event) {
	c.restart(e.Boot)
	if e.Seq <= c.seq {
		return
	}
	if c.seq != 0 && e.Seq != c.seq+1 {
		c.age++
	}
	c.seq = e.Seq
	if e.Cleared {
		c.clear()
	}
	for _, h := range e.Removed {
		delete(c.blocks, h)
	}
	for _, h := range e.Stored {
		c.store(h, entry{age: c.age})
	}
}

// MarkExpected assumes that the blocks of a request that was sent will be cached.
func (c *Cache) MarkExpected(boot string, blocks []uint64) {
	c.restart(boot)
	for _, h := range blocks {
		if _, ok := c.blocks[h]; !ok {
			c.store(h, entry{age: c.age})
		}
	}
}

// Confirm notes that a request with the blocks has run: they are cached now.
func (c *Cache) Confirm(boot string, blocks []uint64) {
	c.restart(boot)
	for _, h := range blocks {
		c.store(h, entry{age: c.age})
	}
}

func (c *Cache) restart(boot string) {
	if boot == c.boot {
		return
	}
	c.boot = boot
	c.seq = 0
	c.clear()
}

func (c *Cache) clear() {
	clear(c.blocks)
	c.order = c.order[:0]
}

func (c *Cache) store(h uint64, e entry) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]entry)
	}
	if _, ok := c.blocks[h]; !ok {
		c.order = append(c.order, h)
	}
	c.blocks[h] = e
	c.trim()
}

// trim forgets the oldest blocks.
func (c *Cache) trim() {
	limit := c.MaxBlocks
	if limit == 0 {
		limit = DefaultMaxBlocks
	}
	for len(c.blocks) > limit || len(c.order) > 2*limit {
		delete(c.blocks, c.order[0])
		c.order = c.order[1:]
	}
}

// Digest returns an immutable copy.
func (c *Cache) Digest() Digest {
	blocks := make(map[uint64]bool, len(c.blocks))
	for h, e := range c.blocks {
		blocks[h] = e.age == c.age
	}
	return Digest{blocks: blocks}
}

// Digest is an immutable set of the prefix blocks that a backend server is
// likely to hold. The zero value is empty.
type Digest struct {
	blocks map[uint64]bool // false is uncertain
}

// Match returns how many of the first blocks are likely cached. It searches for
// the last known block by halves, so a gap in the digest can shorten the match
// but a missing first block does not end it. An uncertain match counts half.
func (d Digest) Match(blocks []uint64) int {
	if len(d.blocks) == 0 || len(blocks) == 0 {
		return 0
	}
	low, high := 0, len(blocks)-1
	if certain, ok := d.blocks[blocks[high]]; ok {
		return count(high, certain)
	}
	certain, found := d.blocks[blocks[0]]
	for high-low > 1 {
		middle := int(uint(low+high) / 2)
		c, ok := d.blocks[blocks[middle]]
		if !ok {
			high = middle
			if !found {
				break // nothing known at either end or between
			}
			continue
		}
		low, certain, found = middle, c, true
	}
	if !found {
		return 0
	}
	return count(low, certain)
}

func count(last int, certain bool) int {
	if certain {
		return last + 1
	}
	return (last + 1) / 2
}
