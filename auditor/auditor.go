// Package auditor stores the part of the audit trail that is not in the change log of the
// tables: the rejected edits. Accepted edits are recorded in the change log by the
// compare-and-swap that applies them.
package auditor

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gen/tablespb"
)

const (
	// Key is the key of the audit trail in the store.
	Key = "audit/trail"
	// MaxRecords is the number of newest records that are kept.
	MaxRecords = 256
	// maxTextBytes bounds each text of a record.
	maxTextBytes = 512
	// addTimeout bounds the writing of one record.
	addTimeout = 2 * time.Second
	// addAttempts bounds the compare-and-swap attempts for one record.
	addAttempts = 4
)

// RecordKind is the kind of event that a record describes.
type RecordKind string

// Values of RecordKind.
const (
	// RecordRejected is the rejection of an edit.
	RecordRejected RecordKind = "refused"
)

// RecordFields holds the fields of a new Record.
type RecordFields struct {
	// Kind is the kind of the event.
	Kind RecordKind
	// EditID identifies the edit; empty if there is none.
	EditID string
	// Author is the author of the edit, or the process that recorded the event.
	Author string
	// Reason is the author's reason for the edit.
	Reason string
	// Time is the time of the event by the clock of the process that recorded it.
	Time time.Time
	// Revision is the base revision of a rejected edit, or the revision at the event.
	Revision int64
	// Cause is why the edit was rejected.
	Cause string
}

// Record is one entry of the trail. It is immutable.
type Record struct {
	f RecordFields
}

// NewRecord returns a record; long texts are truncated.
func NewRecord(f RecordFields) Record {
	f.EditID, f.Author, f.Reason, f.Cause = truncate(f.EditID), truncate(f.Author), truncate(f.Reason), truncate(f.Cause)
	return Record{f: f}
}

// truncate cuts s to maxTextBytes and removes invalid UTF-8.
func truncate(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxTextBytes)], "")
}

// Fields returns the fields of r.
func (r Record) Fields() RecordFields { return r.f }

// Auditor adds records to the trail. Its fields are set before first use. It is
// safe for concurrent use.
type Auditor struct {
	// Store is the platform's key-value service.
	Store kingcuphook.Store
	// Limit limits the rate of records; nil means no limit.
	Limit *rate.Limiter

	dropped atomic.Int64
}

// Dropped returns the number of records that were not written.
func (a *Auditor) Dropped() int64 { return a.dropped.Load() }

// Add writes a record within 2 s, even if ctx ends before. A record that exceeds the rate
// limit or can't be written is dropped and counted.
func (a *Auditor) Add(ctx context.Context, r Record) {
	if a.Limit != nil && !a.Limit.Allow() {
		a.dropped.Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), addTimeout)
	defer cancel()
	for range addAttempts {
		err := a.add(ctx, r)
		if err == nil {
			return
		}
		if !errors.Is(err, kingcuphook.ErrConflict) {
			break
		}
	}
	a.dropped.Add(1)
}

func (a *Auditor) add(ctx context.Context, r Record) error {
	records, revision, err := read(ctx, a.Store)
	if err != nil {
		return err
	}
	records = append(records, r)
	records = records[max(0, len(records)-MaxRecords):]
	data, err := encode(records)
	if err != nil {
		return err
	}
	_, err = a.Store.Put(ctx, Key, data, revision, 0)
	return err
}

// Read returns the records of the trail, oldest first.
func Read(ctx context.Context, s kingcuphook.Store) ([]Record, error) {
	records, _, err := read(ctx, s)
	if err != nil {
		return nil, fmt.Errorf("auditor: %w", err)
	}
	return records, nil
}

// read returns the records of the trail and the store's revision of its key. A value that
// can't be decoded counts as empty, so that new records can still be added.
func read(ctx context.Context, s kingcuphook.Store) ([]Record, int64, error) {
	e, err := s.Get(ctx, Key)
	if errors.Is(err, kingcuphook.ErrNotFound) {
		return nil, kingcuphook.RevisionAbsent, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return decode(e.Value()), e.Revision(), nil
}

func encode(records []Record) ([]byte, error) {
	m := &tablespb.Trail{Records: make([]*tablespb.Record, len(records))}
	for i, r := range records {
		m.Records[i] = &tablespb.Record{
			Kind: string(r.f.Kind), EditId: r.f.EditID, Author: r.f.Author, Reason: r.f.Reason,
			TimeUnixMilliseconds: r.f.Time.UnixMilli(), Revision: r.f.Revision, Cause: r.f.Cause,
		}
	}
	return proto.Marshal(m)
}

func decode(data []byte) []Record {
	var m tablespb.Trail
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil
	}
	records := make([]Record, len(m.GetRecords()))
	for i, r := range m.GetRecords() {
		records[i] = NewRecord(RecordFields{
			Kind: RecordKind(r.GetKind()), EditID: r.GetEditId(), Author: r.GetAuthor(), Reason: r.GetReason(),
			Time: time.UnixMilli(r.GetTimeUnixMilliseconds()).UTC(), Revision: r.GetRevision(), Cause: r.GetCause(),
		})
	}
	return records
}
