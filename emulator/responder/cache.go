package responder

import (
	"container/list"
	"strconv"
	"sync"

	"github.com/tidwall/gjson"

	"github.com/kingcuphook/kingcuphook/hasher"
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
	return len(c.blocks) * hasher.BlockTokens
}
