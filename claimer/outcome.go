package claimer

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// blockClaims is the number of consecutive claims whose outcomes share a store
	// key.
	blockClaims = 128
	// maxBlocks is the maximum number of blocks kept in memory.
	maxBlocks = 64
)

// Outcome is the result of a claimed request.
type Outcome struct {
	// Released means that the request was not run and the claim may be replaced.
	Released bool `json:"released,omitempty"`
	// Status and ContentType are set for plain services. Body is the answer of a
	// service or the text of an engine.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Finish and Tokens are set for engines.
	Finish string `json:"finish,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
}

func (o Outcome) size() int {
	return len(o.ContentType) + len(o.Body) + len(o.Finish)
}

// block holds the outcomes of consecutive claims, by claim number.
type block struct {
	outcomes map[uint32]Outcome
	// dirty is set if the block has outcomes that are not in the store.
	dirty bool
}

// outcomeStore stores the outcomes of the claims of one process, and finds those of
// others. Each process writes only its own blocks.
type outcomeStore struct {
	claimer *Claimer

	mu     sync.Mutex
	blocks map[uint32]*block
	// order holds the block numbers, oldest first; at most maxBlocks.
	order []uint32
	// running is non-nil while the writer goroutine runs, and closed when it ends.
	running chan struct{}
	// written, lease and granted are used only by the writer goroutine.
	written time.Time
	lease   kingcuphook.LeaseID
	granted time.Time
}

// key returns the store key of a block.
func (b *outcomeStore) key(process uint64, number uint32) string {
	return fmt.Sprintf("%soutcomes/%016x/%d", b.claimer.Prefix, process, number)
}

// save adds an outcome to its block and starts the writer if it is not running.
func (b *outcomeStore) save(n Nonce, o Outcome) {
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

// add creates a block, and evicts the oldest one if there are maxBlocks.
func (b *outcomeStore) add(number uint32) *block {
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

// find returns the outcome of a claim. It reports false if none is stored or the
// store cannot be read.
func (b *outcomeStore) find(ctx context.Context, n Nonce) (Outcome, bool) {
	number := n.number() / blockClaims
	if n.process() == b.claimer.process {
		if o, ok := b.findLocal(n.number(), number); ok {
			return o, true
		}
	}
	ctx, cancel := context.WithTimeout(ctx, b.claimer.CallTimeout)
	defer cancel()
	e, err := b.claimer.Store.Get(ctx, b.key(n.process(), number))
	if err != nil {
		return Outcome{}, false
	}
	outcomes, err := decodeOutcomes(e.Value())
	if err != nil {
		return Outcome{}, false
	}
	o, ok := outcomes[n.number()]
	return o, ok
}

// decodeOutcomes decodes a block without its invalid outcomes. The error wraps ErrInvalid.
func decodeOutcomes(value []byte) (map[uint32]Outcome, error) {
	var outcomes map[uint32]Outcome
	if err := json.Unmarshal(value, &outcomes); err != nil {
		return nil, fmt.Errorf("claimer: outcomes: %w: %w", kingcuphook.ErrInvalid, err)
	}
	maps.DeleteFunc(outcomes, func(_ uint32, o Outcome) bool { return !o.isValid() })
	return outcomes, nil
}

// maxStatus is the highest status that can be written.
const maxStatus = 999

// isValid reports whether the status is 0 or one of a final response, and the tokens are a count.
func (o Outcome) isValid() bool {
	return (o.Status == 0 || o.Status >= http.StatusOK && o.Status <= maxStatus) && o.Tokens >= 0
}

func (b *outcomeStore) findLocal(claim, number uint32) (Outcome, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bl, ok := b.blocks[number]
	if !ok {
		return Outcome{}, false
	}
	o, ok := bl.outcomes[claim]
	return o, ok
}

// flush is the writer goroutine. It writes dirty blocks until there are none, and
// gives up once it has run for the retention, which is how long an outcome is
// useful.
func (b *outcomeStore) flush() {
	began := time.Now()
	for {
		time.Sleep(time.Until(b.written.Add(b.claimer.OutcomeInterval)))
		if !b.flushDirty(time.Since(began) > b.claimer.Retention) {
			return
		}
	}
}

// flushDirty writes the dirty blocks once and reports whether there were any.
func (b *outcomeStore) flushDirty(giveUp bool) bool {
	numbers := b.takeDirty(giveUp)
	if len(numbers) == 0 {
		return false
	}
	defer func() { b.written = time.Now() }()
	if time.Since(b.granted) > b.claimer.Retention/2 {
		if err := b.renewLease(); err != nil {
			b.markDirty(numbers)
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
			b.markDirty([]uint32{number})
		}
	}
	return true
}

// renewLease takes a new lease for the blocks written from now on.
func (b *outcomeStore) renewLease() error {
	lease, err := b.claimer.grant()
	if err != nil {
		return err
	}
	b.lease = lease
	b.granted = time.Now()
	return nil
}

// takeDirty returns the dirty blocks and marks them clean. If there are none, or if
// giveUp is set, it marks the writer as ended.
func (b *outcomeStore) takeDirty(giveUp bool) []uint32 {
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

// idle returns a channel that is closed when no outcome is waiting to be written.
func (b *outcomeStore) idle() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running != nil {
		return b.running
	}
	done := make(chan struct{})
	close(done)
	return done
}

// markDirty marks blocks dirty that could not be written.
func (b *outcomeStore) markDirty(numbers []uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, number := range numbers {
		if bl, ok := b.blocks[number]; ok {
			bl.dirty = true
		}
	}
}

// encode returns the encoded value of a block, unless it was evicted.
func (b *outcomeStore) encode(number uint32) ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bl, ok := b.blocks[number]
	if !ok {
		return nil, false
	}
	// Encoding cannot fail: all fields are plain values.
	value, _ := json.Marshal(bl.outcomes)
	return value, true
}
