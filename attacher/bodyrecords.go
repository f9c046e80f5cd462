package attacher

import (
	"context"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/quarantiner"
)

// bodyPrefix is the prefix of the keys of quarantined bodies in the store.
const bodyPrefix = "quarantine/bodies/"

// newBodyFolder returns the folder of the records of quarantined bodies, by their hashes.
func newBodyFolder(a *Attacher) recordFolder {
	return recordFolder{
		prefix:   bodyPrefix,
		label:    "fingerprint",
		rejected: logger.BodyRecordRejected,
		failed:   logger.BodyRecordFailed,
		decode:   decodeBody,
		apply:    func(now time.Time, r record) { a.quarantine.Apply(now, bodyOf(r)) },
	}
}

// bodyOf returns a record of the folder; a zero one if there is none.
func bodyOf(r record) quarantiner.Record {
	body, _ := r.(quarantiner.Record)
	return body
}

// decodeBody decodes the record of the body whose hash is name.
func decodeBody(name string, value []byte) (record, error) {
	body, err := quarantiner.DecodeRecord(value)
	if err != nil {
		return nil, err
	}
	if body.Body != name {
		return nil, fmt.Errorf("attacher: record of body %s: %w", body.Body, kingcuphook.ErrInvalid)
	}
	return body, nil
}

// writeBodies writes or removes a record that the store lacks or has in vain.
func (c *control) writeBodies(ctx context.Context, now time.Time) {
	if c.mayWriteRecords(now, &c.bodies) {
		c.writeRecords(ctx, now, &c.bodies, c.bodyChanges(now))
	}
}

// bodyChanges returns the records that differ from those in the store: new ones, those of
// quarantines whose crashes were withdrawn, and expired ones, which are to be removed. A lift
// needs no record where no quarantine has one.
func (c *control) bodyChanges(now time.Time) []recordChange {
	var list []recordChange
	for _, body := range c.a.quarantine.Records(now) {
		stored, ok := c.bodies.stored[body.Body]
		if body.Replaces(bodyOf(stored.record)) && (ok || body.Quarantined()) {
			list = append(list, recordChange{name: body.Body, record: body, remove: c.a.quarantine.IsExpired(now, body)})
		}
	}
	for name, stored := range c.bodies.stored {
		body := bodyOf(stored.record)
		switch {
		case stored.record == nil:
		case c.a.quarantine.IsExpired(now, body):
			list = append(list, recordChange{name: name, record: body, remove: true})
		case c.a.quarantine.IsWithdrawn(body):
			list = append(list, recordChange{name: name, record: body.Lift(now)})
		}
	}
	return list
}
