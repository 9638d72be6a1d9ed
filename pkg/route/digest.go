package route

// DefaultMaxBlocks is the default of [Cache.MaxBlocks].
const DefaultMaxBlocks = 4096

// Cache estimates the content of one backend server's prefix cache, from the requests
// that were sent to it and from its cache events, which can be late or lost. The zero
// value is empty. A Cache is not safe for concurrent use; Digest returns an immutable
// copy.
type Cache struct {
	MaxBlocks int // 0 means DefaultMaxBlocks

	boot           string
	seq            uint64
	generation     uint64 // number of gaps in the events so far
	insertionOrder []uint64
	blocks         map[uint64]cachedBlock
}

type cachedBlock struct {
	generation uint64 // of the cache when the block was last confirmed
}

// Event is a cache event of a backend server.
type Event struct {
	Boot    string
	Seq     uint64 // increases by 1 with each event of a boot
	Stored  []uint64
	Removed []uint64
	Cleared bool
}

// Apply updates the cache with an event. It ignores an event that is no newer than the
// last one. If events were lost in between, all known blocks are uncertain until they
// are confirmed again.
func (c *Cache) Apply(e Event) {
	c.restart(e.Boot)
	if e.Seq <= c.seq {
		return
	}
	if c.seq != 0 && e.Seq != c.seq+1 {
		c.generation++
	}
	c.seq = e.Seq
	if e.Cleared {
		c.clear()
	}
	for _, h := range e.Removed {
		delete(c.blocks, h)
	}
	for _, h := range e.Stored {
		c.store(h, cachedBlock{generation: c.generation})
	}
}

// MarkExpected adds the blocks of a request that was sent, because the backend server will
// probably cache them.
func (c *Cache) MarkExpected(boot string, blocks []uint64) {
	c.restart(boot)
	for _, h := range blocks {
		if _, ok := c.blocks[h]; !ok {
			c.store(h, cachedBlock{generation: c.generation})
		}
	}
}

// MarkCached adds and confirms the blocks of a request that has run, because the backend
// server has cached them.
func (c *Cache) MarkCached(boot string, blocks []uint64) {
	c.restart(boot)
	for _, h := range blocks {
		c.store(h, cachedBlock{generation: c.generation})
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
	c.insertionOrder = c.insertionOrder[:0]
}

func (c *Cache) store(h uint64, e cachedBlock) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]cachedBlock)
	}
	if _, ok := c.blocks[h]; !ok {
		c.insertionOrder = append(c.insertionOrder, h)
	}
	c.blocks[h] = e
	c.trim()
}

// trim removes the oldest blocks above the maximum.
func (c *Cache) trim() {
	maxBlocks := c.MaxBlocks
	if maxBlocks == 0 {
		maxBlocks = DefaultMaxBlocks
	}
	for len(c.blocks) > maxBlocks || len(c.insertionOrder) > 2*maxBlocks {
		delete(c.blocks, c.insertionOrder[0])
		c.insertionOrder = c.insertionOrder[1:]
	}
}

// Digest returns an immutable copy of the known blocks.
func (c *Cache) Digest() Digest {
	blocks := make(map[uint64]bool, len(c.blocks))
	for h, e := range c.blocks {
		blocks[h] = e.generation == c.generation
	}
	return Digest{blocks: blocks}
}

// Digest is an immutable set of the prompt blocks that a backend server probably
// caches. The zero value is empty.
type Digest struct {
	blocks map[uint64]bool // from block hash to whether it is certain
}

// Match estimates how many of the first blocks are cached. A block hash covers the
// blocks before it, so Match searches for the last known block by bisection. A missing
// first block does not end the match, but another missing block can shorten it. An
// uncertain match counts half.
func (d Digest) Match(blocks []uint64) int {
	if len(d.blocks) == 0 || len(blocks) == 0 {
		return 0
	}
	low, high := 0, len(blocks)-1
	if certain, ok := d.blocks[blocks[high]]; ok {
		return matchLength(high, certain)
	}
	certain, found := d.blocks[blocks[0]]
	for high-low > 1 {
		middle := int(uint(low+high) / 2)
		c, ok := d.blocks[blocks[middle]]
		if !ok {
			high = middle
			if !found {
				break // the first, last and middle blocks are unknown
			}
			continue
		}
		low, certain, found = middle, c, true
	}
	if !found {
		return 0
	}
	return matchLength(low, certain)
}

func matchLength(last int, certain bool) int {
	if certain {
		return last + 1
	}
	return (last + 1) / 2
}
