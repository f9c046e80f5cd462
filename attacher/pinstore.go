package attacher

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/pinner"
)

// read schedules a read of what the store has of the pool. The channel is closed once a read
// that begins from now on has ended.
func (s *pins) read(pool string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted[pool], s.wantedAt = true, time.Now()
	if s.nextRead == nil {
		s.nextRead = make(chan struct{})
		interval := minReadInterval + time.Duration(s.a.routers.Load())*readIntervalPerRouter
		time.AfterFunc(time.Until(s.lastRead.Add(interval)), s.readStore)
	}
	return s.nextRead
}

// readStore reads the records of versions, unless they can't show anything, and the ledger if several versions
// are in service. Both calls are sent at the same time: what counts is that either was sent after the searches began.
func (s *pins) readStore() {
	s.reading.Lock()
	defer s.reading.Unlock()
	s.mu.Lock()
	done, wanted, sentAt := s.nextRead, s.wanted, later(time.Now(), s.wantedAt)
	s.nextRead, s.wanted, s.lastRead = nil, make(map[string]bool), time.Now()
	s.mu.Unlock()
	defer close(done)
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	var calls sync.WaitGroup
	if !s.all(wanted, s.needsNoRecord) {
		calls.Go(func() { s.readRecords(ctx, sentAt) })
	}
	isSingle := func(pool string) bool { return !s.pinner.IsMixed(pool) }
	needsLedger := !s.all(wanted, isSingle)
	if needsLedger {
		calls.Go(func() { s.readLedger(ctx, sentAt) })
	}
	calls.Wait()
	if !needsLedger && !s.all(wanted, isSingle) {
		s.readLedger(ctx, sentAt)
	}
}

// later returns the time, or the next one after another if the clock has not moved on since: some move in steps of
// 16 ms.
func later(now, other time.Time) time.Time {
	if now.After(other) {
		return now
	}
	return other.Add(1)
}

// readRecords reads the records of versions in the store, not before the given time.
func (s *pins) readRecords(ctx context.Context, sentAt time.Time) {
	entries, ok := s.list(ctx, pinner.RecordPrefix)
	s.applyRecords(sentAt, entries)
	if ok {
		s.pinner.RecordsRead(sentAt)
	}
}

// readLedger reads the ledger in the store, not before the given time.
func (s *pins) readLedger(ctx context.Context, sentAt time.Time) {
	entries, complete := s.list(ctx, pinner.LedgerPrefix)
	for _, e := range entries {
		reports, ok := s.decodeSegment(e)
		s.learn(reports, pinner.SourceStore)
		complete = complete && ok && !pinner.MayBeOverwritten(e.Key())
	}
	if complete {
		s.pinner.LedgerRead(sentAt)
	}
}

// isCertainlyMixed reports whether streams may have begun at several versions of the pool, whatever its
// record in the store is.
func (s *pins) isCertainlyMixed(pool string) bool {
	_, held := s.pinner.Held(time.Now(), pool)
	return s.pinner.IsMixed(pool) && !held
}

// needsNoRecord reports whether the record of the pool in the store can't show at which version a stream
// began, or may begin.
func (s *pins) needsNoRecord(pool string) bool {
	return s.isCertainlyMixed(pool) && !s.pinner.HasBase(pool) && !slices.Contains(s.pinner.UnreadPools(), pool)
}

func (s *pins) all(pools map[string]bool, is func(pool string) bool) bool {
	for pool := range pools {
		if !is(pool) {
			return false
		}
	}
	return true
}

// list returns the entries of the store with the prefix; ok is false if it can't be read.
func (s *pins) list(ctx context.Context, prefix string) (entries []kingcuphook.Entry, ok bool) {
	s.reads.Add(1)
	entries, err := s.a.store.List(ctx, prefix)
	if err != nil {
		s.a.Log.Log(logger.VersionStoreFailed, "call", "list", "key", prefix, "error", err)
	}
	return entries, err == nil
}

// applyEntries applies the entries of the store that tell of versions, those of a snapshot or
// changed ones, as read by a call that was sent at the given time.
func (s *pins) applyEntries(sentAt time.Time, entries []kingcuphook.Entry, snapshot bool) {
	s.applyRecords(sentAt, entries)
	if !snapshot {
		return
	}
	now := time.Now()
	present := make(map[string]bool)
	for _, e := range entries {
		present[e.Key()] = true
	}
	s.pinner.MissingExcept(now, present)
	for _, e := range entries {
		reports, _ := s.decodeSegment(e)
		for _, r := range reports {
			s.pinner.Learn(now, r, pinner.SourceStore)
		}
	}
}

// applyRecords applies the records of versions among entries, as read by a call that was sent at the
// given time.
func (s *pins) applyRecords(sentAt time.Time, entries []kingcuphook.Entry) {
	s.pinner.SetEra(s.a.store.Era())
	for _, e := range entries {
		if !strings.HasPrefix(e.Key(), pinner.RecordPrefix) {
			continue
		}
		if e.Deleted() {
			s.pinner.Missing(time.Now(), e.Key())
			continue
		}
		s.applyRecord(sentAt, e)
	}
}

// applyRecord applies a record of versions. It reports whether the record is valid.
func (s *pins) applyRecord(sentAt time.Time, e kingcuphook.Entry) bool {
	record, err := pinner.DecodeRecord(e.Key(), e.Value())
	if err != nil {
		s.logRejected(e, err)
		return false
	}
	s.pinner.Apply(time.Now(), sentAt, record, e.Revision())
	return true
}

// logRejected logs an invalid entry once, although it is read again and again.
func (s *pins) logRejected(e kingcuphook.Entry, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision, ok := s.rejected[e.Key()]; ok && revision == e.Revision() || !ok && len(s.rejected) >= maxRejected {
		return
	}
	s.rejected[e.Key()] = e.Revision()
	s.a.Log.Log(logger.VersionRecordRejected, "key", e.Key(), "revision", e.Revision(), "error", err)
}

// decodeSegment returns the streams in an entry, none if it is no segment of a ledger; ok is false if it
// can't be read.
func (s *pins) decodeSegment(e kingcuphook.Entry) (reports []pinner.Report, ok bool) {
	if !strings.HasPrefix(e.Key(), pinner.LedgerPrefix) || e.Deleted() {
		return nil, true
	}
	reports, err := pinner.DecodeSegment(e.Value())
	if err != nil {
		s.logRejected(e, err)
	}
	return reports, err == nil
}
