package attacher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/watcher"
)

const (
	// partPrefix is the prefix of the keys of quarantined parts in the store. They outlive all
	// routers, which may end at the same moment.
	partPrefix = "quarantine/parts/"
	// partWriteStep is how long a delegate waits for another one to write a record, for each
	// delegate that is before it.
	partWriteStep = time.Second
	// trialOdds is the number of ticks of which a router proposes trials in one on average, so
	// that not all do at once.
	trialOdds = 8
)

// partRecords are the records of prompt parts as they stand in the store, by part, with their
// revisions.
type partRecords struct {
	stored map[string]storedPart
	// missingSince has when this router found that a record has to be written.
	missingSince map[string]time.Time
	// writing is true while a write is in flight.
	writing bool
}

// storedPart is the record of a part; the zero record stands for one that is invalid.
type storedPart struct {
	record   isolator.Record
	revision int64
}

// applyParts applies the records of prompt parts in an event of the store. A deleted record is
// written again: only a record that says so lifts a quarantine.
func (c *control) applyParts(now time.Time, e watcher.Event) {
	known := c.parts.stored
	if e.Kind == watcher.EventSnapshot || c.parts.stored == nil {
		c.parts.stored = make(map[string]storedPart)
	}
	for _, entry := range e.Entries {
		c.applyPart(now, entry, known)
	}
}

// applyPart applies an entry if it is the record of a prompt part. An invalid record is logged
// unless it is among the known ones, and its revision is kept, so that it can be replaced.
func (c *control) applyPart(now time.Time, entry kingcuphook.Entry, known map[string]storedPart) {
	name, ok := strings.CutPrefix(entry.Key(), partPrefix)
	if !ok {
		return
	}
	if entry.Deleted() {
		delete(c.parts.stored, name)
		return
	}
	record, err := decodePart(name, entry.Value())
	if err != nil && known[name].revision != entry.Revision() {
		c.a.Log.Log(logger.PartRecordRejected, "key", entry.Key(), "revision", entry.Revision(), "error", err)
	}
	c.parts.stored[name] = storedPart{record: record, revision: entry.Revision()}
	if err == nil {
		c.a.isolator.Apply(now, record)
	}
}

// decodePart decodes the record of the part whose hash is name.
func decodePart(name string, value []byte) (isolator.Record, error) {
	record, err := isolator.DecodeRecord(value)
	if err != nil {
		return isolator.Record{}, err
	}
	if record.Part != name {
		return isolator.Record{}, fmt.Errorf("attacher: record of part %s: %w", record.Part, kingcuphook.ErrInvalid)
	}
	return record, nil
}

// writeParts writes a record that the store lacks, if this router follows the store. The
// delegates of a data centre take their turns, so that mostly one of them writes.
func (c *control) writeParts(ctx context.Context, now time.Time) {
	if c.parts.writing || c.parts.stored == nil || c.store.IsUnavailable() || !c.delegator.Follows(now) {
		return
	}
	missing := make(map[string]time.Time)
	for _, record := range c.a.isolator.Records() {
		stored := c.parts.stored[record.Part]
		if !record.Replaces(stored.record) {
			continue
		}
		since, ok := c.parts.missingSince[record.Part]
		if !ok {
			since = now
		}
		missing[record.Part] = since
		if now.Sub(since) >= c.partTurn(now) && !c.parts.writing {
			record.Trials, record.TriedAt = stored.record.Trials, stored.record.TriedAt
			c.writePart(ctx, record, stored.revision)
		}
	}
	c.parts.missingSince = missing
}

// partTurn returns how long this router waits for other delegates to write a record.
func (c *control) partTurn(now time.Time) time.Duration {
	return time.Duration(max(slices.Index(c.delegator.Delegates(now), c.self), 0)) * partWriteStep
}

// writePart writes a record if that in the store still has the revision; 0 means none. If it has
// another one, that is read.
func (c *control) writePart(ctx context.Context, record isolator.Record, revision int64) {
	c.parts.writing = true
	go func() {
		written, err := c.a.putPart(ctx, record, revision)
		var found kingcuphook.Entry
		if errors.Is(err, kingcuphook.ErrConflict) {
			found, err = c.a.store.Get(ctx, partPrefix+record.Part)
		}
		c.do(ctx, func(now time.Time) {
			c.parts.writing = false
			switch {
			case err != nil:
				c.a.Log.Log(logger.PartRecordFailed, "part", record.Part, "state", record.State, "error", err)
				c.parts.missingSince[record.Part] = now.Add(partWriteStep)
			case written != 0:
				c.parts.stored[record.Part] = storedPart{record: record, revision: written}
			default:
				c.applyPart(now, found, c.parts.stored)
			}
		})
	}()
}

// putPart writes a record if that in the store has the revision, and returns the new revision.
func (a *Attacher) putPart(ctx context.Context, record isolator.Record, revision int64) (int64, error) {
	value, err := record.Encode()
	if err != nil {
		return 0, err
	}
	return a.store.Put(ctx, partPrefix+record.Part, value, revision, 0)
}

// tryParts lets one request of the fleet with a quarantined part through, if trials are due.
// The compare-and-swap of the record decides which router does so.
func (c *control) tryParts(ctx context.Context, now time.Time) {
	if c.store.IsUnavailable() || rand.N(trialOdds) > 0 {
		return
	}
	for _, part := range c.a.isolator.TrialsWanted(now) {
		go c.a.tryPart(ctx, part)
	}
}

// tryPart allows a trial of a part if it can write the record of it.
func (a *Attacher) tryPart(ctx context.Context, part string) {
	entry, err := a.store.Get(ctx, partPrefix+part)
	if err != nil {
		return
	}
	stored, err := isolator.DecodeRecord(entry.Value())
	if err != nil {
		return
	}
	record, due := stored.NextTrial(time.Now())
	if !due {
		return
	}
	if _, err := a.putPart(ctx, record, entry.Revision()); err != nil {
		return
	}
	a.isolator.AllowTrial(record)
	a.Log.Log(logger.PartTried, "part", part, "trials", record.Trials, "since", record.Since, "crashes", record.Crashes)
}
