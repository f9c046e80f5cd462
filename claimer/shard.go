package claimer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// maxBatch bounds the claims of one write.
	maxBatch = 2000
	// maxHeadBytes bounds a head that could not be sealed.
	maxHeadBytes = 768 << 10
	// outageWait is the longest wait after a call that failed.
	outageWait = 500 * time.Millisecond
)

// errMissing says that a segment whose claims still count cannot be read.
var errMissing = errors.New("segment missing")

// waiter is one claim that waits for the store.
type waiter struct {
	hash        Hash
	fingerprint uint64
	nonce       Nonce
	// over is the nonce of a released claim that may be replaced.
	over Nonce
	// done is closed when record or err is set.
	done   chan struct{}
	record Record
	err    error
	// written says that a write with this claim was sent; gone that its caller
	// stopped waiting. Both are guarded by the mutex of the shard.
	written, gone bool
}

// shard writes the claims of one head.
type shard struct {
	claimer *Claimer
	// name starts the keys of the shard.
	name string

	mu      sync.Mutex
	waiting []*waiter
	running bool
	// pace bounds the commits; used by the writer only.
	pace pacer
	// sealed caches, by number, the sorted starts of the hashes of each sealed
	// segment; used by the writer only.
	sealed map[int64][]uint64
}

// resolve waits until the claim of w is written or another one is found.
func (s *shard) resolve(ctx context.Context, w *waiter) (Record, error) {
	s.mu.Lock()
	s.waiting = append(s.waiting, w)
	if !s.running {
		s.running = true
		go s.write()
	}
	s.mu.Unlock()
	select {
	case <-w.done:
		return w.record, w.err
	case <-ctx.Done():
		s.abandon(w)
		return Record{}, fmt.Errorf("claimer: no answer of the store: %w: %w", kingcuphook.ErrUnavailable, ctx.Err())
	}
}

// abandon gives up a claim; if it may be in the store, it is released.
func (s *shard) abandon(w *waiter) {
	s.mu.Lock()
	w.gone = true
	written := w.written
	s.mu.Unlock()
	if written {
		s.claimer.book.write(w.nonce, Outcome{Released: true})
	}
}

// write serves the shard until nothing waits. A commit that follows a conflict
// is made soon, at a random time, and sets the times of those after it: were it
// made at the usual time, routers would meet again and again.
func (s *shard) write() {
	soon := time.Duration(0)
	for {
		batch := s.batch()
		if batch == nil {
			return
		}
		if soon > 0 {
			time.Sleep(s.claimer.jitter(soon))
			s.pace.moved(time.Now())
		} else {
			time.Sleep(s.pace.wait(time.Now()))
			s.pace.wrote(time.Now())
		}
		batch = append(batch, s.more(maxBatch-len(batch))...)
		soon = s.commit(batch)
	}
}

// batch takes waiting claims, or ends the writer.
func (s *shard) batch() []*waiter {
	batch := s.more(maxBatch)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(batch) == 0 && len(s.waiting) == 0 {
		s.running = false
		return nil
	}
	return slices.Grow(batch, 1)
}

// more takes up to n waiting claims whose callers still wait.
func (s *shard) more(n int) []*waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return w.gone })
	n = min(n, len(s.waiting))
	batch := slices.Clone(s.waiting[:n])
	s.waiting = slices.Delete(s.waiting, 0, n)
	return batch
}

// again puts claims back that are not yet resolved.
func (s *shard) again(batch []*waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = append(batch, s.waiting...)
}

// commit resolves a batch with one compare-and-swap. It returns the longest
// time to wait before the next one, 0 for the usual pace.
func (s *shard) commit(batch []*waiter) time.Duration {
	key := s.name + "head"
	entry, err := s.claimer.get(key)
	if err != nil {
		s.again(batch)
		return outageWait
	}
	head, err := s.decode(entry)
	if err != nil {
		s.refuse(batch, err)
		return 0
	}
	s.load(head)
	next := s.seal(head, entry.Revision())
	p := s.plan(next, batch)
	s.again(p.later)
	s.finish(p.found)
	wait := time.Duration(0)
	if p.failed {
		wait = outageWait
	}
	if len(p.added) == 0 {
		return wait
	}
	s.mark(p.added)
	began := time.Now()
	err = s.claimer.put(key, next.Encode(), entry.Revision(), 0)
	s.pace.observe(time.Since(began))
	return max(wait, s.conclude(p.added, err))
}

// conclude ends the claims of a write, or puts them back.
func (s *shard) conclude(added []*waiter, err error) time.Duration {
	lost := errors.Is(err, kingcuphook.ErrOutcomeUnknown)
	conflict := errors.Is(err, kingcuphook.ErrConflict)
	s.claimer.count(func(n *Counts) {
		n.Writes++
		if lost {
			n.Lost++
		}
		if conflict {
			n.Conflicts++
		}
	})
	if err == nil {
		s.finish(added)
		return 0
	}
	// After a lost reply the next read of the head shows whether the nonces are
	// in it. Until it does, every further write expects the same revision, so
	// that at most one of them can take effect.
	s.again(added)
	if conflict {
		return s.pace.conflictWait()
	}
	return outageWait
}

func (s *shard) decode(e kingcuphook.Entry) (*Ledger, error) {
	if e.Revision() == 0 {
		return &Ledger{}, nil
	}
	return Decode(e.Value())
}

// plan is what one write does with each claim of a batch.
type plan struct {
	// added are in the new head; found have another's or their own claim; later
	// must be looked at again.
	added, found, later []*waiter
	// failed says that a claim in later could not be decided.
	failed bool
}

// plan adds the new claims of a batch to head.
func (s *shard) plan(head *Ledger, batch []*waiter) plan {
	var p plan
	now := time.Now()
	fresh := make(map[Hash]bool)
	for _, w := range batch {
		if fresh[w.hash] {
			p.later = append(p.later, w)
			continue
		}
		r, ok, err := s.find(head, w.hash, now)
		switch {
		case err != nil || head.size() > maxHeadBytes:
			p.later = append(p.later, w)
			p.failed = true
		case ok && r.nonce != w.over:
			w.record = r
			p.found = append(p.found, w)
		default:
			w.record = head.add(w.hash, w.nonce, now, w.fingerprint)
			fresh[w.hash] = true
			p.added = append(p.added, w)
		}
	}
	return p
}

// find returns the newest claim of a hash that still counts.
func (s *shard) find(head *Ledger, h Hash, now time.Time) (Record, bool, error) {
	oldest := now.Add(-s.claimer.Retention)
	r, ok := head.Find(h)
	if ok {
		return r, !r.made.Before(oldest), nil
	}
	start := binary.BigEndian.Uint64(h[:])
	for _, seg := range slices.Backward(head.segments) {
		if seg.last.Before(oldest) {
			continue
		}
		starts, ok := s.sealed[seg.number]
		if !ok {
			return Record{}, false, errMissing
		}
		if _, ok := slices.BinarySearch(starts, start); !ok {
			continue
		}
		l, err := s.segment(seg.number)
		if err != nil {
			return Record{}, false, err
		}
		if r, ok := l.Find(h); ok {
			return r, !r.made.Before(oldest), nil
		}
	}
	return Record{}, false, nil
}

// mark notes that a write with the claims is about to be sent. A claim whose
// caller is gone by now would stay without one, so it is released.
func (s *shard) mark(batch []*waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range batch {
		w.written = true
		if w.gone {
			s.claimer.book.write(w.nonce, Outcome{Released: true})
		}
	}
}

// finish lets resolved claims go on. A claim that was written and then given up
// is already released by its caller.
func (s *shard) finish(batch []*waiter) {
	for _, w := range batch {
		close(w.done)
	}
}

func (s *shard) refuse(batch []*waiter, err error) {
	for _, w := range batch {
		w.err = fmt.Errorf("claimer: %w: %w", kingcuphook.ErrUnavailable, err)
		close(w.done)
	}
}
