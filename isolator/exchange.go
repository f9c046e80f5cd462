package isolator

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Limits of the messages that peers exchange.
const (
	// messageType is the first byte of a message.
	messageType = 'p'
	// maxReported bounds the crashes of an entry in a message, the latest ones.
	maxReported = 8
	// maxGeneration bounds the changes of the state of a part.
	maxGeneration = math.MaxUint8
	// changedTTL is how long an entry is sent after it has changed.
	changedTTL = 5 * time.Second
	// crashAgeUnit and stateAgeUnit are the units of the ages in messages. Ages are sent
	// since the clocks of two VMs differ.
	crashAgeUnit = 8 * time.Millisecond
	stateAgeUnit = time.Second
	// entryBytes, sinceBytes and crashBytes are the lengths of the encodings of an entry without
	// crashes, of when it got its state, which suspects lack, and of a crash.
	entryBytes = 8 + 1 + 1 + 1
	sinceBytes = 4
	crashBytes = 4 + 1 + 2
	// maxCrashAge is the greatest age of a crash in a message, in crashAgeUnit; the bits above
	// it have the flags.
	maxCrashAge = 1<<14 - 1
)

// Flags of a crash in a message.
const (
	flagExcused = 1 << (14 + iota)
	flagFollowed
)

// stateCodes lists the states by their code in the encoding.
var stateCodes = []State{StateSuspect, StateQuarantined, StateLifted}

// IsMessage reports whether a message of a peer is one of this package.
func IsMessage(b []byte) bool { return len(b) > 0 && b[0] == messageType }

// Export encodes, in at most limit bytes, the entries that have changed lately, or else those
// of ExportStates. It reports whether something has changed.
func (i *Isolator) Export(now time.Time, limit int) (message []byte, changed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.update(now)
	message = i.exportChanged(now, limit)
	if message != nil {
		return message, true
	}
	return i.exportStates(now, limit), false
}

// exportChanged encodes the entries and the withdrawals that have changed lately. It returns nil
// if there are none.
func (i *Isolator) exportChanged(now time.Time, limit int) []byte {
	changed := func(e *Entry) bool { return now.Sub(e.changedAt) <= changedTTL }
	w := i.newWithdrawals(now)
	if w == nil {
		return i.export(now, limit, changed)
	}
	message := w.append([]byte{messageType}, now)
	if entries := i.export(now, limit-len(message)+1, changed); entries != nil {
		message = append(message, entries[1:]...)
	}
	return message
}

// ExportStates encodes, in at most limit bytes, the entries that are quarantined or lifted.
func (i *Isolator) ExportStates(now time.Time, limit int) []byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.update(now)
	return i.exportStates(now, limit)
}

func (i *Isolator) exportStates(now time.Time, limit int) []byte {
	return i.export(now, limit, func(e *Entry) bool { return e.state != StateSuspect })
}

// export encodes the wanted entries, quarantined ones and those with the most crashes first. If
// they don't fit, successive calls return them in turn. It returns nil if there are none.
func (i *Isolator) export(now time.Time, limit int, wanted func(*Entry) bool) []byte {
	var list []*Entry
	for _, e := range i.entries {
		if wanted(e) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, (*Entry).compare)
	return i.appendEntries(now, list, limit)
}

// appendEntries encodes the first entry and then others in turn, as long as they fit.
func (i *Isolator) appendEntries(now time.Time, list []*Entry, limit int) []byte {
	if len(list) == 0 {
		return nil
	}
	b := []byte{messageType}
	for n, e := range list {
		if n > 0 {
			e = list[1+(i.sent+n-1)%(len(list)-1)]
		}
		if len(b)+e.encodedBytes() > limit {
			i.sent += max(n-1, 0)
			return b
		}
		b = e.append(b, now)
	}
	return b
}

func (e *Entry) encodedBytes() int {
	n := entryBytes + len(e.reported())*crashBytes
	if e.state != StateSuspect {
		n += sinceBytes
	}
	return n
}

// reported returns the crashes for a message: the latest excused one, before which all are
// excused, and the latest of those after it.
func (e *Entry) reported() []Crash {
	first := 0
	for n, c := range e.crashes {
		if c.excused {
			first = n
		}
	}
	return e.crashes[max(len(e.crashes)-maxReported, first):]
}

func (e *Entry) append(b []byte, now time.Time) []byte {
	crashes := e.reported()
	b = binary.BigEndian.AppendUint64(b, e.part)
	b = append(b, byte(slices.Index(stateCodes, e.state)), e.generation, byte(len(crashes)))
	if e.state != StateSuspect {
		b = binary.BigEndian.AppendUint32(b, uint32(encodeAge(now.Sub(e.since), stateAgeUnit, math.MaxUint32)))
	}
	for _, c := range crashes {
		b = binary.BigEndian.AppendUint32(b, c.program)
		b = append(b, c.pool)
		b = binary.BigEndian.AppendUint16(b, uint16(encodeAge(now.Sub(c.at), crashAgeUnit, maxCrashAge))|c.flags())
	}
	return b
}

func (c Crash) flags() uint16 {
	var flags uint16
	if c.excused {
		flags |= flagExcused
	}
	if c.followed {
		flags |= flagFollowed
	}
	return flags
}

// encodeAge returns an age in whole units, at most limit.
func encodeAge(age, unit time.Duration, limit int64) int64 {
	return min(max(int64(age/unit), 0), limit)
}

// Import merges the message of a peer. If it is malformed, it is rejected with an error that
// wraps kingcuphook.ErrInvalid.
func (i *Isolator) Import(now time.Time, b []byte) error {
	received, err := decode(now, b)
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, e := range received {
		i.mergeEntry(now, e)
	}
	return nil
}

// mergeEntry merges the entry of a peer. The state of the later generation is current; in the
// same generation, a lift is.
func (i *Isolator) mergeEntry(now time.Time, received Entry) {
	if received.part == withdrawnPart {
		for _, c := range received.crashes {
			i.withdraw(now, c.program, c.at)
		}
		return
	}
	received.crashes = slices.DeleteFunc(received.crashes, i.isWithdrawn)
	if received.state == StateSuspect && len(received.crashes) == 0 {
		return
	}
	e := i.entry(received.part)
	for _, c := range received.crashes {
		i.recordCrash(c.at, c.program)
		i.noteCrash(c)
		if e.addCrash(c) {
			e.changedAt = now
		}
		if c.excused {
			e.excuse(c.at)
		}
	}
	if !received.overrides(e) {
		return
	}
	i.adopt(now, e, received, received.since)
}

// overrides reports whether the state of e replaces that of own. A quarantine without the
// crashes that it needs doesn't.
func (e *Entry) overrides(own *Entry) bool {
	if e.state == StateQuarantined && len(e.crashes) < minCrashes {
		return false
	}
	return e.state != StateSuspect && isLater(e.generation, e.state, own)
}

func decode(now time.Time, b []byte) ([]Entry, error) {
	if !IsMessage(b) {
		return nil, fmt.Errorf("isolator: not a message: %w", kingcuphook.ErrInvalid)
	}
	var entries []Entry
	for b = b[1:]; len(b) > 0; {
		e, rest, ok := decodeEntry(now, b)
		if !ok {
			return nil, fmt.Errorf("isolator: malformed entries: %w", kingcuphook.ErrInvalid)
		}
		entries = append(entries, e)
		b = rest
	}
	return entries, nil
}

func decodeEntry(now time.Time, b []byte) (Entry, []byte, bool) {
	if len(b) < entryBytes || int(b[8]) >= len(stateCodes) || int(b[10]) > maxReported {
		return Entry{}, nil, false
	}
	e := Entry{part: binary.BigEndian.Uint64(b), state: stateCodes[b[8]], generation: b[9]}
	n := int(b[10])
	b = b[entryBytes:]
	if e.state != StateSuspect {
		if len(b) < sinceBytes {
			return Entry{}, nil, false
		}
		e.since = now.Add(-time.Duration(binary.BigEndian.Uint32(b)) * stateAgeUnit)
		b = b[sinceBytes:]
	}
	if len(b) < n*crashBytes {
		return Entry{}, nil, false
	}
	for range n {
		e.crashes = append(e.crashes, decodeCrash(now, b))
		b = b[crashBytes:]
	}
	return e, b, true
}

func decodeCrash(now time.Time, b []byte) Crash {
	ageAndFlags := binary.BigEndian.Uint16(b[5:])
	return Crash{
		program:  binary.BigEndian.Uint32(b),
		pool:     b[4],
		at:       now.Add(-time.Duration(ageAndFlags&maxCrashAge) * crashAgeUnit),
		knownAt:  now,
		excused:  ageAndFlags&flagExcused != 0,
		followed: ageAndFlags&flagFollowed != 0,
	}
}
