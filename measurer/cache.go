package measurer

import "container/list"

// blockCache is the prefix cache of an engine, with least recently used eviction.
// Its capacity is a number of blocks.
type blockCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	// order holds the hashes, the most recently used first.
	order *list.List
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, blocks: make(map[uint64]*list.Element), order: list.New()}
}

func (c *blockCache) len() int { return c.order.Len() }

// match returns how many consecutive blocks at the start of the chain are cached,
// and marks them as recently used.
func (c *blockCache) match(chain []uint64) int {
	n := 0
	for n < len(chain) && c.blocks[chain[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[chain[i]])
	}
	return n
}

// store caches the chain. It reports whether any block was added, and returns the
// hashes of the evicted blocks.
func (c *blockCache) store(chain []uint64) (added bool, dropped []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		if e := c.blocks[chain[i]]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		added = true
		c.blocks[chain[i]] = c.order.PushFront(chain[i])
	}
	for c.order.Len() > c.capacity {
		hash := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, hash)
		dropped = append(dropped, hash)
	}
	return added, dropped
}
