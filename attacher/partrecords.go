package attacher

import (
	"context"
	"errors"
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

// tryParts lets one request of the fleet with a quarantined part through, if trials are due, and
// writes the results of earlier trials. The compare-and-swap of the record decides which router makes
// a trial. A router that stops begins none.
func (c *control) tryParts(ctx context.Context, now time.Time) {
	if c.store.IsUnavailable() {
		return
	}
	for _, u := range c.a.isolator.TrialUpdates(now) {
		go c.a.updateTrial(ctx, u)
	}
	if c.a.stopping.Started() || rand.N(trialOdds) > 0 {
		return
	}
	for _, part := range c.a.isolator.TrialsWanted(now) {
		go c.a.tryPart(ctx, part)
	}
}

// tryPart allows a trial of a part if it can write the record of it.
func (a *Attacher) tryPart(ctx context.Context, part string) {
	entry, stored, err := a.storedPart(ctx, part)
	if err != nil {
		return
	}
	trial, due := stored.NextTrial(time.Now())
	if !due {
		return
	}
	_, err = a.putRecord(ctx, entry.Key(), recordChange{name: part, record: trial}, entry.Revision())
	switch {
	case errors.Is(err, kingcuphook.ErrConflict):
	case err != nil:
		// The write may have succeeded nevertheless, and the trial then has to be marked as void.
		a.isolator.AbandonTrial(time.Now(), trial)
	default:
		a.isolator.AllowTrial(time.Now(), trial)
		a.Log.Log(logger.PartTried, "part", part, "trials", trial.Trials, "since", trial.Since, "crashes", trial.Crashes)
	}
}

// updateTrial changes the record of a trial. tryParts repeats an update that failed.
func (a *Attacher) updateTrial(ctx context.Context, u isolator.TrialUpdate) {
	entry, stored, err := a.storedPart(ctx, u.Part())
	if errors.Is(err, kingcuphook.ErrNotFound) || errors.Is(err, kingcuphook.ErrInvalid) {
		a.isolator.EndUpdate(u, false)
	}
	if err != nil {
		return
	}
	record, ok := u.Apply(time.Now(), stored)
	if ok {
		_, err = a.putRecord(ctx, entry.Key(), recordChange{name: u.Part(), record: record}, entry.Revision())
	}
	if err != nil {
		return
	}
	a.isolator.EndUpdate(u, ok)
	if ok && u.IsVoid() {
		a.Log.Log(logger.PartTrialVoid, "part", u.Part(), "trials", record.Trials, "since", record.Since)
	}
}

// storedPart reads the record of a part.
func (a *Attacher) storedPart(ctx context.Context, part string) (kingcuphook.Entry, isolator.Record, error) {
	entry, err := a.store.Get(ctx, partPrefix+part)
	if err != nil {
		return kingcuphook.Entry{}, isolator.Record{}, err
	}
	record, err := isolator.DecodeRecord(entry.Value())
	return entry, record, err
}
