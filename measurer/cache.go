package measurer

import "container/list"

// blockCache is the prefix cache of an engine: blocks by last use.
type blockCache struct {
	bound  int
	blocks map[uint64]*list.Element
	// order has the hashes, the most recently used first.
	order *list.List
}

func newBlockCache(bound int) *blockCache {
	return &blockCache{bound: bound, blocks: make(map[uint64]*list.Element), order: list.New()}
}

func (c *blockCache) len() int { return c.order.Len() }

// match returns how many blocks of the chain are cached from its start, and
// marks them as used.
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

// store caches the chain. It reports whether a block is new, and which blocks
// had to go.
func (c *blockCache) store(chain []uint64) (added bool, dropped []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		if e := c.blocks[chain[i]]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		added = true
		c.blocks[chain[i]] = c.order.PushFront(chain[i])
	}
	for c.order.Len() > c.bound {
		hash := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, hash)
		dropped = append(dropped, hash)
	}
	return added, dropped
}
