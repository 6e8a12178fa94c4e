package engine

import (
	"container/list"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// cache is a prefix cache of limited size that evicts the least recently used
// unpinned block. Engine.mu guards it.
type cache struct {
	maxBlocks int
	blocks    map[identifier.BlockKey]*list.Element
	// lru holds the blocks, most recently used first.
	lru list.List
	// onChange is called for each block that is added or evicted.
	onChange func(key identifier.BlockKey, evicted bool)
	// mixedUses counts uses of blocks that were computed with other weights.
	mixedUses int
}

type cacheBlock struct {
	key  identifier.BlockKey
	pins int
	// origin identifies the weights with which the block was computed.
	origin weightsKey
}

func newCache(maxBlocks int, onChange func(identifier.BlockKey, bool)) *cache {
	c := &cache{maxBlocks: maxBlocks, onChange: onChange}
	c.clear()
	return c
}

// clear removes all blocks without calling onChange, because a restart publishes
// no cache events.
func (c *cache) clear() {
	c.blocks = make(map[identifier.BlockKey]*list.Element)
	c.lru.Init()
}

// pinPrefix pins the blocks of keys up to the first one that is not cached, for
// a run on the weights used, and returns the number of pinned blocks.
func (c *cache) pinPrefix(keys []identifier.BlockKey, used weightsKey) int {
	for i, key := range keys {
		if !c.pin(key) {
			return i
		}
		if c.blocks[key].Value.(*cacheBlock).origin != used {
			c.mixedUses++
		}
	}
	return len(keys)
}

func (c *cache) pin(key identifier.BlockKey) bool {
	e, ok := c.blocks[key]
	if !ok {
		return false
	}
	e.Value.(*cacheBlock).pins++
	c.lru.MoveToFront(e)
	return true
}

func (c *cache) unpin(keys []identifier.BlockKey) {
	for _, key := range keys {
		if e, ok := c.blocks[key]; ok {
			e.Value.(*cacheBlock).pins--
		}
	}
}

// insert adds and pins a block that was computed with the weights origin. It
// returns false if the cache is full and all of its blocks are pinned.
func (c *cache) insert(key identifier.BlockKey, origin weightsKey) bool {
	if c.pin(key) {
		return true
	}
	if len(c.blocks) >= c.maxBlocks && !c.evict() {
		return false
	}
	c.blocks[key] = c.lru.PushFront(&cacheBlock{key: key, pins: 1, origin: origin})
	c.onChange(key, false)
	return true
}

// insertUntilFull inserts and pins keys until there is no space, and returns the
// number of inserted blocks.
func (c *cache) insertUntilFull(keys []identifier.BlockKey, origin weightsKey) int {
	for i, key := range keys {
		if !c.insert(key, origin) {
			return i
		}
	}
	return len(keys)
}

func (c *cache) evict() bool {
	for e := c.lru.Back(); e != nil; e = e.Prev() {
		b := e.Value.(*cacheBlock)
		if b.pins > 0 {
			continue
		}
		c.lru.Remove(e)
		delete(c.blocks, b.key)
		c.onChange(b.key, true)
		return true
	}
	return false
}

func (c *cache) len() int { return len(c.blocks) }
