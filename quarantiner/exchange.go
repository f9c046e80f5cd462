package quarantiner

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Bounds of the exchanged form.
const (
	// MaxExported is the most entries of one export.
	MaxExported = 64
	// maxAddress is the longest address of an upstream, in bytes.
	maxAddress = 64
)

// codes of the states in the exchanged form.
var codes = []state{stateSuspect, stateCleared, stateQuarantined, stateLifted}

// Export returns the entries that peers should know, those that matter most and
// changed last first, in at most limit bytes. It returns nil without entries.
func (q *Quarantiner) Export(now time.Time, limit int) []byte {
	list := q.List(now)
	slices.SortStableFunc(list, func(a, b Entry) int { return b.changed.Compare(a.changed) })
	slices.SortStableFunc(list, func(a, b Entry) int { return a.rank() - b.rank() })
	var b []byte
	for _, e := range list[:min(len(list), MaxExported)] {
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
	b = append(b, byte(slices.Index(codes, e.state)), byte(len(e.crashes)))
	b = binary.BigEndian.AppendUint64(b, uint64(e.changed.UnixMilli()))
	for _, c := range e.crashes {
		b = binary.BigEndian.AppendUint64(b, uint64(c.at.UnixMilli()))
		b = append(b, byte(len(c.upstream)))
		b = append(b, c.upstream...)
	}
	return b
}

// Import takes the entries of a peer. An input that is not understood is
// refused whole with an error that wraps kingcuphook.ErrInvalid. A change of a
// peer that claims to come from the future counts as made now.
func (q *Quarantiner) Import(now time.Time, b []byte) error {
	entries, err := decode(b)
	if err != nil {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range entries {
		if e.changed.After(now) {
			e.changed = now
		}
		q.adopt(e)
	}
	q.expire(now)
	return nil
}

// adopt merges the entry of a peer: two suspicions add up, a quarantine and a
// suspicion make a quarantine, and otherwise the later change holds.
func (q *Quarantiner) adopt(e Entry) {
	own := q.entry(e.fingerprint)
	switch {
	case own.state == stateSuspect && e.state == stateSuspect:
		own.join(&e)
		own.crashes = slices.DeleteFunc(own.crashes, q.isExplained)
		return
	case own.state == stateQuarantined && e.state == stateSuspect:
		own.changed = later(own.changed, e.changed)
		return
	case own.state == stateSuspect && e.state == stateQuarantined:
		e.changed = later(own.changed, e.changed)
	case own.state != "" && !e.overrides(own):
		return
	}
	*own = e
	if e.state == stateQuarantined {
		q.explain(e.crashes)
	}
	if e.state == stateSuspect {
		own.crashes = slices.DeleteFunc(own.crashes, q.isExplained)
	}
}

// join adds the suspicion of a peer to e.
func (e *Entry) join(peer *Entry) {
	e.crashes = merge(e.crashes, peer.crashes)
	e.changed = later(e.changed, peer.changed)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// overrides reports whether e is the later change. At the same millisecond the
// operator's word holds, and then the order of codes.
func (e *Entry) overrides(own *Entry) bool {
	if c := e.changed.Truncate(time.Millisecond).Compare(own.changed.Truncate(time.Millisecond)); c != 0 {
		return c > 0
	}
	return slices.Index(codes, e.state) > slices.Index(codes, own.state)
}

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
	if len(b) < entryBytes || int(b[8]) >= len(codes) || int(b[9]) > MaxCrashes {
		return Entry{}, nil, false
	}
	e := Entry{
		fingerprint: binary.BigEndian.Uint64(b),
		state:       codes[b[8]],
		changed:     time.UnixMilli(int64(binary.BigEndian.Uint64(b[10:]))),
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
		if length > maxAddress || length > len(b) {
			return Entry{}, nil, false
		}
		e.crashes = append(e.crashes, Crash{upstream: string(b[:length]), at: at})
		b = b[length:]
	}
	return e, b, true
}
