package claimer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// blockClaims is the number of claims whose outcomes share a key.
	blockClaims = 128
	// maxBlocks bounds the blocks of outcomes kept in memory.
	maxBlocks = 64
)

// Outcome is the end of a claimed request.
type Outcome struct {
	// Released says that the request was not run and the claim is free.
	Released bool `json:"released,omitempty"`
	// Status and ContentType are those of a plain service. Body is its answer,
	// or the text of an engine.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Finish and Tokens are those of an engine.
	Finish string `json:"finish,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
}

func (o Outcome) size() int {
	return len(o.ContentType) + len(o.Body) + len(o.Finish)
}

// block holds the outcomes of claims that follow each other.
type block struct {
	outcomes map[uint32]Outcome
	// dirty says that it has outcomes that are not in the store.
	dirty bool
}

// book keeps the outcomes of one process. A process alone writes its blocks.
type book struct {
	claimer *Claimer

	mu     sync.Mutex
	blocks map[uint32]*block
	// order holds the numbers of blocks, oldest first; at most maxBlocks.
	order []uint32
	// running is not nil while the writer runs, and closed when it ends.
	running chan struct{}
	// written, lease and granted are used by the writer only.
	written time.Time
	lease   kingcuphook.LeaseID
	granted time.Time
}

// key returns the key of a block.
func (b *book) key(process uint64, number uint32) string {
	return fmt.Sprintf("%soutcomes/%016x/%d", b.claimer.Prefix, process, number)
}

// write notes an outcome and lets it be stored with others.
func (b *book) write(n Nonce, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	number := n.number() / blockClaims
	bl, ok := b.blocks[number]
	if !ok {
		bl = b.add(number)
	}
	bl.outcomes[n.number()] = o
	bl.dirty = true
	if b.running == nil {
		b.running = make(chan struct{})
		go b.flush()
	}
}

// add makes a block, and forgets the oldest one if there are too many.
func (b *book) add(number uint32) *block {
	if b.blocks == nil {
		b.blocks = make(map[uint32]*block)
	}
	if len(b.order) == maxBlocks {
		delete(b.blocks, b.order[0])
		b.order = slices.Delete(b.order, 0, 1)
	}
	bl := &block{outcomes: make(map[uint32]Outcome)}
	b.blocks[number] = bl
	b.order = append(b.order, number)
	return bl
}

// find returns the outcome of a claim, if it is known. A store that does not
// answer leaves it unknown.
func (b *book) find(ctx context.Context, n Nonce) (Outcome, bool) {
	number := n.number() / blockClaims
	if n.process() == b.claimer.process {
		if o, ok := b.own(n.number(), number); ok {
			return o, true
		}
	}
	ctx, cancel := context.WithTimeout(ctx, b.claimer.CallTimeout)
	defer cancel()
	e, err := b.claimer.Store.Get(ctx, b.key(n.process(), number))
	if err != nil {
		return Outcome{}, false
	}
	var outcomes map[uint32]Outcome
	if err := json.Unmarshal(e.Value(), &outcomes); err != nil {
		return Outcome{}, false
	}
	o, ok := outcomes[n.number()]
	return o, ok
}

func (b *book) own(claim, number uint32) (Outcome, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bl, ok := b.blocks[number]
	if !ok {
		return Outcome{}, false
	}
	o, ok := bl.outcomes[claim]
	return o, ok
}

// flush writes dirty blocks until there are none, or until the store has failed
// for the time in which outcomes are of use.
func (b *book) flush() {
	began := time.Now()
	for {
		time.Sleep(time.Until(b.written.Add(b.claimer.OutcomeInterval)))
		if !b.flushDirty(time.Since(began) > b.claimer.Retention) {
			return
		}
	}
}

// flushDirty writes the dirty blocks once and reports whether there were any.
func (b *book) flushDirty(giveUp bool) bool {
	numbers := b.take(giveUp)
	if len(numbers) == 0 {
		return false
	}
	defer func() { b.written = time.Now() }()
	if time.Since(b.granted) > b.claimer.Retention/2 {
		if err := b.renew(); err != nil {
			b.soil(numbers)
			return true
		}
	}
	for _, number := range numbers {
		value, ok := b.encode(number)
		if !ok {
			continue
		}
		err := b.claimer.put(b.key(b.claimer.process, number), value, kingcuphook.RevisionAny, b.lease)
		b.claimer.count(func(n *Counts) { n.OutcomeWrites++ })
		if err != nil {
			b.soil([]uint32{number})
		}
	}
	return true
}

// renew takes a new lease for the blocks written from now on.
func (b *book) renew() error {
	lease, err := b.claimer.grant()
	if err != nil {
		return err
	}
	b.lease = lease
	b.granted = time.Now()
	return nil
}

// take returns the dirty blocks and marks them clean, or ends the writer.
func (b *book) take(giveUp bool) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var numbers []uint32
	for _, number := range b.order {
		if b.blocks[number].dirty && !giveUp {
			numbers = append(numbers, number)
			b.blocks[number].dirty = false
		}
	}
	if len(numbers) == 0 {
		close(b.running)
		b.running = nil
	}
	return numbers
}

// idle returns a channel that is closed when nothing waits to be written.
func (b *book) idle() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running != nil {
		return b.running
	}
	done := make(chan struct{})
	close(done)
	return done
}

// soil marks blocks dirty that could not be written.
func (b *book) soil(numbers []uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, number := range numbers {
		if bl, ok := b.blocks[number]; ok {
			bl.dirty = true
		}
	}
}

// encode returns the value of a block, unless it was forgotten.
func (b *book) encode(number uint32) ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bl, ok := b.blocks[number]
	if !ok {
		return nil, false
	}
	// A map of plain fields always has a JSON form.
	value, _ := json.Marshal(bl.outcomes)
	return value, true
}
