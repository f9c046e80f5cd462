package attacher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/logger"
)

const (
	// partPrefix is the prefix of the keys of quarantined parts in the store.
	partPrefix = "quarantine/parts/"
	// trialOdds is the number of ticks of which a router proposes trials in one on average, so
	// that not all do at once.
	trialOdds = 8
)

// newPartFolder returns the folder of the records of quarantined prompt parts, by their hashes.
func newPartFolder(a *Attacher) recordFolder {
	return recordFolder{
		prefix:   partPrefix,
		label:    "part",
		rejected: logger.PartRecordRejected,
		failed:   logger.PartRecordFailed,
		decode:   decodePart,
		apply:    func(now time.Time, r record) { a.isolator.Apply(now, partOf(r)) },
	}
}

// partOf returns a record of the folder; a zero one if there is none.
func partOf(r record) isolator.Record {
	part, _ := r.(isolator.Record)
	return part
}

// decodePart decodes the record of the part whose hash is name.
func decodePart(name string, value []byte) (record, error) {
	part, err := isolator.DecodeRecord(value)
	if err != nil {
		return nil, err
	}
	if part.Part != name {
		return nil, fmt.Errorf("attacher: record of part %s: %w", part.Part, kingcuphook.ErrInvalid)
	}
	return part, nil
}

// writeParts writes a record that the store lacks.
func (c *control) writeParts(ctx context.Context, now time.Time) {
	if c.mayWriteRecords(now, &c.parts) {
		c.writeRecords(ctx, now, &c.parts, c.partChanges())
	}
}

// partChanges returns the records that replace those in the store.
func (c *control) partChanges() []recordChange {
	var list []recordChange
	for _, part := range c.a.isolator.Records() {
		stored := partOf(c.parts.stored[part.Part].record)
		if part.Replaces(stored) {
			part.Trials, part.TriedAt = stored.Trials, stored.TriedAt
			list = append(list, recordChange{name: part.Part, record: part})
		}
	}
	return list
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
	trial, due := stored.NextTrial(time.Now())
	if !due {
		return
	}
	if _, err := a.putRecord(ctx, entry.Key(), recordChange{name: part, record: trial}, entry.Revision()); err != nil {
		return
	}
	a.isolator.AllowTrial(trial)
	a.Log.Log(logger.PartTried, "part", part, "trials", trial.Trials, "since", trial.Since, "crashes", trial.Crashes)
}
