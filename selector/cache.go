package selector

import "github.com/kingcuphook/kingcuphook/hasher"

// Bounds of the prefix index.
const (
	// defaultMaxPrefixes is the default number of blocks kept.
	defaultMaxPrefixes = 1 << 16
	// maxHolders is the number of upstreams kept for one block.
	maxHolders = 6
)

// holder is one upstream that is assumed to have a block cached.
type holder struct {
	// upstream is the identifier of a tracker.
	upstream uint32
	// epoch is the cache epoch of the upstream when the entry was confirmed; 0
	// marks an unused entry.
	epoch uint32
	// pending means that the first prefill has not ended yet, so that another
	// request would have to prefill the block again.
	pending bool
}

// block is one entry of the index: a block of a prompt, identified by the hash of
// the prompt up to its end.
type block struct {
	hash uint64
	// parent is the hash of the block before it; 0 if unknown.
	parent uint64
	// child is what first followed the block: the hash of the next block, or the
	// fingerprint of a request whose last block this was.
	child uint64
	// branched means that at least two different children were seen.
	branched bool
	// holders is ordered from the most to the least recently confirmed.
	holders [maxHolders]holder
	// newer and older link the blocks in order of last use; -1 ends the list.
	newer, older int32
}

// prefixIndex is an LRU cache of prompt blocks and the upstreams that hold them.
type prefixIndex struct {
	// positions maps a hash to the position of its block in blocks.
	positions map[uint64]int32
	// blocks never grows beyond capacity.
	blocks         []block
	newest, oldest int32
	capacity       int
}

func newPrefixIndex(bound int) *prefixIndex {
	return &prefixIndex{positions: make(map[uint64]int32), newest: -1, oldest: -1, capacity: bound}
}

// find returns the block of a hash, or nil.
func (x *prefixIndex) find(hash uint64) *block {
	i, ok := x.positions[hash]
	if !ok {
		return nil
	}
	return &x.blocks[i]
}

// touch marks the block of a hash as the most recently used one and returns it. It
// creates the block if the hash is unknown.
func (x *prefixIndex) touch(hash uint64) *block {
	i, ok := x.positions[hash]
	if !ok {
		i = x.allocate()
		x.blocks[i] = block{hash: hash, newer: -1, older: -1}
		x.positions[hash] = i
	} else {
		x.unlink(i)
	}
	x.link(i)
	return &x.blocks[i]
}

// allocate returns a free position. If the index is full, it evicts the least
// recently used block.
func (x *prefixIndex) allocate() int32 {
	if len(x.blocks) < x.capacity {
		x.blocks = append(x.blocks, block{})
		return int32(len(x.blocks) - 1)
	}
	i := x.oldest
	x.unlink(i)
	delete(x.positions, x.blocks[i].hash)
	return i
}

func (x *prefixIndex) unlink(i int32) {
	b := &x.blocks[i]
	if b.newer >= 0 {
		x.blocks[b.newer].older = b.older
	} else {
		x.newest = b.older
	}
	if b.older >= 0 {
		x.blocks[b.older].newer = b.newer
	} else {
		x.oldest = b.newer
	}
}

func (x *prefixIndex) link(i int32) {
	b := &x.blocks[i]
	b.newer, b.older = -1, x.newest
	if x.newest >= 0 {
		x.blocks[x.newest].newer = i
	}
	x.newest = i
	if x.oldest < 0 {
		x.oldest = i
	}
}

// addChain records that the upstream holds all blocks of the chain. It touches the
// first block last, so that a chain is evicted from its end.
func (x *prefixIndex) addChain(chain []uint64, fingerprint uint64, h holder) {
	next := fingerprint
	for i := len(chain) - 1; i >= 0; i-- {
		b := x.touch(chain[i])
		b.addChild(next)
		b.addHolder(h)
		if i > 0 {
			b.parent = chain[i-1]
		}
		next = chain[i]
	}
}

// confirm records that the upstream holds a block and those before it. The walk is
// bounded, since hashes come from outside and could form a cycle.
func (x *prefixIndex) confirm(hash uint64, h holder) {
	b := x.touch(hash)
	for range hasher.MaxBlocks {
		b.addHolder(h)
		if b.parent == 0 {
			return
		}
		if b = x.find(b.parent); b == nil {
			return
		}
	}
}

// remove records that the upstream no longer holds a block.
func (x *prefixIndex) remove(hash uint64, upstream uint32) {
	if b := x.find(hash); b != nil {
		b.removeHolder(upstream)
	}
}

func (b *block) addChild(next uint64) {
	if b.child == 0 {
		b.child = next
		return
	}
	b.branched = b.branched || b.child != next
}

// addHolder puts h in front of the holders and drops the last one if there is no
// room. A pending entry doesn't replace a cached one of the same epoch.
func (b *block) addHolder(h holder) {
	last := len(b.holders) - 1
	for i, old := range b.holders {
		if old.epoch == 0 {
			last = i
			break
		}
		if old.upstream == h.upstream {
			last = i
			h.pending = h.pending && (old.pending || old.epoch != h.epoch)
			break
		}
	}
	copy(b.holders[1:last+1], b.holders[:last])
	b.holders[0] = h
}

func (b *block) removeHolder(upstream uint32) {
	for i := range b.holders {
		if b.holders[i].upstream != upstream || b.holders[i].epoch == 0 {
			continue
		}
		copy(b.holders[i:], b.holders[i+1:])
		b.holders[maxHolders-1] = holder{}
		return
	}
}
