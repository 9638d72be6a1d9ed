package worker

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorystall/chicorystall/internal/engine"
)

// prefixCache is an LRU cache of prompt blocks. A cached block counts for a prompt only
// if all blocks before it are cached too.
type prefixCache struct {
	blockTokens int
	maxBlocks   int
	order       *list.List // elements of type block, the least recently used first
	blocks      map[uint64]*list.Element
	emit        func(block block, removed bool) // called when a block is added or removed
}

type block struct {
	hash   uint64
	tokens int // from the start of the prompt to the end of the block
}

func newPrefixCache(blockTokens, maxTokens int, emit func(block, bool)) *prefixCache {
	return &prefixCache{
		blockTokens: blockTokens,
		maxBlocks:   max(1, maxTokens/blockTokens),
		order:       list.New(),
		blocks:      make(map[uint64]*list.Element),
		emit:        emit,
	}
}

// lookupAndAdd returns how many tokens of the prompt are cached, and adds the missing
// blocks of the prompt to the cache.
func (c *prefixCache) lookupAndAdd(prompt string) (cachedTokens int) {
	missed := false
	for _, b := range PromptBlocks(prompt, c.blockTokens) {
		if element, ok := c.blocks[b.Hash]; ok {
			c.order.MoveToBack(element)
			if !missed {
				cachedTokens = b.Tokens
			}
			continue
		}
		missed = true
		c.add(block{hash: b.Hash, tokens: b.Tokens})
	}
	return cachedTokens
}

func (c *prefixCache) add(b block) {
	if _, ok := c.blocks[b.hash]; ok {
		return
	}
	c.blocks[b.hash] = c.order.PushBack(b)
	c.emit(b, false)
	for c.order.Len() > c.maxBlocks {
		oldest := c.order.Remove(c.order.Front()).(block)
		delete(c.blocks, oldest.hash)
		c.emit(oldest, true)
	}
}

// contents returns the cached blocks, the least recently used first.
func (c *prefixCache) contents() []engine.CacheEvent {
	var events []engine.CacheEvent
	for element := c.order.Front(); element != nil; element = element.Next() {
		b := element.Value.(block)
		events = append(events, engine.CacheEvent{Hash: b.hash, Tokens: b.tokens})
	}
	return events
}

// PromptBlocks returns the full blocks of a prompt, with the hashes that cache events
// use.
func PromptBlocks(prompt string, blockTokens int) []engine.CacheEvent {
	var blocks []engine.CacheEvent
	size := blockTokens * bytesPerToken
	digest := xxhash.New()
	for end := size; end <= len(prompt); end += size {
		digest.WriteString(prompt[end-size : end])
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(end))
		digest.Write(length[:])
		blocks = append(blocks, engine.CacheEvent{Hash: digest.Sum64(), Tokens: end / bytesPerToken})
	}
	return blocks
}
