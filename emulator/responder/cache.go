package responder

import (
	"container/list"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxEvents bounds the cache events kept for readers.
const maxEvents = 1024

// prefixCache holds the blocks of recent prompts in limited memory, least
// recently used first out.
type prefixCache struct {
	mu     sync.Mutex
	max    int
	skip   int
	order  *list.List
	blocks map[uint64]*list.Element
	// sequence is that of the newest event; it rises by one with each.
	sequence int64
	events   []eventAnswer
}

func newPrefixCache(blocks, skip int) *prefixCache {
	return &prefixCache{
		max:    blocks,
		skip:   skip,
		order:  list.New(),
		blocks: make(map[uint64]*list.Element),
	}
}

// use looks a prompt up, keeps it, and returns how many of its blocks were
// there and how many it has.
func (c *prefixCache) use(body []byte) (cached, blocks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var chain uint64
	missed := false
	for start := 0; start < len(body); start += blockBytes {
		end := min(start+blockBytes, len(body))
		chain = chain*31 + xxhash.Sum64(body[start:end])
		blocks++
		if e, ok := c.blocks[chain]; ok {
			c.order.MoveToFront(e)
			if !missed {
				cached++
			}
			continue
		}
		missed = true
		c.store(chain)
	}
	return cached, blocks
}

func (c *prefixCache) store(chain uint64) {
	c.blocks[chain] = c.order.PushFront(chain)
	c.event(chain, true)
	for c.order.Len() > c.max {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		dropped, _ := oldest.Value.(uint64)
		delete(c.blocks, dropped)
		c.event(dropped, false)
	}
}

func (c *prefixCache) event(chain uint64, stored bool) {
	c.sequence++
	if c.skip > 0 && c.sequence%int64(c.skip) == 0 {
		return
	}
	c.events = append(c.events, eventAnswer{
		Sequence: c.sequence,
		Prefix:   strconv.FormatUint(chain, 16),
		Stored:   stored,
	})
	if over := len(c.events) - maxEvents; over > 0 {
		c.events = c.events[over:]
	}
}

func (c *prefixCache) eventsAfter(after int64) []eventAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []eventAnswer{}
	for _, e := range c.events {
		if e.Sequence > after {
			events = append(events, e)
		}
	}
	return events
}

func (c *prefixCache) tokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.blocks) * blockBytes / bytesPerToken
}
