package tallier

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// tokenUnit is the unit in which prompt tokens are told.
	tokenUnit = 128
	// entryBytes is the length of an entry: upstream, requests, tokens.
	entryBytes = 4 + 2 + 2
	// MaxEntries bounds the upstreams of one payload.
	MaxEntries = 160
)

// Key stands for a running program in payloads.
type Key uint32

// KeyOf returns the key of the program of an upstream.
func KeyOf(u *kingcuphook.Upstream) Key {
	return Key(xxhash.Sum64String(u.Address() + " " + u.Instance() + " " + strconv.FormatInt(u.Born(), 10)))
}

// Load is what runs on an upstream.
type Load struct {
	// Running counts the requests, Reading their prompt tokens that are being read.
	Running, Reading int
}

// Loads has what runs on each upstream.
type Loads map[Key]Load

// Add adds other loads to l.
func (l Loads) Add(other Loads) {
	for k, o := range other {
		s := l[k]
		l[k] = Load{Running: s.Running + o.Running, Reading: s.Reading + o.Reading}
	}
}

// Encode returns the loads in as few payloads as hold them. Each program has its place
// in one of them, whatever runs there, so that what a payload does not name is 0.
func (l Loads) Encode() [][]byte {
	n := max((len(l)+MaxEntries/2-1)/(MaxEntries/2), 1)
	if len(l) <= MaxEntries {
		n = 1
	}
	parts := make([][]byte, n)
	for _, k := range slices.Sorted(maps.Keys(l)) {
		i := int(k) % n
		if len(parts[i]) >= MaxEntries*entryBytes {
			continue
		}
		parts[i] = binary.BigEndian.AppendUint32(parts[i], uint32(k))
		parts[i] = binary.BigEndian.AppendUint16(parts[i], bounded(l[k].Running))
		parts[i] = binary.BigEndian.AppendUint16(parts[i], bounded(l[k].Reading/tokenUnit))
	}
	return parts
}

func bounded(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// Decode reads a payload of Encode. The error wraps ErrInvalid.
func Decode(payload []byte) (Loads, error) {
	if len(payload)%entryBytes != 0 || len(payload) > MaxEntries*entryBytes {
		return nil, fmt.Errorf("tallier: payload of %d bytes: %w", len(payload), kingcuphook.ErrInvalid)
	}
	l := make(Loads, len(payload)/entryBytes)
	for b := payload; len(b) > 0; b = b[entryBytes:] {
		l[Key(binary.BigEndian.Uint32(b))] = Load{
			Running: int(binary.BigEndian.Uint16(b[4:])),
			Reading: int(binary.BigEndian.Uint16(b[6:])) * tokenUnit,
		}
	}
	return l, nil
}
