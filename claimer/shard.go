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
	// maxBatch is the maximum number of claims in one write.
	maxBatch = 2000
	// maxHeadBytes bounds the size of a head that could not be sealed. Above it, no
	// claims are added.
	maxHeadBytes = 768 << 10
	// outageWait is the longest wait after a failed store call.
	outageWait = 500 * time.Millisecond
)

// errSegmentUnread means that a segment with claims that are still valid could not
// be read.
var errSegmentUnread = errors.New("segment missing")

// waiter is a call of Claim that waits for the store.
type waiter struct {
	hash        Hash
	fingerprint uint64
	nonce       Nonce
	// replaces is the nonce of a released claim that may be replaced.
	replaces Nonce
	// done is closed once record or err is set.
	done   chan struct{}
	record Record
	err    error
	// written is set once a write with this claim was started, abandoned once its
	// caller stopped waiting. Both are guarded by the mutex of the shard.
	written, abandoned bool
}

// shard reads and writes the claims of one shard.
type shard struct {
	claimer *Claimer
	// prefix is the prefix of the store keys of the shard.
	prefix string

	mu      sync.Mutex
	waiting []*waiter
	running bool
	// verifyScheduled is set until the head is to be verified, verifying while it is read, and
	// verifyDue if the writer goroutine has to compare it though no claim is waiting.
	verifyScheduled, verifying, verifyDue bool
	// draining is set by a graceful shutdown, after which the head is not verified.
	draining bool
	// history holds the claims that may have to be written again.
	history history
	// pace limits the rate of commits; used only by the writer goroutine.
	pace pacer
	// sealed caches the hash prefixes of each sealed segment, by segment number;
	// used only by the writer goroutine.
	sealed map[int64][]uint64
}

// resolve waits until the claim of w is written or an existing one is found, and
// returns that claim.
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

// abandon gives up a claim. If it may be in the store, it is released.
func (s *shard) abandon(w *waiter) {
	s.mu.Lock()
	w.abandoned = true
	written := w.written
	s.mu.Unlock()
	if written {
		s.claimer.outcomes.save(w.nonce, Outcome{Released: true})
	}
}

// write is the writer goroutine. It commits batches until no claim is waiting. A
// commit that follows a conflict or a failed call is made after a random wait and
// starts a new period: at the regular time, routers that collided once would
// collide again and again.
func (s *shard) write() {
	maxWait := time.Duration(0)
	for {
		batch := s.nextBatch()
		if batch == nil {
			return
		}
		if maxWait > 0 {
			time.Sleep(s.claimer.jitter(maxWait))
			s.pace.wroteAfterConflict(time.Now())
		} else {
			time.Sleep(s.pace.wait(time.Now()))
			s.pace.wrote(time.Now())
		}
		batch = append(batch, s.take(maxBatch-len(batch))...)
		maxWait = s.commit(batch)
		s.scheduleVerify()
	}
}

// nextBatch takes waiting claims. If there are none and the head need not be read, it
// returns nil and marks the writer as ended.
func (s *shard) nextBatch() []*waiter {
	batch := s.take(maxBatch)
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.verifyDue
	s.verifyDue = false
	if len(batch) == 0 && len(s.waiting) == 0 && !due {
		s.running = false
		return nil
	}
	return slices.Grow(batch, 1)
}

// take removes up to n claims from the queue and drops abandoned ones.
func (s *shard) take(n int) []*waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return w.abandoned })
	n = min(n, len(s.waiting))
	batch := slices.Clone(s.waiting[:n])
	s.waiting = slices.Delete(s.waiting, 0, n)
	return batch
}

// requeue puts unresolved claims back at the front of the queue.
func (s *shard) requeue(batch []*waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = append(batch, s.waiting...)
}

// commit resolves a batch with one compare-and-swap. It returns the longest time
// to wait before the next commit; 0 means the regular period.
func (s *shard) commit(batch []*waiter) time.Duration {
	key := s.prefix + "head"
	entry, err := s.claimer.get(key)
	if err != nil {
		s.requeue(batch)
		return outageWait
	}
	head, err := s.decode(entry)
	if err != nil {
		s.fail(batch, err)
		return 0
	}
	s.loadSegments(head)
	now := time.Now()
	lost := s.lost(head, now)
	if len(lost) > 0 {
		s.recover(head, now)
	}
	next := s.seal(head, entry.Revision())
	for _, r := range lost {
		next.add(r.hash, r.nonce, r.createdAt, r.fingerprint)
	}
	p := plan{later: batch, failed: true}
	if !now.Before(s.history.holdUntil) {
		p = s.plan(next, batch)
	}
	s.requeue(p.later)
	s.remember(p.found)
	s.finish(p.found)
	wait := time.Duration(0)
	if p.failed {
		wait = outageWait
	}
	if len(p.added)+len(lost) == 0 {
		return wait
	}
	s.markWritten(p.added)
	began := time.Now()
	err = s.claimer.put(key, next.Encode(), entry.Revision(), 0)
	s.pace.observe(time.Since(began))
	return max(wait, s.finishWrite(p.added, err))
}

// finishWrite resolves the claims of a write that succeeded, or requeues them. It
// returns the longest time to wait, as commit does.
func (s *shard) finishWrite(added []*waiter, err error) time.Duration {
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
		s.remember(added)
		s.finish(added)
		return 0
	}
	// If the reply was lost, the next read of the head shows whether it contains the
	// nonces. As long as it does not, every further write expects the same revision,
	// so at most one of them can take effect.
	s.requeue(added)
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

// plan is the result of checking a batch of claims against the head.
type plan struct {
	// added holds the claims added to the new head, found those whose key already has
	// a claim (their own or another one), and later those to be checked again.
	added, found, later []*waiter
	// failed is set if a claim in later could not be checked.
	failed bool
}

// plan adds to head the claims of a batch whose keys have no valid claim.
func (s *shard) plan(head *Ledger, batch []*waiter) plan {
	var p plan
	now := time.Now()
	addedHashes := make(map[Hash]bool)
	for _, w := range batch {
		if addedHashes[w.hash] {
			p.later = append(p.later, w)
			continue
		}
		r, ok, err := s.find(head, w.hash, now)
		switch {
		case err != nil || head.size() > maxHeadBytes:
			p.later = append(p.later, w)
			p.failed = true
		case ok && r.nonce != w.replaces:
			w.record = r
			p.found = append(p.found, w)
		default:
			w.record = head.add(w.hash, w.nonce, now, w.fingerprint)
			addedHashes[w.hash] = true
			p.added = append(p.added, w)
		}
	}
	return p
}

// find returns the newest claim of a hash and reports whether it is still valid.
func (s *shard) find(head *Ledger, h Hash, now time.Time) (Record, bool, error) {
	oldest := now.Add(-s.claimer.Retention)
	r, ok := head.Find(h)
	if ok {
		return r, !r.createdAt.Before(oldest), nil
	}
	prefix := binary.BigEndian.Uint64(h[:])
	for _, seg := range slices.Backward(head.segments) {
		if seg.last.Before(oldest) {
			continue
		}
		prefixes, ok := s.sealed[seg.number]
		if !ok {
			return Record{}, false, errSegmentUnread
		}
		if _, ok := slices.BinarySearch(prefixes, prefix); !ok {
			continue
		}
		l, err := s.readSegment(seg.number)
		if err != nil {
			return Record{}, false, err
		}
		if r, ok := l.Find(h); ok {
			return r, !r.createdAt.Before(oldest), nil
		}
	}
	return Record{}, false, nil
}

// markWritten records that a write with the claims is about to start. A claim whose
// caller has given up by now is released, since abandon did not do so.
func (s *shard) markWritten(batch []*waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range batch {
		w.written = true
		if w.abandoned {
			s.claimer.outcomes.save(w.nonce, Outcome{Released: true})
		}
	}
}

// finish wakes the callers of resolved claims. An abandoned claim that was written
// is released by abandon or markWritten.
func (s *shard) finish(batch []*waiter) {
	for _, w := range batch {
		close(w.done)
	}
}

func (s *shard) fail(batch []*waiter, err error) {
	for _, w := range batch {
		w.err = fmt.Errorf("claimer: %w: %w", kingcuphook.ErrUnavailable, err)
		close(w.done)
	}
}
