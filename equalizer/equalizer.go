// Package equalizer encodes what organisations were served, by pool and tier, for the messages
// with which routers keep organisations fair over all routers.
package equalizer

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// EntryBytes is the length of an entry: organisation, pool and tier, rate, routers.
	EntryBytes = 2 + 1 + 1 + 1
	// MaxEntries is the maximum number of entries of a payload.
	MaxEntries = 32
	// rateSteps and routerSteps are the numbers of codes in which a rate and a number of routers
	// double.
	rateSteps   = 10
	routerSteps = 16
	// MaxRouterRate is the highest rate of one organisation at one router. More can't be served:
	// prompts of a million tokens are several megabytes each second.
	MaxRouterRate = 1 << 20
	// MaxRate is the highest rate of one organisation at all routers.
	MaxRate = 1 << 25
	// MaxRouters is the maximum number of routers of an entry.
	MaxRouters = 1 << 14
)

// Key identifies an organisation, a pool and a tier by their positions in a List.
type Key uint32

func keyOf(organisation, pool, tier int) Key { return Key(organisation<<8 | pool<<4 | tier) }

func (k Key) organisation() int { return int(k >> 8) }
func (k Key) pool() int         { return int(k >> 4 & 0xf) }
func (k Key) tier() int         { return int(k & 0xf) }

// Load is what an organisation was served of one tier of a pool.
type Load struct {
	// Rate is in tokens per second.
	Rate float64
	// Routers is the number of routers at which it has queued requests.
	Routers int
}

// Loads has the load of each key.
type Loads map[Key]Load

// Add adds other to l, up to MaxRate and MaxRouters.
func (l Loads) Add(other Loads) {
	for k, o := range other {
		s := l[k]
		l[k] = Load{Rate: min(s.Rate+o.Rate, MaxRate), Routers: min(s.Routers+o.Routers, MaxRouters)}
	}
}

// Without returns what is left of l when own is taken from it.
func (l Loads) Without(own Loads) Loads {
	left := make(Loads, len(l))
	for k, s := range l {
		o := own[k]
		left[k] = Load{Rate: max(s.Rate-o.Rate, 0), Routers: max(s.Routers-o.Routers, 0)}
	}
	return left
}

// Largest returns the n largest loads. Those with queued requests come before the others.
func (l Loads) Largest(n int) Loads {
	keys := slices.SortedFunc(maps.Keys(l), func(x, y Key) int {
		if queued := l[x].Routers > 0; queued != (l[y].Routers > 0) {
			if queued {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(l[y].Rate, l[x].Rate), cmp.Compare(x, y))
	})
	largest := make(Loads, min(n, len(keys)))
	for _, k := range keys[:min(max(n, 0), len(keys))] {
		largest[k] = l[k]
	}
	return largest
}

// Pools is a set of pools by their positions in a List.
type Pools uint16

// Omitted returns the pools of which l has organisations with queued requests that listed lacks.
func (l Loads) Omitted(listed Loads) Pools {
	var omitted Pools
	for k, s := range l {
		if _, ok := listed[k]; !ok && s.Routers > 0 {
			omitted |= 1 << k.pool()
		}
	}
	return omitted
}

// WithoutPools returns the loads of the other pools.
func (l Loads) WithoutPools(p Pools) Loads {
	left := maps.Clone(l)
	maps.DeleteFunc(left, func(k Key, _ Load) bool { return p&(1<<k.pool()) != 0 })
	return left
}

// Queued returns the loads of organisations that have queued requests at any router.
func (l Loads) Queued() Loads {
	queued := maps.Clone(l)
	maps.DeleteFunc(queued, func(_ Key, s Load) bool { return s.Routers == 0 })
	return queued
}

// Organisations returns the number of organisations that have loads.
func (l Loads) Organisations() int {
	seen := make(map[int]bool, len(l))
	for k := range l {
		seen[k.organisation()] = true
	}
	return len(seen)
}

// Encode returns the payload of at most MaxEntries loads.
func (l Loads) Encode() []byte {
	b := make([]byte, 0, len(l)*EntryBytes)
	for _, k := range slices.Sorted(maps.Keys(l)) {
		b = binary.BigEndian.AppendUint16(b, uint16(k.organisation()))
		b = append(b, byte(k), encodeLog(l[k].Rate, rateSteps), encodeLog(float64(l[k].Routers), routerSteps))
	}
	return b
}

// Decode parses a payload of Encode. No rate may be above maxRate, no number of routers above
// maxRouters. The error wraps ErrInvalid.
func Decode(b []byte, maxRate float64, maxRouters int) (Loads, error) {
	if len(b)%EntryBytes != 0 || len(b) > MaxEntries*EntryBytes {
		return nil, fmt.Errorf("equalizer: invalid payload length of %d bytes: %w", len(b), kingcuphook.ErrInvalid)
	}
	l := make(Loads, len(b)/EntryBytes)
	for ; len(b) > 0; b = b[EntryBytes:] {
		k := Key(uint32(binary.BigEndian.Uint16(b))<<8 | uint32(b[2]))
		s := Load{Rate: decodeLog(b[3], rateSteps), Routers: int(math.Round(decodeLog(b[4], routerSteps)))}
		_, repeated := l[k]
		switch {
		case k.tier() >= kingcuphook.TierCount:
			return nil, fmt.Errorf("equalizer: tier %d doesn't exist: %w", k.tier()+1, kingcuphook.ErrInvalid)
		case s.Rate > maxRate || s.Routers > maxRouters:
			return nil, fmt.Errorf("equalizer: %.0f tokens/s at %d routers are more than can be served: %w", s.Rate, s.Routers, kingcuphook.ErrInvalid)
		case repeated:
			return nil, fmt.Errorf("equalizer: an entry is repeated: %w", kingcuphook.ErrInvalid)
		}
		l[k] = s
	}
	return l, nil
}

// encodeLog encodes a value on a logarithmic scale from 1 up; 0 stands for less. No code stands
// for a value that is negative or not finite.
func encodeLog(v, steps float64) byte {
	if !(v >= 1) {
		return 0
	}
	return byte(min(1+math.Round(math.Log2(v)*steps), math.MaxUint8))
}

func decodeLog(code byte, steps float64) float64 {
	if code == 0 {
		return 0
	}
	return math.Exp2(float64(code-1) / steps)
}
