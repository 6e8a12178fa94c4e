package engine

import (
	"container/list"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// cache is a prefix cache of limited size that evicts the least recently used
// block. Blocks in use are pinned. The Engine guards it.
type cache struct {
	size   int
	blocks map[identifier.BlockKey]*list.Element
	// order holds the blocks from the last used to the first to be evicted.
	order list.List
	// changed is called for each block that enters or leaves.
	changed func(key identifier.BlockKey, evicted bool)
	// mixed counts uses of blocks that other weights computed.
	mixed int
}

type cacheBlock struct {
	key  identifier.BlockKey
	pins int
	// origin names the weights that computed the block.
	origin weightsKey
}

func newCache(size int, changed func(identifier.BlockKey, bool)) *cache {
	c := &cache{size: size, changed: changed}
	c.clear()
	return c
}

// clear forgets all blocks without events, as a restart does.
func (c *cache) clear() {
	c.blocks = make(map[identifier.BlockKey]*list.Element)
	c.order.Init()
}

// pinChain pins the blocks of keys from the first on, up to the first one
// that is missing, for a run on the weights user. It returns their number.
func (c *cache) pinChain(keys []identifier.BlockKey, user weightsKey) int {
	for i, key := range keys {
		if !c.pin(key) {
			return i
		}
		if c.blocks[key].Value.(*cacheBlock).origin != user {
			c.mixed++
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
	c.order.MoveToFront(e)
	return true
}

func (c *cache) unpin(keys []identifier.BlockKey) {
	for _, key := range keys {
		if e, ok := c.blocks[key]; ok {
			e.Value.(*cacheBlock).pins--
		}
	}
}

// insert adds and pins a block that origin computed. It returns false when all
// blocks are pinned.
func (c *cache) insert(key identifier.BlockKey, origin weightsKey) bool {
	if c.pin(key) {
		return true
	}
	if len(c.blocks) >= c.size && !c.evict() {
		return false
	}
	c.blocks[key] = c.order.PushFront(&cacheBlock{key: key, pins: 1, origin: origin})
	c.changed(key, false)
	return true
}

// insertChain inserts and pins keys up to the first one without space, and
// returns their number.
func (c *cache) insertChain(keys []identifier.BlockKey, origin weightsKey) int {
	for i, key := range keys {
		if !c.insert(key, origin) {
			return i
		}
	}
	return len(keys)
}

func (c *cache) evict() bool {
	for e := c.order.Back(); e != nil; e = e.Prev() {
		b := e.Value.(*cacheBlock)
		if b.pins > 0 {
			continue
		}
		c.order.Remove(e)
		delete(c.blocks, b.key)
		c.changed(b.key, true)
		return true
	}
	return false
}

func (c *cache) len() int { return len(c.blocks) }
