// Package withdrawer takes upstreams out of use that say themselves that they leave,
// whatever their registration says. A router that hears it from the upstream holds it
// until another program runs there; what a peer tells holds for a short time, and is
// not told on.
package withdrawer

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// toldFor is how long it holds that a peer told of an upstream.
	toldFor = 10 * time.Second
	// forgetAfter is how long a program is remembered that is not in the tables.
	forgetAfter = 10 * time.Minute
	// maxSaid and maxTold bound the programs that are remembered.
	maxSaid = 1024
	maxTold = 1024
	// MaxEntries bounds the upstreams that one payload tells of.
	MaxEntries = 8
	// entryBytes is the length of the key of a program in a payload.
	entryBytes = 8
	// MaxBytes bounds a payload.
	MaxBytes = MaxEntries * entryBytes
)

// Withdrawer knows the upstreams that leave. It is safe for concurrent use.
type Withdrawer struct {
	mu sync.Mutex
	// said has when each program told this router last that it leaves, or was in the
	// tables after it had.
	said map[kingcuphook.Program]time.Time
	// told has until when it holds that a peer told of a program, by its key.
	told map[uint64]time.Time
	// from and result are the tables that were changed last, and what became of them.
	from, result *kingcuphook.Tables
	// changed says that result is out of date, lapses when it will be; zero if never.
	changed bool
	lapses  time.Time
	// own are the keys of the upstreams of the tables that this router alone may know
	// to leave.
	own []uint64
}

// keyOf returns what stands for a program in payloads.
func keyOf(p kingcuphook.Program) uint64 {
	return xxhash.Sum64String(p.Address() + " " + p.Instance() + " " + strconv.FormatInt(p.Born(), 10))
}

// Said notes that a program told this router that it leaves. It reports whether that
// is new.
func (w *Withdrawer) Said(now time.Time, p kingcuphook.Program) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.said[p]; known {
		return false
	}
	if w.said == nil {
		w.said = make(map[kingcuphook.Program]time.Time)
	}
	if len(w.said) >= maxSaid {
		w.forgetOldest()
	}
	w.said[p] = now
	w.changed = true
	return true
}

func (w *Withdrawer) forgetOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(w.said)), func(a, b kingcuphook.Program) int {
		return w.said[a].Compare(w.said[b])
	})
	delete(w.said, oldest)
}

// Told takes the payload of a peer. It returns how many programs are new in it. The
// error wraps ErrInvalid.
func (w *Withdrawer) Told(now time.Time, payload []byte) (int, error) {
	if len(payload)%entryBytes != 0 || len(payload) > MaxBytes {
		return 0, fmt.Errorf("withdrawer: payload of %d bytes: %w", len(payload), kingcuphook.ErrInvalid)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.told == nil {
		w.told = make(map[uint64]time.Time)
	}
	added := 0
	for b := payload; len(b) > 0; b = b[entryBytes:] {
		key := binary.BigEndian.Uint64(b)
		_, known := w.told[key]
		if !known && len(w.told) >= maxTold {
			continue
		}
		if !known {
			added++
		}
		w.told[key] = now.Add(toldFor)
	}
	w.changed = w.changed || added > 0
	return added, nil
}

// Encode returns a payload that tells peers which upstreams told this router that
// they leave, but for those whose registration says so.
func (w *Withdrawer) Encode() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b []byte
	for _, key := range w.own[:min(len(w.own), MaxEntries)] {
		b = binary.BigEndian.AppendUint64(b, key)
	}
	// The next payload begins with the others.
	if len(w.own) > MaxEntries {
		w.own = slices.Concat(w.own[MaxEntries:], w.own[:MaxEntries])
	}
	return b
}

// Count returns how many upstreams of the tables leave by their own word alone.
func (w *Withdrawer) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.own)
}

// Apply returns the tables with the upstreams as leaving that say so, or t itself if
// there are none. It returns the same tables until something changes.
func (w *Withdrawer) Apply(now time.Time, t *kingcuphook.Tables) *kingcuphook.Tables {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t == nil {
		return nil
	}
	lapsed := !w.lapses.IsZero() && !now.Before(w.lapses)
	if t == w.from && !w.changed && !lapsed {
		return w.result
	}
	w.expire(now)
	w.from, w.changed, w.own = t, false, nil
	w.result = w.join(now, t)
	maps.DeleteFunc(w.said, func(_ kingcuphook.Program, at time.Time) bool { return now.Sub(at) > forgetAfter })
	return w.result
}

// expire forgets what peers told too long ago; mu is held.
func (w *Withdrawer) expire(now time.Time) {
	maps.DeleteFunc(w.told, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	w.lapses = time.Time{}
	for _, until := range w.told {
		if w.lapses.IsZero() || until.Before(w.lapses) {
			w.lapses = until
		}
	}
}

// join returns the tables with the upstreams that leave; mu is held.
func (w *Withdrawer) join(now time.Time, t *kingcuphook.Tables) *kingcuphook.Tables {
	pools := slices.Clone(t.Pools())
	changed := false
	for i, p := range pools {
		f := p.Fields()
		leave := 0
		for j, u := range f.Upstreams {
			if w.leaves(now, u) && !u.Leaving() {
				fields := u.Fields()
				fields.Leaving = true
				f.Upstreams[j] = kingcuphook.NewUpstream(fields)
				leave++
			}
		}
		if leave > 0 {
			pools[i] = kingcuphook.NewPool(f)
			changed = true
		}
	}
	if !changed {
		return t
	}
	return t.WithPools(pools)
}

// leaves reports whether an upstream of the tables said that it leaves; mu is held.
func (w *Withdrawer) leaves(now time.Time, u *kingcuphook.Upstream) bool {
	p := u.Program()
	if _, said := w.said[p]; said {
		w.said[p] = now
		if !u.Leaving() {
			w.own = append(w.own, keyOf(p))
		}
		return true
	}
	if len(w.told) == 0 {
		return false
	}
	_, told := w.told[keyOf(p)]
	return told
}
