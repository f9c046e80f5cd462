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

// loads bounds the segments read at once.
const loads = 8

// segmentKey returns the key of a sealed segment.
func (s *shard) segmentKey(number int64) string {
	return fmt.Sprintf("%s%d", s.name, number)
}

// segment reads a sealed segment. A segment that is named by the head and does
// not exist is an error: its claims still count.
func (s *shard) segment(number int64) (*Ledger, error) {
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

// load brings the cache in step with the segments that the head names. A
// segment that cannot be read stays out of it.
func (s *shard) load(head *Ledger) {
	oldest := time.Now().Add(-s.claimer.Retention)
	kept := make(map[int64][]uint64, len(head.segments))
	var missing []int64
	for _, seg := range head.segments {
		starts, ok := s.sealed[seg.number]
		if ok {
			kept[seg.number] = starts
			continue
		}
		if !seg.last.Before(oldest) {
			missing = append(missing, seg.number)
		}
	}
	loaded := make([][]uint64, len(missing))
	var g errgroup.Group
	g.SetLimit(loads)
	for i, number := range missing {
		g.Go(func() error {
			if l, err := s.segment(number); err == nil {
				loaded[i] = starts(l)
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

// starts returns the sorted starts of the hashes of a ledger.
func starts(l *Ledger) []uint64 {
	all := make([]uint64, 0, l.Len())
	for _, r := range l.records {
		all = append(all, binary.BigEndian.Uint64(r.hash[:]))
	}
	slices.Sort(all)
	return all
}

// seal returns the head to be written next: a full head is first copied to a
// segment. Whoever seals the same revision writes the same segment, so a
// segment that exists is as good as one's own. If sealing fails, the head grows
// until it works.
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
	s.sealed[revision] = starts(segment)
	next.sealAs(revision, time.Now().Add(-s.claimer.Retention))
	s.claimer.count(func(n *Counts) { n.Sealed++ })
	return next
}
