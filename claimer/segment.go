package claimer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/kingcuphook/kingcuphook"
)

// maxConcurrentReads is the maximum number of segments read concurrently.
const maxConcurrentReads = 8

// segmentKey returns the key of a sealed segment.
func (s *shard) segmentKey(number int64) string {
	return fmt.Sprintf("%s%d", s.prefix, number)
}

// readSegment reads a sealed segment. It is an error if a segment that the head
// refers to does not exist, since its claims may still be valid.
func (s *shard) readSegment(number int64) (*Ledger, error) {
	key := s.segmentKey(number)
	e, err := s.claimer.get(key)
	if err != nil {
		return nil, err
	}
	if e.Revision() == 0 {
		return nil, fmt.Errorf("claimer: segment %s is gone: %w", key, kingcuphook.ErrLeaseLost)
	}
	return Decode(e.Value())
}

// loadSegments updates the cache to the segments that the head refers to, reading
// those that are missing and have not expired. A segment that cannot be read is
// left out.
func (s *shard) loadSegments(head *Ledger) {
	oldest := time.Now().Add(-s.claimer.Retention)
	kept := make(map[int64][]uint64, len(head.segments))
	var missing []int64
	for _, seg := range head.segments {
		prefixes, ok := s.sealed[seg.number]
		if ok {
			kept[seg.number] = prefixes
			continue
		}
		if !seg.last.Before(oldest) {
			missing = append(missing, seg.number)
		}
	}
	loaded := make([][]uint64, len(missing))
	var g errgroup.Group
	g.SetLimit(maxConcurrentReads)
	for i, number := range missing {
		g.Go(func() error {
			if l, err := s.readSegment(number); err == nil {
				loaded[i] = hashPrefixes(l)
			}
			return nil
		})
	}
	_ = g.Wait()
	for i, number := range missing {
		if loaded[i] != nil {
			kept[number] = loaded[i]
		}
	}
	s.sealed = kept
}

// hashPrefixes returns the sorted first 8 bytes of each hash in a ledger.
func hashPrefixes(l *Ledger) []uint64 {
	all := make([]uint64, 0, l.Len())
	for _, r := range l.records {
		all = append(all, binary.BigEndian.Uint64(r.hash[:]))
	}
	slices.Sort(all)
	return all
}

// seal returns the head to be written next. The claims of a full head are first
// copied to a segment. Every router that seals the same revision writes the same
// segment, so it is no error if the segment exists already. If sealing fails, the
// head keeps growing until a later attempt succeeds.
func (s *shard) seal(head *Ledger, revision int64) *Ledger {
	next := head.clone()
	if head.Len()*recordBytes < s.claimer.HeadBytes {
		return next
	}
	lease, err := s.claimer.grant()
	if err != nil {
		return next
	}
	segment := &Ledger{records: head.records}
	err = s.claimer.put(s.segmentKey(revision), segment.Encode(), kingcuphook.RevisionAbsent, lease)
	if err != nil && !errors.Is(err, kingcuphook.ErrConflict) {
		return next
	}
	s.sealed[revision] = hashPrefixes(segment)
	next.sealAs(revision, time.Now().Add(-s.claimer.Retention))
	s.claimer.count(func(n *Counts) { n.Sealed++ })
	return next
}
