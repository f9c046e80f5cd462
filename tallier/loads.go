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
	"github.com/kingcuphook/kingcuphook/hasher"
)

const (
	// tokensPerUnit is the number of prompt tokens per unit in payloads.
	tokensPerUnit = 128
	// entryBytes is the length of an entry: key, requests, tokens.
	entryBytes = 4 + 2 + 2
	// MaxEntries is the maximum number of entries in a payload.
	MaxEntries = 160
)

// Key identifies the program of an upstream in payloads, by a hash of its address,
// instance and start time.
type Key uint32

// KeyOf returns the key of the program of an upstream.
func KeyOf(u *kingcuphook.Upstream) Key { return Key(u.ProgramKey()) }

// WaitingKey returns the key of the requests of a tier that are queued for a pool. Routers of
// older builds sum its entries up with the others and ignore them.
func WaitingKey(pool string, t kingcuphook.Tier) Key {
	return Key(xxhash.Sum64String("waiting " + pool + " " + strconv.Itoa(int(t))))
}

// heldSalt, ASCII "kv", makes the keys of held KV memory differ from those of programs.
const heldSalt = 0x6b76

// HeldKey returns the key of the KV memory that requests hold at the program of an upstream. Routers of older
// builds sum its entries up with the others and ignore them.
func HeldKey(u *kingcuphook.Upstream) Key { return Key(hasher.Mix(u.ProgramKey() ^ heldSalt)) }

// AddHeld adds the KV memory that requests of this router hold at an engine.
func (l Loads) AddHeld(h kingcuphook.HeldMemory) {
	if h.Requests == 0 {
		return
	}
	// Payloads have whole units. Rounding up keeps the sum over many routers from being too low.
	units := (h.Tokens + tokensPerUnit - 1) / tokensPerUnit
	l.Add(Loads{HeldKey(h.Upstream): {Running: h.Requests, PrefillTokens: units * tokensPerUnit}})
}

// Load is the load on one upstream.
type Load struct {
	// Running is the number of requests, PrefillTokens the number of their uncached
	// prompt tokens in prefill.
	Running, PrefillTokens int
}

// Loads has the load on each upstream.
type Loads map[Key]Load

// Add adds other to l.
func (l Loads) Add(other Loads) {
	for k, o := range other {
		s := l[k]
		l[k] = Load{Running: s.Running + o.Running, PrefillTokens: s.PrefillTokens + o.PrefillTokens}
	}
}

// Subtract subtracts numbers of requests by program, with their share of the tokens in prefill.
func (l Loads) Subtract(requests map[kingcuphook.Program]int) {
	for p, n := range requests {
		k := Key(p.Key())
		o, known := l[k]
		if !known {
			continue
		}
		left := max(o.Running-n, 0)
		if left == 0 {
			delete(l, k)
			continue
		}
		l[k] = Load{Running: left, PrefillTokens: o.PrefillTokens * left / o.Running}
	}
}

// Encode returns the loads as one payload or, if there are more than MaxEntries, as
// payloads of half of MaxEntries on average. The key alone decides which of the
// payloads has its entry, so that a key that is missing there has no load. Entries
// that exceed MaxEntries in a payload are left out.
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
		parts[i] = binary.BigEndian.AppendUint16(parts[i], clampUint16(l[k].Running))
		parts[i] = binary.BigEndian.AppendUint16(parts[i], clampUint16(l[k].PrefillTokens/tokensPerUnit))
	}
	return parts
}

// clampUint16 returns n limited to the range of uint16.
func clampUint16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// Decode parses a payload of Encode. The error wraps ErrInvalid.
func Decode(payload []byte) (Loads, error) {
	if len(payload)%entryBytes != 0 || len(payload) > MaxEntries*entryBytes {
		return nil, fmt.Errorf("tallier: invalid payload length of %d bytes: %w", len(payload), kingcuphook.ErrInvalid)
	}
	l := make(Loads, len(payload)/entryBytes)
	for b := payload; len(b) > 0; b = b[entryBytes:] {
		l[Key(binary.BigEndian.Uint32(b))] = Load{
			Running:       int(binary.BigEndian.Uint16(b[4:])),
			PrefillTokens: int(binary.BigEndian.Uint16(b[6:])) * tokensPerUnit,
		}
	}
	return l, nil
}
