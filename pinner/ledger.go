package pinner

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// LedgerPrefix is the prefix of the keys of segments in the store.
	LedgerPrefix = "streams/"
	// segments is the number of segments of a router. The oldest is overwritten.
	segments = 8
	// maxLedgerBytes bounds the segments of one router, fleetLedgerBytes those of all routers,
	// since each router that starts reads them.
	maxLedgerBytes   = 32 << 10
	fleetLedgerBytes = 2 << 20
	minSegmentBytes  = 256
	// segmentFormat is the first byte of a segment.
	segmentFormat = 1
	// segmentHeaderBytes is the length of the format and the number of marks; loggedBytes
	// that of a stream: key, age and index of its mark.
	segmentHeaderBytes = 1 + 1
	loggedBytes        = keyBytes + ageBytes + 1
)

// ledger has the streams that are to be written to the store.
type ledger struct {
	// queued are the streams that were not written yet, at most maxEntries.
	queued []uint64
	// current are the streams in the segment with the number.
	current []uint64
	number  int
	// sealed is true if no more streams are added to the current segment.
	sealed bool
}

func (l *ledger) queue(key uint64) {
	if len(l.queued) >= maxEntries {
		l.queued = l.queued[1:]
	}
	l.queued = append(l.queued, key)
}

// Segment is a part of the ledger of a router.
type Segment struct {
	// Number tells it apart from the others of the router.
	Number int
	// Value is its encoding.
	Value []byte
	// Added are the keys of the streams that it adds to the ledger.
	Added []uint64
}

// NextSegment returns the segment to be written next, which has the newest streams that were not
// written yet, in a fleet of the given number of routers. ok is false if there are none.
func (p *Pinner) NextSegment(now time.Time, routers int) (s Segment, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &p.ledger
	if len(l.queued) == 0 {
		return Segment{}, false
	}
	bytes := max(min(maxLedgerBytes, fleetLedgerBytes/max(routers, 1))/segments, minSegmentBytes)
	most := (bytes - segmentHeaderBytes - maxVersions*markBytes) / loggedBytes
	n := min(len(l.queued), most)
	if l.sealed || len(l.current)+n > most {
		l.current, l.number, l.sealed = nil, (l.number+1)%segments, false
	}
	added := slices.Clone(l.queued[len(l.queued)-n:])
	for _, key := range added {
		if !slices.Contains(l.current, key) {
			l.current = append(l.current, key)
		}
	}
	l.queued = l.queued[:len(l.queued)-n]
	return Segment{Number: l.number, Value: p.encodeSegment(now, l.current), Added: added}, true
}

// Logged records that the ledger has the streams with the keys, as begun or as queued.
func (p *Pinner) Logged(now time.Time, keys []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range keys {
		if e, ok := p.begun.get(now, key); ok && e.mark == tentative {
			e.isLogged = true
			p.begun.entries[key] = e
		}
	}
}

// Seal begins another segment with the next stream. It is called after a failed write of the current
// one, which the store may apply after a later write.
func (p *Pinner) Seal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.sealed = true
}

// MayBeOverwritten reports whether the router that wrote the segment with the key may have overwritten
// others.
func MayBeOverwritten(key string) bool {
	return strings.HasSuffix(key, "/"+strconv.Itoa(segments-1))
}

// WriteAgain queues all streams for the ledger that have begun in pools with several versions. It
// is called when the store has come back from an older copy, which may lack segments.
func (p *Pinner) WriteAgain(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.queued, p.ledger.current = nil, nil
	p.forgetLogged()
	for name, pool := range p.pools {
		if pool.mixed {
			p.queueAll(now, name)
		}
	}
}

// forgetLogged forgets which queued streams the ledger has, since the store may have lost them.
func (p *Pinner) forgetLogged() {
	for key, e := range p.begun.entries {
		e.isLogged = false
		p.begun.entries[key] = e
	}
}

// encodeSegment encodes the streams that are still known.
func (p *Pinner) encodeSegment(now time.Time, keys []uint64) []byte {
	var marks []uint64
	index := make(map[uint64]int)
	var logged []byte
	for _, key := range keys {
		e, ok := p.begun.get(now, key)
		if !ok {
			continue
		}
		if _, ok := index[e.mark]; !ok {
			if len(marks) == math.MaxUint8 {
				continue
			}
			index[e.mark] = len(marks)
			marks = append(marks, e.mark)
		}
		logged = binary.BigEndian.AppendUint64(logged, key)
		logged = binary.BigEndian.AppendUint16(logged, encodeAge(now.Sub(e.at)))
		logged = append(logged, byte(index[e.mark]))
	}
	b := []byte{segmentFormat, byte(len(marks))}
	for _, mark := range marks {
		b = binary.BigEndian.AppendUint64(b, mark)
	}
	return append(b, logged...)
}

// DecodeSegment decodes a segment. The ages are those at the time at which it was written. The
// error wraps kingcuphook.ErrInvalid.
func DecodeSegment(b []byte) ([]Report, error) {
	if len(b) < segmentHeaderBytes || b[0] != segmentFormat || len(b) > maxLedgerBytes {
		return nil, fmt.Errorf("pinner: segment of %d bytes: %w", len(b), kingcuphook.ErrInvalid)
	}
	n := int(b[1])
	b = b[segmentHeaderBytes:]
	if len(b) < n*markBytes || (len(b)-n*markBytes)%loggedBytes != 0 {
		return nil, fmt.Errorf("pinner: segment of %d bytes with %d marks: %w", len(b), n, kingcuphook.ErrInvalid)
	}
	marks, b := b[:n*markBytes], b[n*markBytes:]
	var reports []Report
	for ; len(b) > 0; b = b[loggedBytes:] {
		index := int(b[keyBytes+ageBytes])
		if index >= n {
			return nil, fmt.Errorf("pinner: segment without mark %d: %w", index, kingcuphook.ErrInvalid)
		}
		reports = append(reports, Report{
			Key: binary.BigEndian.Uint64(b), Mark: binary.BigEndian.Uint64(marks[index*markBytes:]),
			Age: decodeAge(binary.BigEndian.Uint16(b[keyBytes:])),
		})
	}
	return reports, nil
}
