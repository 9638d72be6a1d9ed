package worker

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorystall/chicorystall/internal/engine"
)

// prefixCache holds blocks of prompts, the least recently used of which make
// room for new ones. A block counts only together with all that precede it.
type prefixCache struct {
	blockTokens int
	maxBlocks   int
	order       *list.List // of block, the least recently used first
	blocks      map[uint64]*list.Element
	emit        func(block block, removed bool)
}

type block struct {
	hash   uint64
	tokens int // from the prompt's beginning to the block's end
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

// use returns how many tokens of the prompt are cached, and caches the prompt.
func (c *prefixCache) use(prompt string) (cachedTokens int) {
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

func (c *prefixCache) export() []engine.CacheEvent {
	var events []engine.CacheEvent
	for element := c.order.Front(); element != nil; element = element.Next() {
		b := element.Value.(block)
		events = append(events, engine.CacheEvent{Hash: b.hash, Tokens: b.tokens})
	}
	return events
}

// PromptBlocks returns the whole blocks of a prompt as cache events name them.
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
