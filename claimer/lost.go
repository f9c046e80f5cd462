package claimer

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// lostWindow is how long a router remembers the claims that it has written. A store that
	// comes back from an older copy has lost those of the last seconds.
	lostWindow = time.Minute
	// maxWritten bounds the claims that a router remembers.
	maxWritten = 4096
	// verifyInterval is how often a router that remembers claims reads the head of a shard, if it
	// has no other reason to.
	verifyInterval = 1500 * time.Millisecond
	// restoreHold is how long a router adds no claims after it has found that the store came
	// back older, during which the other routers write theirs again.
	restoreHold = 2 * time.Second
)

// history holds the claims of a shard that this router has written lately. The writer goroutine
// changes it with the mutex of the shard held.
type history struct {
	// written are the claims, in the order in which they were written.
	written []Record
	// readAt is when the writer goroutine last read the head.
	readAt time.Time
	// holdUntil is until when no claims are added.
	holdUntil time.Time
}

// remember records the claims of this router among those that the store has.
func (s *shard) remember(claims []*waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range claims {
		if w.record.nonce == w.nonce {
			s.history.written = append(s.history.written, w.record)
		}
	}
	s.history.written = slices.Delete(s.history.written, 0, max(len(s.history.written)-maxWritten, 0))
}

// forget removes the claims that are older than lostWindow.
func (h *history) forget(now time.Time) {
	h.written = slices.DeleteFunc(h.written, func(r Record) bool { return now.Sub(r.createdAt) > lostWindow })
}

// lost returns the remembered claims that the store has lost. Claims are written in order, so
// that none is lost if the latest is there.
func (s *shard) lost(head *Ledger, now time.Time) []Record {
	s.mu.Lock()
	s.history.forget(now)
	s.history.readAt = now
	s.mu.Unlock()
	n := len(s.history.written)
	if n == 0 || s.has(head, s.history.written[n-1]) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(s.history.written), func(r Record) bool { return s.has(head, r) })
}

// has reports whether the head, or a segment that it refers to, has the claim or one that has
// replaced it. It makes no calls to the store: segments are compared by their hash prefixes, and
// one that could not be read counts as having the claim.
func (s *shard) has(head *Ledger, r Record) bool {
	if _, found := head.Find(r.hash); found {
		return true
	}
	prefix := binary.BigEndian.Uint64(r.hash[:])
	return slices.ContainsFunc(head.segments, func(seg segmentRef) bool {
		prefixes, loaded := s.sealed[seg.number]
		if !loaded {
			return !seg.last.Before(r.createdAt)
		}
		_, found := slices.BinarySearch(prefixes, prefix)
		return found
	})
}

// recover handles claims that the store has lost: they are added to the head again, and other
// claims wait until all routers had the time to do so. Segments with the same number may have
// other content now.
func (s *shard) recover(head *Ledger, now time.Time) {
	s.history.holdUntil = now.Add(restoreHold)
	s.sealed = nil
	s.loadSegments(head)
	s.claimer.count(func(n *Counts) { n.Restored++ })
}

// scheduleVerify reads the head again after verifyInterval, if there are remembered claims.
func (s *shard) scheduleVerify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.verifyScheduled || s.draining || len(s.history.written) == 0 {
		return
	}
	s.verifyScheduled = true
	time.AfterFunc(verifyInterval, s.verify)
}

// verify reads the head, unless the writer goroutine does so anyway, and lets that compare it if
// the latest claim isn't there.
func (s *shard) verify() {
	defer s.scheduleVerify()
	latest, ok := s.beginVerify()
	if !ok {
		return
	}
	found := true
	if entry, err := s.claimer.get(s.prefix + "head"); err == nil {
		found = s.holds(entry, latest.hash)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verifying = false
	if !found && !s.running && !s.draining {
		s.verifyDue = true
		s.running = true
		go s.write()
	}
}

// holds reports whether a head has a claim itself; false if the head can't be read.
func (s *shard) holds(entry kingcuphook.Entry, h Hash) bool {
	head, err := s.decode(entry)
	if err != nil {
		return false
	}
	_, found := head.Find(h)
	return found
}

// beginVerify returns the latest claim, and reports whether the head is to be read.
func (s *shard) beginVerify() (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verifyScheduled = false
	n := len(s.history.written)
	if s.running || s.draining || n == 0 || time.Since(s.history.readAt) < verifyInterval {
		return Record{}, false
	}
	s.verifying = true
	return s.history.written[n-1], true
}

// drain ends the verification, and reports whether the writer goroutine and the verification have
// ended.
func (s *shard) drain() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	return !s.running && !s.verifying
}
