package attacher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/pauser"
	"github.com/kingcuphook/kingcuphook/pinner"
)

const (
	// ledgerPoll is how often the writer of the ledger looks for streams that had begun before
	// a second version came.
	ledgerPoll = 150 * time.Millisecond
	// minLedgerRetryDelay is the shortest mean delay after a failed write of the ledger.
	minLedgerRetryDelay = 300 * time.Millisecond
	// recordRetryDelay is the delay after a failed write of a record of versions.
	recordRetryDelay = 2 * time.Second
	// firstRecordRetryDelay is that delay while streams wait for the first record of a pool.
	firstRecordRetryDelay = 300 * time.Millisecond
	// keyBase is the base of numbers in keys.
	keyBase = 36
)

// ledgerWriter writes the streams that began at this router to the store, while several
// versions of a pool are or were in service.
type ledgerWriter struct {
	pins *pins
	// prefix is the prefix of the keys of this run of the router. An earlier run's segments
	// are kept until their lease ends.
	prefix string
	// lease is the lease of the segments, granted at grantedAt; 0 if there is none.
	lease     kingcuphook.LeaseID
	grantedAt time.Time
	// era is the latest era of the store that the ledger was written in; 0 before.
	era int64
}

// runLedger writes the ledger until ctx ends.
func (a *Attacher) runLedger(ctx context.Context) {
	w := &ledgerWriter{
		pins:   a.pins,
		prefix: pinner.LedgerPrefix + a.Settings.Address().String() + "/" + strconv.FormatInt(time.Now().UnixMilli(), keyBase) + "/",
	}
	for w.await(ctx) {
		for {
			w.followEra()
			wait := a.pins.recordings.untilWrite(a.pins.pinner.HasMixed(), int(a.routers.Load()))
			if !pauser.Pause(ctx, wait) {
				return
			}
			segment, ok := a.pins.pinner.NextSegment(time.Now(), int(a.routers.Load()))
			if !ok {
				break
			}
			w.writeUntilDone(ctx, segment)
		}
	}
}

// followEra has the ledger written again if the store has come back from an older copy.
func (w *ledgerWriter) followEra() {
	era := w.pins.a.store.Era()
	if w.era != 0 && era != w.era {
		w.pins.pinner.WriteAgain(time.Now())
		w.pins.recordings.spread()
	}
	w.era = era
}

// await waits until streams may have to be written. It reports whether ctx is still active.
func (w *ledgerWriter) await(ctx context.Context) bool {
	poll := time.NewTimer(ledgerPoll)
	defer poll.Stop()
	select {
	case <-w.pins.recordings.queued:
	case <-poll.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// writeUntilDone writes a segment, and again after a delay if that fails.
func (w *ledgerWriter) writeUntilDone(ctx context.Context, s pinner.Segment) {
	for ctx.Err() == nil {
		routers := int(w.pins.a.routers.Load())
		w.pins.recordings.beginWrite(routers)
		err := w.write(ctx, s)
		if err == nil {
			w.pins.pinner.Logged(time.Now(), s.Added)
		}
		w.pins.recordings.endWrite(s.Added, err)
		if err == nil {
			return
		}
		w.pins.a.Log.Log(logger.VersionStoreFailed, "call", "put", "key", w.prefix, "error", err)
		w.pins.pinner.Seal()
		delay := max(minLedgerRetryDelay, pinner.WriteInterval(routers))
		pauser.Pause(ctx, delay/2+rand.N(delay))
	}
}

// write writes a segment with a lease that outlasts its streams.
func (w *ledgerWriter) write(ctx context.Context, s pinner.Segment) error {
	retention := w.pins.pinner.Retention()
	if w.lease == 0 || time.Since(w.grantedAt) > retention {
		lease, err := w.pins.a.store.Grant(ctx, 2*retention)
		if err != nil {
			return fmt.Errorf("attacher: lease of the ledger: %w", err)
		}
		w.lease, w.grantedAt = lease, time.Now()
		w.pins.recordings.sent()
	}
	_, err := w.pins.a.store.Put(ctx, w.prefix+strconv.Itoa(s.Number), s.Value, kingcuphook.RevisionAny, w.lease)
	if err != nil {
		w.lease = 0
		return fmt.Errorf("attacher: ledger: %w", err)
	}
	w.pins.writes.Add(1)
	return nil
}

// versionRecords is the state of the writes of the records of versions.
type versionRecords struct {
	// isRead is true once the store was read.
	isRead bool
	// missingSince is when this router found that a record has to be written; zero if none.
	missingSince time.Time
	// writing is true while a write is in flight, and nextWrite the earliest time of the next.
	writing   bool
	nextWrite time.Time
	// nextRead is the earliest time of the next read for versions that are held back.
	nextRead time.Time
	// nextAnnouncement is the earliest time of the next announcement to the other routers.
	nextAnnouncement time.Time
	// fleet is what was last found of the other routers.
	fleet pinner.Fleet
}

// writeVersions writes a record of versions that the store lacks, if this router follows the
// store. The delegates of a data centre take their turns, so that mostly one of them writes.
func (c *control) writeVersions(ctx context.Context, now time.Time) {
	v := &c.versions
	if v.writing || !v.isRead || now.Before(v.nextWrite) || c.store.IsUnavailable() || !c.delegator.Follows(now) {
		return
	}
	c.a.pins.pinner.SetEra(c.a.store.Era())
	writes := c.a.pins.pinner.Writes(now)
	if len(writes) == 0 {
		v.missingSince = time.Time{}
		return
	}
	if v.missingSince.IsZero() {
		v.missingSince = now
	}
	if now.Sub(v.missingSince) < c.recordTurn(now) {
		return
	}
	v.writing = true
	go func() {
		err := c.a.pins.writeRecords(ctx, writes)
		c.do(ctx, func(now time.Time) {
			v.writing = false
			if err != nil {
				c.a.Log.Log(logger.VersionStoreFailed, "call", "put", "key", pinner.RecordPrefix, "error", err)
				v.nextWrite = now.Add(c.retryDelayOfRecords(now))
			}
		})
	}()
}

// retryDelayOfRecords returns the delay after a failed write of a record.
func (c *control) retryDelayOfRecords(now time.Time) time.Duration {
	if c.a.pins.pinner.AwaitsRecords(now) {
		return firstRecordRetryDelay
	}
	return recordRetryDelay
}

// writeRecords writes records one after the other, until one fails.
func (s *pins) writeRecords(ctx context.Context, writes []pinner.Write) error {
	for _, w := range writes {
		if err := s.writeRecord(ctx, w); err != nil {
			return fmt.Errorf("attacher: %s: %w", w.Record.Key(), err)
		}
	}
	return nil
}

// writeRecord writes a record if that in the store has the expected revision, and otherwise
// reads that. One that is invalid is replaced.
func (s *pins) writeRecord(ctx context.Context, w pinner.Write) error {
	err := s.putRecord(ctx, w)
	if !errors.Is(err, kingcuphook.ErrConflict) {
		return err
	}
	sentAt := time.Now()
	entry, err := s.a.store.Get(ctx, w.Record.Key())
	if errors.Is(err, kingcuphook.ErrNotFound) {
		s.pinner.Missing(time.Now(), w.Record.Key())
		return nil
	}
	if err != nil {
		return fmt.Errorf("attacher: record of versions: %w", err)
	}
	if s.applyRecord(sentAt, entry) {
		return nil
	}
	return s.putRecord(ctx, w.Replacing(entry.Revision()))
}

// putRecord writes a record if that in the store has the expected revision.
func (s *pins) putRecord(ctx context.Context, w pinner.Write) error {
	value, err := w.Record.Encode()
	if err != nil {
		return err
	}
	s.writes.Add(1)
	sentAt := time.Now()
	revision, err := s.a.store.Put(ctx, w.Record.Key(), value, w.Revision, 0)
	if err != nil {
		return fmt.Errorf("attacher: record of versions: %w", err)
	}
	s.pinner.Apply(time.Now(), sentAt, w.Record, revision)
	s.a.Log.Log(logger.VersionsRecorded, "pool", w.Record.Pool, "versions", w.Record.String(), "base", w.Record.Base, "missing", w.Gap, "revision", revision, "revision-before", w.Revision)
	return nil
}
