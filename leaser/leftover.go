package leaser

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// leftoverTTLs is how long a key must be unchanged, in times-to-live, before its lease is probed. A
// probe prolongs the lease of a dead holder.
const leftoverTTLs = 2

// leftover finds a key whose lease has ended. A store that has come back from an older copy may keep one for
// ever.
type leftover struct {
	// revision is that of the key when it was last read, seenAt when it was first read with it.
	revision int64
	seenAt   time.Time
	// lease is the lease of the key.
	lease kingcuphook.LeaseID
}

// observe records a read of the key, and reports whether its lease should be probed.
func (o *leftover) observe(now time.Time, ttl time.Duration, e kingcuphook.Entry) bool {
	if e.Revision() != o.revision {
		*o = leftover{revision: e.Revision(), seenAt: now}
	}
	var r record
	if json.Unmarshal(e.Value(), &r) != nil || r.Lease == 0 {
		return false
	}
	o.lease = kingcuphook.LeaseID(r.Lease)
	return now.Sub(o.seenAt) >= leftoverTTLs*ttl
}

// Probed handles the result of ActionProbe.
func (l *Leaser) Probed(now time.Time, err error) {
	l.next = ActionGet
	switch {
	case errors.Is(err, kingcuphook.ErrLeaseLost):
		l.next = ActionDelete
		l.notUntil = now
	case err != nil:
		l.backoff(now)
	default:
		l.leftover.seenAt = now
		l.schedule(now, ActionGet, l.pollInterval())
	}
}

// Deleted handles the result of ActionDelete.
func (l *Leaser) Deleted(now time.Time, err error) {
	l.next = ActionGet
	l.notUntil = now
	if err != nil {
		l.backoff(now)
	}
}
