package quarantiner

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Limits of the encoding that peers exchange.
const (
	// MaxExported is the maximum number of entries in an export.
	MaxExported = 64
	// maxWithdrawals is how many of these are withdrawals, each of up to MaxCrashes crashes.
	maxWithdrawals = 8
	// maxAddressBytes is the maximum length of the address of an upstream, in bytes.
	maxAddressBytes = 64
)

// stateCodes lists the states by their code in the encoding. Of two changes at the same
// millisecond, the one with the higher code overrides the other.
var stateCodes = []state{stateSuspect, stateCleared, stateQuarantined, stateLifted}

// Export encodes entries for peers in at most limit bytes: the latest withdrawals in at most
// half of them, and suspects in order of rank and of these the last changed first. It returns
// nil if there are none.
func (q *Quarantiner) Export(now time.Time, limit int) []byte {
	list := q.List(now)
	slices.SortStableFunc(list, func(a, b Entry) int { return b.changedAt.Compare(a.changedAt) })
	slices.SortStableFunc(list, func(a, b Entry) int { return a.rank() - b.rank() })
	b := q.exportWithdrawn(limit / 2)
	for _, e := range list[:min(len(list), MaxExported-maxWithdrawals)] {
		next := e.append(b)
		if len(next) > limit {
			break
		}
		b = next
	}
	return b
}

func (e Entry) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, e.fingerprint)
	b = append(b, byte(slices.Index(stateCodes, e.state)), byte(len(e.crashes)))
	b = binary.BigEndian.AppendUint64(b, uint64(e.changedAt.UnixMilli()))
	for _, c := range e.crashes {
		b = binary.BigEndian.AppendUint64(b, uint64(c.at.UnixMilli()))
		b = append(b, byte(len(c.upstream)))
		b = append(b, c.upstream...)
	}
	return b
}

// Import merges the encoded entries of a peer. If any of them is malformed, it
// rejects all with an error that wraps kingcuphook.ErrInvalid. Changes with a time in
// the future get the current time.
func (q *Quarantiner) Import(now time.Time, b []byte) error {
	entries, err := decode(b)
	if err != nil {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range entries {
		q.importEntry(now, e)
	}
	q.expire(now)
	return nil
}

// importEntry merges an entry of a peer or of the store.
func (q *Quarantiner) importEntry(now time.Time, e Entry) {
	if e.changedAt.After(now) {
		e.changedAt = now
	}
	if e.fingerprint == 0 {
		q.importWithdrawn(now, e)
		return
	}
	for n := range e.crashes {
		e.crashes[n].knownAt = now
		q.lastCrash = later(q.lastCrash, e.crashes[n].at)
	}
	if !q.removeWithdrawn(&e) || len(e.crashes) > 0 {
		q.mergeEntry(e)
	}
}

// importWithdrawn applies the withdrawals of a peer.
func (q *Quarantiner) importWithdrawn(now time.Time, e Entry) {
	if e.state != stateCleared {
		return
	}
	for _, c := range e.crashes {
		q.withdraw(now, c.upstream, c.at)
	}
}

// mergeEntry merges the entry of a peer. If both routers have a suspect, it gets the
// crashes of both. A quarantine on one router isn't ended by a suspect on the other.
// In all other cases the later change overrides the earlier one.
func (q *Quarantiner) mergeEntry(e Entry) {
	own := q.entry(e.fingerprint)
	switch {
	case own.state == stateSuspect && e.state == stateSuspect:
		own.addCrashes(&e)
		own.crashes = slices.DeleteFunc(own.crashes, q.isAttributed)
		return
	case own.state == stateQuarantined && e.state == stateSuspect:
		own.changedAt = later(own.changedAt, e.changedAt)
		return
	case own.state == stateSuspect && e.state == stateQuarantined:
		e.changedAt = later(own.changedAt, e.changedAt)
	case own.state != "" && !e.overrides(own):
		return
	}
	*own = e
	if e.state == stateQuarantined {
		q.attribute(e.crashes)
	}
	if e.state == stateSuspect {
		own.crashes = slices.DeleteFunc(own.crashes, q.isAttributed)
	}
}

// addCrashes adds the crashes of the entry of a peer to the suspect e.
func (e *Entry) addCrashes(peer *Entry) {
	e.crashes = mergeCrashes(e.crashes, peer.crashes)
	e.changedAt = later(e.changedAt, peer.changedAt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// overrides reports whether e is a later change than own. Within the same millisecond
// the order of stateCodes decides, in which the lift by an operator comes last.
func (e *Entry) overrides(own *Entry) bool {
	if c := e.changedAt.Truncate(time.Millisecond).Compare(own.changedAt.Truncate(time.Millisecond)); c != 0 {
		return c > 0
	}
	return slices.Index(stateCodes, e.state) > slices.Index(stateCodes, own.state)
}

// Lengths of the encodings of an entry and of a crash without their variable parts.
const (
	entryBytes = 8 + 1 + 1 + 8
	crashBytes = 8 + 1
)

func decode(b []byte) ([]Entry, error) {
	var entries []Entry
	for len(b) > 0 {
		e, rest, ok := decodeEntry(b)
		if !ok || len(entries) == MaxExported {
			return nil, fmt.Errorf("quarantiner: malformed entries: %w", kingcuphook.ErrInvalid)
		}
		entries = append(entries, e)
		b = rest
	}
	return entries, nil
}

func decodeEntry(b []byte) (Entry, []byte, bool) {
	if len(b) < entryBytes || int(b[8]) >= len(stateCodes) || int(b[9]) > MaxCrashes {
		return Entry{}, nil, false
	}
	e := Entry{
		fingerprint: binary.BigEndian.Uint64(b),
		state:       stateCodes[b[8]],
		changedAt:   time.UnixMilli(int64(binary.BigEndian.Uint64(b[10:]))),
	}
	n := int(b[9])
	b = b[entryBytes:]
	for range n {
		if len(b) < crashBytes {
			return Entry{}, nil, false
		}
		at := time.UnixMilli(int64(binary.BigEndian.Uint64(b)))
		length := int(b[8])
		b = b[crashBytes:]
		if length > maxAddressBytes || length > len(b) {
			return Entry{}, nil, false
		}
		e.crashes = append(e.crashes, Crash{upstream: string(b[:length]), at: at})
		b = b[length:]
	}
	return e, b, true
}
