package attacher

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/watcher"
)

// recordWriteStep is how long a delegate waits for another one to write a record, for each
// delegate that is before it.
const recordWriteStep = time.Second

// record is the state of something that is or was quarantined, as the store keeps it.
type record interface {
	Encode() ([]byte, error)
}

// recordFolder has the records of one kind as they stand in the store. They outlive all routers, which may
// end at the same moment.
type recordFolder struct {
	// prefix is the prefix of their keys. The rest is the name of the record.
	prefix string
	// label is the name of the names in logs.
	label string
	// rejected is logged for an invalid record, failed for a failed write.
	rejected, failed logger.Event
	// decode decodes the record with a name.
	decode func(name string, value []byte) (record, error)
	// apply passes a record to the part of the router that decides by it.
	apply func(now time.Time, r record)

	// stored has the records by name; nil until the store was read.
	stored map[string]storedRecord
	// missingSince has when this router found that a record has to be written.
	missingSince map[string]time.Time
	// writing is true while a write is in flight.
	writing bool
}

// storedRecord is a record with its revision in the store; it has no record if that is invalid.
type storedRecord struct {
	record   record
	revision int64
}

// recordChange is a record that the store lacks, or has in vain.
type recordChange struct {
	name   string
	record record
	// remove is true if the record is to be removed.
	remove bool
}

// applyRecords applies the records of a folder in an event of the store. A deleted record is written
// again: only a record that says so lifts a quarantine.
func (c *control) applyRecords(now time.Time, f *recordFolder, e watcher.Event) {
	known := f.stored
	if e.Kind == watcher.EventSnapshot || f.stored == nil {
		f.stored = make(map[string]storedRecord)
	}
	for _, entry := range e.Entries {
		c.applyRecord(now, f, entry, known)
	}
}

// applyRecord applies an entry if it is in the folder. An invalid record is logged unless it is among
// the known ones, and its revision is kept, so that it can be replaced.
func (c *control) applyRecord(now time.Time, f *recordFolder, entry kingcuphook.Entry, known map[string]storedRecord) {
	name, ok := strings.CutPrefix(entry.Key(), f.prefix)
	if !ok {
		return
	}
	if entry.Deleted() {
		delete(f.stored, name)
		return
	}
	r, err := f.decode(name, entry.Value())
	if err != nil {
		if known[name].revision != entry.Revision() {
			c.a.Log.Log(f.rejected, "key", entry.Key(), "revision", entry.Revision(), "error", err)
		}
		f.stored[name] = storedRecord{revision: entry.Revision()}
		return
	}
	f.stored[name] = storedRecord{record: r, revision: entry.Revision()}
	f.apply(now, r)
}

// mayWriteRecords reports whether this router follows the store and has no write to the folder in flight.
func (c *control) mayWriteRecords(now time.Time, f *recordFolder) bool {
	return !f.writing && f.stored != nil && !c.store.IsUnavailable() && c.delegator.Follows(now)
}

// writeRecords makes one of the changes to a folder that are due. The delegates of a data centre
// take their turns, so that mostly one of them writes.
func (c *control) writeRecords(ctx context.Context, now time.Time, f *recordFolder, changes []recordChange) {
	missing := make(map[string]time.Time)
	for _, change := range changes {
		since, ok := f.missingSince[change.name]
		if !ok {
			since = now
		}
		missing[change.name] = since
		if now.Sub(since) >= c.recordTurn(now) && !f.writing {
			c.writeRecord(ctx, f, change)
		}
	}
	f.missingSince = missing
}

// recordTurn returns how long this router waits for other delegates to write a record.
func (c *control) recordTurn(now time.Time) time.Duration {
	return time.Duration(max(slices.Index(c.delegator.Delegates(now), c.self), 0)) * recordWriteStep
}

// writeRecord makes a change if the record in the store still has the known revision. If it has
// another one, that is read.
func (c *control) writeRecord(ctx context.Context, f *recordFolder, change recordChange) {
	f.writing = true
	key, revision := f.prefix+change.name, f.stored[change.name].revision
	go func() {
		written, err := c.a.putRecord(ctx, key, change, revision)
		var found kingcuphook.Entry
		if errors.Is(err, kingcuphook.ErrConflict) {
			found, err = c.a.store.Get(ctx, key)
		}
		if change.remove && errors.Is(err, kingcuphook.ErrNotFound) {
			err = nil
		}
		c.do(ctx, func(now time.Time) {
			f.writing = false
			switch {
			case err != nil:
				c.a.Log.Log(f.failed, f.label, change.name, "remove", change.remove, "error", err)
				f.missingSince[change.name] = now.Add(recordWriteStep)
			case written != 0:
				f.stored[change.name] = storedRecord{record: change.record, revision: written}
			case change.remove && found.Key() == "":
				delete(f.stored, change.name)
			default:
				c.applyRecord(now, f, found, f.stored)
			}
		})
	}()
}

// putRecord makes a change if the record in the store has the revision; 0 means none. It returns the
// new revision.
func (a *Attacher) putRecord(ctx context.Context, key string, change recordChange, revision int64) (int64, error) {
	if change.remove {
		return 0, a.store.Delete(ctx, key, revision)
	}
	value, err := change.record.Encode()
	if err != nil {
		return 0, err
	}
	return a.store.Put(ctx, key, value, revision, 0)
}
