// Package auditor keeps the part of the audit trail that is not in the tables'
// own change log: the edits that were refused. Accepted
// edits are recorded by the edit itself, in the same compare-and-swap.
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
	// Key is the key of the trail in the store.
	Key = "audit/trail"
	// MaxRecords is how many records are kept.
	MaxRecords = 256
	// maxTextBytes bounds each text of a record.
	maxTextBytes = 512
	// addTimeout bounds the writing of one record.
	addTimeout = 2 * time.Second
	// addAttempts bounds the compare-and-swaps of one record.
	addAttempts = 4
)

// RecordKind says what a record is about.
type RecordKind string

// Values of RecordKind.
const (
	// RecordRefused is an edit that was refused.
	RecordRefused RecordKind = "refused"
)

// RecordFields are the fields a Record is made from.
type RecordFields struct {
	// Kind is what the record is about.
	Kind RecordKind
	// EditID identifies the edit; empty if there is none.
	EditID string
	// Author is who made the edit, or the router that saw the event.
	Author string
	// Reason is why the edit was made, in the author's words.
	Reason string
	// Time is when it happened, by the writer's clock.
	Time time.Time
	// Revision is the base of a refused edit, or the revision seen.
	Revision int64
	// Cause is why the edit was refused.
	Cause string
}

// Record is one entry of the trail. It is immutable.
type Record struct {
	f RecordFields
}

// NewRecord returns a record; texts that are too long are cut.
func NewRecord(f RecordFields) Record {
	f.EditID, f.Author, f.Reason, f.Cause = cut(f.EditID), cut(f.Author), cut(f.Reason), cut(f.Cause)
	return Record{f: f}
}

// cut shortens a text to its bound and makes it valid UTF-8.
func cut(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxTextBytes)], "")
}

// Fields returns the fields of r.
func (r Record) Fields() RecordFields { return r.f }

// Auditor adds records to the trail. Its fields are set before first use. It is
// safe for concurrent use.
type Auditor struct {
	// Store is the platform's key-value service.
	Store kingcuphook.Store
	// Limit bounds the records a second; nil means no bound.
	Limit *rate.Limiter

	dropped atomic.Int64
}

// Dropped returns how many records could not be written.
func (a *Auditor) Dropped() int64 { return a.dropped.Load() }

// Add writes a record, best effort and within 2 s. A record that is over the
// limit or that the store does not take is dropped and counted.
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

// read returns the records and the store's revision of the trail. A value that
// can't be read counts as empty, so that it does not stop new records.
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
