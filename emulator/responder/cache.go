package responder

import (
	"container/list"
	"strconv"
	"sync"

	"github.com/tidwall/gjson"

	"github.com/kingcuphook/kingcuphook/hasher"
)

// maxEvents is the number of latest cache events kept for readers.
const maxEvents = 1024

// prefixCache is an LRU cache of the block hashes of recent prompts. It reports stored
// and evicted blocks as cache events.
type prefixCache struct {
	mu sync.Mutex
	// max is the capacity in blocks.
	max int
	// skip omits every skip-th event; 0 omits none.
	skip int
	// order holds the block hashes, the most recently used first.
	order  *list.List
	blocks map[uint64]*list.Element
	// sequence is the number of the newest event, including omitted ones.
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

// use adds the blocks of a prompt to the cache. It returns the length of the prefix that
// was cached before and of the whole prompt, both in blocks.
func (c *prefixCache) use(body []byte) (cached, blocks int) {
	model := gjson.GetBytes(body, "model").String()
	messages := gjson.GetBytes(body, "messages").Raw
	c.mu.Lock()
	defer c.mu.Unlock()
	missed := false
	for _, chain := range hasher.Append(nil, model, []byte(messages)) {
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

// store adds a block and evicts the least recently used ones over the capacity.
func (c *prefixCache) store(chain uint64) {
	c.blocks[chain] = c.order.PushFront(chain)
	c.event(chain, true)
	for c.order.Len() > c.max {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		evicted, _ := oldest.Value.(uint64)
		delete(c.blocks, evicted)
		c.event(evicted, false)
	}
}

// event records that a block was stored or, if not stored, evicted.
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

// tokens returns the number of cached tokens.
func (c *prefixCache) tokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.blocks) * hasher.BlockTokens
}
