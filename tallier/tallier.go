// Package tallier counts what each router has running on each upstream and what
// the others say of theirs. Routers send one another short digests; one that
// hears only some of the others takes them for a sample of all.
package tallier

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// defaultStale is the age at which a digest is no longer used.
	defaultStale = 2500 * time.Millisecond
	// maxEntries bounds the upstreams of one digest.
	maxEntries = 120
	// tokenUnit is the unit in which digests tell prompt tokens.
	tokenUnit = 256
	// entryBytes is the length of an entry: upstream, requests, tokens.
	entryBytes = 4 + 1 + 2
	// digestVersion is the first byte of a digest.
	digestVersion = 1
)

// Tally counts for one router. Its exported fields are set before use. It is safe
// for concurrent use.
type Tally struct {
	// Next hands out the slots that are counted; never nil.
	Next kingcuphook.Allocator
	// Stale is the age at which a digest is no longer used; 0 means 2.5 s.
	Stale time.Duration

	mu sync.Mutex
	// own has what runs for this router, by upstream.
	own map[key]*load
	// heard has the last digest of each other router.
	heard map[string]digest
}

// key stands for a running program in digests.
type key uint32

func keyOf(u *kingcuphook.Upstream) key {
	return key(xxhash.Sum64String(u.Address() + " " + u.Instance()))
}

// load is what runs on an upstream.
type load struct {
	// running counts the requests, reading their prompt tokens that are being read.
	running, reading int
}

// digest is what another router said.
type digest struct {
	at    time.Time
	loads map[key]load
}

var _ kingcuphook.Allocator = (*Tally)(nil)

// Acquire implements kingcuphook.Allocator.
func (t *Tally) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	s, err := t.Next.Acquire(ctx, r, excluded)
	if err != nil {
		return nil, err
	}
	c := s.Choice()
	counted := &slot{Slot: s, tally: t, key: keyOf(c.Upstream), tokens: c.UncachedTokens}
	t.add(counted.key, 1, counted.tokens)
	return counted, nil
}

func (t *Tally) add(k key, running, reading int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.own[k]
	if l == nil {
		if t.own == nil {
			t.own = make(map[key]*load)
		}
		l = &load{}
		t.own[k] = l
	}
	l.running += running
	l.reading += reading
	if *l == (load{}) {
		delete(t.own, k)
	}
}

// slot is a counted slot. It is used by one goroutine.
type slot struct {
	kingcuphook.Slot

	tally *Tally
	key   key
	// tokens are those that are still to be read.
	tokens int
}

// Progress implements kingcuphook.Slot. The first token shows that the prompt has
// been read.
func (s *slot) Progress(n int) {
	s.read(0)
	s.Slot.Progress(n)
}

// Release implements kingcuphook.Slot.
func (s *slot) Release(sample kingcuphook.Sample) {
	s.read(-1)
	s.Slot.Release(sample)
}

func (s *slot) read(running int) {
	if s.tokens != 0 || running != 0 {
		s.tally.add(s.key, running, -s.tokens)
	}
	s.tokens = 0
}

// Encode returns the digest of this router.
func (t *Tally) Encode() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := slices.Collect(maps.Keys(t.own))
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(t.own[b].running, t.own[a].running), cmp.Compare(a, b))
	})
	keys = keys[:min(len(keys), maxEntries)]
	b := make([]byte, 1, 1+entryBytes*len(keys))
	b[0] = digestVersion
	for _, k := range keys {
		l := t.own[k]
		b = binary.BigEndian.AppendUint32(b, uint32(k))
		b = append(b, byte(min(max(l.running, 0), 255)))
		b = binary.BigEndian.AppendUint16(b, uint16(min(max(l.reading, 0)/tokenUnit, 1<<16-1)))
	}
	return b
}

// Take takes the digest of another router. The error wraps ErrInvalid.
func (t *Tally) Take(now time.Time, sender string, payload []byte) error {
	if len(payload) == 0 || payload[0] != digestVersion || (len(payload)-1)%entryBytes != 0 {
		return fmt.Errorf("tallier: digest of %s: %w", sender, kingcuphook.ErrInvalid)
	}
	d := digest{at: now, loads: make(map[key]load)}
	for b := payload[1:]; len(b) > 0; b = b[entryBytes:] {
		d.loads[key(binary.BigEndian.Uint32(b))] = load{
			running: int(b[4]),
			reading: int(binary.BigEndian.Uint16(b[5:])) * tokenUnit,
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heard == nil {
		t.heard = make(map[string]digest)
	}
	t.heard[sender] = d
	return nil
}

// Others returns what the other routers have running on each upstream of the
// tables, if there are that many of them. It forgets digests that are stale.
func (t *Tally) Others(now time.Time, tables *kingcuphook.Tables, others int) []kingcuphook.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := t.sum(now)
	scale := 1.0
	if n := len(t.heard); n > 0 && others > n {
		scale = float64(others) / float64(n)
	}
	var reports []kingcuphook.LoadReport
	for _, p := range tables.Pools() {
		for _, u := range p.Upstreams() {
			l := sums[keyOf(u)]
			reports = append(reports, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{
				Upstream:     u.Address(),
				Made:         now,
				Running:      int(float64(l.running)*scale + 0.5),
				QueuedTokens: int(float64(l.reading) * scale),
				Leaving:      u.Leaving(),
			}))
		}
	}
	return reports
}

// sum adds up the digests that are not stale; mu is held.
func (t *Tally) sum(now time.Time) map[key]load {
	sums := make(map[key]load)
	for sender, d := range t.heard {
		if now.Sub(d.at) > cmp.Or(t.Stale, defaultStale) {
			delete(t.heard, sender)
			continue
		}
		for k, l := range d.loads {
			s := sums[k]
			sums[k] = load{running: s.running + l.running, reading: s.reading + l.reading}
		}
	}
	return sums
}
