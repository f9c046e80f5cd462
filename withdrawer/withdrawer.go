// Package withdrawer marks upstreams as leaving that announce it themselves, also if
// their registration doesn't list them as leaving. If an upstream announces it to this
// router, it stays marked until another program runs at its address. A report by a peer
// expires after a short time, and is not forwarded to other peers.
package withdrawer

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// reportTTL is how long a report by a peer is valid.
	reportTTL = 10 * time.Second
	// announcementTTL is how long an announcement is kept while the program is not in
	// the tables.
	announcementTTL = 10 * time.Minute
	// maxAnnounced and maxReported limit the announcements and the reports that are
	// kept.
	maxAnnounced = 1024
	maxReported  = 1024
	// MaxEntries is the maximum number of programs in a payload.
	MaxEntries = 8
	// entryBytes is the length of the key of a program in a payload.
	entryBytes = 8
	// MaxBytes is the maximum length of a payload.
	MaxBytes = MaxEntries * entryBytes
)

// Withdrawer holds the upstreams that announced that they are leaving. It is safe for
// concurrent use.
type Withdrawer struct {
	mu sync.Mutex
	// announced has the programs that announced to this router that they are leaving.
	// The time is that of the announcement or, if later, when Apply last found the
	// program in the tables.
	announced map[kingcuphook.Program]time.Time
	// reported has the expiry of the reports by peers, by the key of the program.
	reported map[uint64]time.Time
	// input and result are the argument and the result of the last call of Apply.
	input, result *kingcuphook.Tables
	// marked has the marked copies of upstreams in result, by upstream.
	marked map[*kingcuphook.Upstream]*kingcuphook.Upstream
	// changed is set when result is out of date. nextExpiry is the first expiry in
	// reported at the last call of Apply; zero if reported was empty.
	changed    bool
	nextExpiry time.Time
	// ownKeys has the keys of the upstreams that announced to this router that they are
	// leaving and that the tables, as they were passed to Apply, don't list as leaving.
	ownKeys []uint64
}

// RecordAnnouncement records that a program announced to this router that it is
// leaving. It reports whether the announcement is new.
func (w *Withdrawer) RecordAnnouncement(now time.Time, p kingcuphook.Program) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.announced[p]; known {
		return false
	}
	if w.announced == nil {
		w.announced = make(map[kingcuphook.Program]time.Time)
	}
	if len(w.announced) >= maxAnnounced {
		w.deleteOldest()
	}
	w.announced[p] = now
	w.changed = true
	return true
}

// deleteOldest deletes the announcement with the earliest time. The caller must hold
// mu.
func (w *Withdrawer) deleteOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(w.announced)), func(a, b kingcuphook.Program) int {
		return w.announced[a].Compare(w.announced[b])
	})
	delete(w.announced, oldest)
}

// RecordReports records the payload of a peer. It returns the number of programs that
// it added. The error wraps ErrInvalid.
func (w *Withdrawer) RecordReports(now time.Time, payload []byte) (int, error) {
	if len(payload)%entryBytes != 0 || len(payload) > MaxBytes {
		return 0, fmt.Errorf("withdrawer: invalid payload length of %d bytes: %w", len(payload), kingcuphook.ErrInvalid)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reported == nil {
		w.reported = make(map[uint64]time.Time)
	}
	added := 0
	for b := payload; len(b) > 0; b = b[entryBytes:] {
		key := binary.BigEndian.Uint64(b)
		_, known := w.reported[key]
		if !known && len(w.reported) >= maxReported {
			continue
		}
		if !known {
			added++
		}
		w.reported[key] = now.Add(reportTTL)
	}
	w.changed = w.changed || added > 0
	return added, nil
}

// Encode returns a payload for peers with upstreams that announced to this router that
// they are leaving, except those that are registered as leaving. If there are more
// than MaxEntries, successive calls return them in turn.
func (w *Withdrawer) Encode() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b []byte
	for _, key := range w.ownKeys[:min(len(w.ownKeys), MaxEntries)] {
		b = binary.BigEndian.AppendUint64(b, key)
	}
	// The next payload starts with the entries that had no room in this one.
	if len(w.ownKeys) > MaxEntries {
		w.ownKeys = slices.Concat(w.ownKeys[MaxEntries:], w.ownKeys[:MaxEntries])
	}
	return b
}

// Count returns the number of upstreams of the tables that announced to this router
// that they are leaving but are not registered as leaving.
func (w *Withdrawer) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ownKeys)
}

// Apply returns a copy of the tables in which the upstreams that announced it are
// marked as leaving, or t itself if none has to be marked. It returns the same tables
// until t, the announcements or the valid reports change.
func (w *Withdrawer) Apply(now time.Time, t *kingcuphook.Tables) *kingcuphook.Tables {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t == nil {
		return nil
	}
	expired := !w.nextExpiry.IsZero() && !now.Before(w.nextExpiry)
	if t == w.input && !w.changed && !expired {
		return w.result
	}
	w.expire(now)
	w.input, w.changed, w.ownKeys = t, false, nil
	w.result = w.markLeaving(now, t)
	maps.DeleteFunc(w.announced, func(_ kingcuphook.Program, at time.Time) bool { return now.Sub(at) > announcementTTL })
	return w.result
}

// expire deletes the expired reports by peers. The caller must hold mu.
func (w *Withdrawer) expire(now time.Time) {
	maps.DeleteFunc(w.reported, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	w.nextExpiry = time.Time{}
	for _, until := range w.reported {
		if w.nextExpiry.IsZero() || until.Before(w.nextExpiry) {
			w.nextExpiry = until
		}
	}
}

// markLeaving returns the tables with the leaving upstreams marked. The caller must
// hold mu.
func (w *Withdrawer) markLeaving(now time.Time, t *kingcuphook.Tables) *kingcuphook.Tables {
	before := w.marked
	w.marked = make(map[*kingcuphook.Upstream]*kingcuphook.Upstream)
	if len(w.announced) == 0 && len(w.reported) == 0 {
		return t
	}
	pools := slices.Clone(t.Pools())
	changed := false
	for i, p := range pools {
		var f kingcuphook.PoolFields // copied when the first upstream is marked
		for j, u := range p.Upstreams() {
			if w.isLeaving(now, u) && !u.Leaving() {
				if f.Upstreams == nil {
					f = p.Fields()
				}
				f.Upstreams[j] = markedUpstream(u, before)
				w.marked[u] = f.Upstreams[j]
			}
		}
		if f.Upstreams != nil {
			pools[i] = kingcuphook.NewPool(f)
			changed = true
		}
	}
	if !changed {
		return t
	}
	return t.WithPools(pools)
}

// markedUpstream returns a copy of an upstream that is marked as leaving. It returns the copy that was made before, if
// any, so that new tables share it with the last ones.
func markedUpstream(u *kingcuphook.Upstream, before map[*kingcuphook.Upstream]*kingcuphook.Upstream) *kingcuphook.Upstream {
	if m := before[u]; m != nil {
		return m
	}
	f := u.Fields()
	f.Leaving = true
	return kingcuphook.NewUpstream(f)
}

// isLeaving reports whether an upstream of the tables announced, here or to a peer,
// that it is leaving. The caller must hold mu.
func (w *Withdrawer) isLeaving(now time.Time, u *kingcuphook.Upstream) bool {
	p := u.Program()
	if _, announced := w.announced[p]; announced {
		w.announced[p] = now
		if !u.Leaving() {
			w.ownKeys = append(w.ownKeys, p.Key())
		}
		return true
	}
	if len(w.reported) == 0 {
		return false
	}
	_, reported := w.reported[u.ProgramKey()]
	return reported
}
