package selector

import "github.com/kingcuphook/kingcuphook/hasher"

// Bounds of the prefix index.
const (
	// defaultMaxPrefixes bounds the blocks remembered.
	defaultMaxPrefixes = 1 << 16
	// maxHolders bounds the upstreams remembered for one block.
	maxHolders = 6
)

// holder is one upstream that is thought to have a block cached.
type holder struct {
	// upstream is the identifier of a tracker.
	upstream uint32
	// epoch is the cache epoch of the upstream when the entry was confirmed; 0
	// marks an unused place.
	epoch uint32
	// pending says that the first prefill has not ended yet, so that another
	// request would prefill the block once more.
	pending bool
}

// block is one remembered element of a chain.
type block struct {
	hash uint64
	// parent is the hash before it in the chain; 0 if unknown.
	parent uint64
	// child is what followed it first: a hash, or the fingerprint of a request
	// whose chain ended here.
	child uint64
	// branched says that two different things followed it.
	branched bool
	// holders is ordered from the most to the least recently confirmed.
	holders [maxHolders]holder
	// newer and older link the blocks by last use; -1 ends the list.
	newer, older int32
}

// index remembers blocks, the least recently used of which it forgets.
type index struct {
	// places maps a hash to its position in blocks.
	places map[uint64]int32
	// blocks never grows beyond its bound.
	blocks         []block
	newest, oldest int32
	bound          int
}

func newIndex(bound int) *index {
	return &index{places: make(map[uint64]int32), newest: -1, oldest: -1, bound: bound}
}

// find returns the block of a hash, or nil.
func (x *index) find(hash uint64) *block {
	i, ok := x.places[hash]
	if !ok {
		return nil
	}
	return &x.blocks[i]
}

// touch returns the block of a hash as the most recently used one and makes it
// if it is not known.
func (x *index) touch(hash uint64) *block {
	i, ok := x.places[hash]
	if !ok {
		i = x.place()
		x.blocks[i] = block{hash: hash, newer: -1, older: -1}
		x.places[hash] = i
	} else {
		x.unlink(i)
	}
	x.link(i)
	return &x.blocks[i]
}

// place returns a free position and forgets the oldest block for it if needed.
func (x *index) place() int32 {
	if len(x.blocks) < x.bound {
		x.blocks = append(x.blocks, block{})
		return int32(len(x.blocks) - 1)
	}
	i := x.oldest
	x.unlink(i)
	delete(x.places, x.blocks[i].hash)
	return i
}

func (x *index) unlink(i int32) {
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

func (x *index) link(i int32) {
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

// learn remembers that the upstream has the whole chain. The first blocks are
// used last, so that a chain is forgotten from its end.
func (x *index) learn(chain []uint64, fingerprint uint64, h holder) {
	next := fingerprint
	for i := len(chain) - 1; i >= 0; i-- {
		b := x.touch(chain[i])
		b.follow(next)
		b.hold(h)
		if i > 0 {
			b.parent = chain[i-1]
		}
		next = chain[i]
	}
}

// confirm remembers that the upstream has a block and those before it. The walk
// is bounded, since hashes come from outside and could form a ring.
func (x *index) confirm(hash uint64, h holder) {
	b := x.touch(hash)
	for range hasher.MaxBlocks {
		b.hold(h)
		if b.parent == 0 {
			return
		}
		if b = x.find(b.parent); b == nil {
			return
		}
	}
}

// drop forgets that the upstream has a block.
func (x *index) drop(hash uint64, upstream uint32) {
	if b := x.find(hash); b != nil {
		b.release(upstream)
	}
}

func (b *block) follow(next uint64) {
	if b.child == 0 {
		b.child = next
		return
	}
	b.branched = b.branched || b.child != next
}

// hold puts h in front of the holders; the last one is forgotten if need be. A
// pending entry doesn't replace one that is cached.
func (b *block) hold(h holder) {
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

func (b *block) release(upstream uint32) {
	for i := range b.holders {
		if b.holders[i].upstream != upstream || b.holders[i].epoch == 0 {
			continue
		}
		copy(b.holders[i:], b.holders[i+1:])
		b.holders[maxHolders-1] = holder{}
		return
	}
}
