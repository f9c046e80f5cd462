// Package pinner keeps track of which software version of a pool's upstreams began each
// stream. It remembers the streams that began at this router and what peers and the store
// report of others, and knows which versions were in service lately: if there was only one,
// it began every stream. It sends and receives nothing itself.
package pinner

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

// ErrAmbiguous means that a stream is reported to have begun at two versions.
var ErrAmbiguous = fmt.Errorf("pinner: begun at two versions: %w", kingcuphook.ErrVersionUnknown)

// errTentative means that a stream may have begun at another version than the base of its pool.
var errTentative = fmt.Errorf("pinner: only queued to begin: %w", kingcuphook.ErrVersionUnknown)

// Source is where the origin of a stream is known from.
type Source string

// Values of Source.
const (
	// SourceMemory means that the stream began at this router.
	SourceMemory Source = "memory"
	// SourceSingle means that only one version was in service.
	SourceSingle Source = "single"
	// SourcePeer and SourceStore mean that a peer or the store reported it.
	SourcePeer  Source = "peer"
	SourceStore Source = "store"
	// SourceBase means that neither a router nor the ledger has the stream, so that it began at
	// the base of the pool's record.
	SourceBase Source = "base"
)

// Sources returns all values of Source.
func Sources() []Source {
	return []Source{SourceMemory, SourceSingle, SourcePeer, SourceStore, SourceBase}
}

// Found is the origin of a stream.
type Found struct {
	Origin kingcuphook.Origin
	Source Source
	// Age is the time since the stream began; 0 if it is not known.
	Age time.Duration
}

// Pinner keeps the origins of streams. The zero value is ready for use. It is safe for
// concurrent use.
type Pinner struct {
	mu sync.Mutex
	// begun has the streams that began at this router, learned those reported by others.
	begun, learned memory
	pools          map[string]*pool
	// routes are those whose streams may be resumed.
	routes routePools
	// origins has the pool and the version of each mark in pools.
	origins map[uint64]kingcuphook.Origin
	// confirmedAt is when the tables were last known to be those in force.
	confirmedAt time.Time
	ledger      ledger
	// era is that of the store, fleet what is known of the other routers, and ledgerReadAt and
	// recordsReadAt are when the whole ledger and all records were last read.
	era                         int64
	fleet                       Fleet
	ledgerReadAt, recordsReadAt time.Time
	// knowsRecords is true if this router knows which pools had a record at some time, from the store or a
	// peer.
	knowsRecords bool
	// seenEra is the era that was last found, at eraAt.
	seenEra int64
	eraAt   time.Time
	// longest is how long a stream may last that is under way: the longest timeout of a route, which one
	// had at longestAt.
	longest   time.Duration
	longestAt time.Time
	// lastsLong is true if a stream may last longer than its origin is kept.
	lastsLong bool
}

// Key identifies the stream that an attempt of a caller began.
func Key(organisation, attempt string) uint64 {
	return xxhash.Sum64String(organisation + "\x00" + attempt)
}

// markOf identifies a version of a pool. It is neither ambiguous nor tentative.
func markOf(pool, version string) uint64 {
	return max(xxhash.Sum64String(pool+"\x00"+version), tentative+1)
}

// Begun records that the stream with the key begins at an upstream of the version. It reports
// whether the stream was queued for the ledger.
func (p *Pinner) Begun(now time.Time, key uint64, pool, version string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew := p.begun.add(now, key, entry{mark: markOf(pool, version), at: now, source: SourceMemory})
	if !isNew || !p.pools[pool].isMixed() {
		return false
	}
	p.ledger.queue(key)
	return true
}

// Queue queues the stream with the key for the ledger before it begins. A router that reads its entry doesn't
// conclude that it began at the base, so that it may begin at any version, or not at all. ok is false if it has
// begun, or the ledger has it as queued.
func (p *Pinner) Queue(now time.Time, key uint64) (ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, known := p.begun.get(now, key); known && (e.mark != tentative || e.isLogged) {
		return false
	}
	p.begun.add(now, key, entry{mark: tentative, at: now, source: SourceMemory})
	p.ledger.queue(key)
	return true
}

// Learn records that a stream began at the mark, age ago, as reported by the source.
func (p *Pinner) Learn(now time.Time, r Report, source Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learned.add(now, r.Key, entry{mark: r.Mark, at: now.Add(-r.Age), source: source})
}

// Known returns what this router knows of the streams with the keys.
func (p *Pinner) Known(now time.Time, keys []uint64) []Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Report
	for _, key := range keys {
		if e, ok := p.find(now, key); ok && e.mark != tentative {
			list = append(list, Report{Key: key, Mark: e.mark, Age: now.Sub(e.at)})
		}
	}
	return list
}

// find returns the entry of a stream, which is ambiguous if the sources differ.
func (p *Pinner) find(now time.Time, key uint64) (entry, bool) {
	own, begun := p.begun.get(now, key)
	other, learned := p.learned.get(now, key)
	switch {
	case !begun || own.mark == tentative && learned:
		return other, learned
	case learned && other.mark != own.mark && other.mark != tentative:
		own.mark = ambiguous
	}
	return own, true
}

// Find returns the origin of the stream with the key, or else the version of the pool, if
// that is the only one; the search began at the given time. The error wraps
// kingcuphook.ErrVersionUnknown or kingcuphook.ErrVersionGone.
func (p *Pinner) Find(now, began time.Time, key uint64, pool string) (Found, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.find(now, key)
	if !ok {
		return p.findUnreported(now, began, pool)
	}
	switch e.mark {
	case ambiguous:
		return Found{}, ErrAmbiguous
	case tentative:
		return Found{}, errTentative
	}
	origin, ok := p.origins[e.mark]
	if !ok {
		return Found{}, fmt.Errorf("pinner: begun %v ago, %s: %w", now.Sub(e.at), e.source, kingcuphook.ErrVersionGone)
	}
	return Found{Origin: origin, Source: e.source, Age: now.Sub(e.at)}, nil
}

// findUnreported returns the origin of a stream that neither a router nor the ledger has.
func (p *Pinner) findUnreported(now, began time.Time, pool string) (Found, error) {
	found, gap := p.conclude(now, began, pool)
	if gap != GapNone {
		return Found{}, fmt.Errorf("pinner: %d versions for pool %q, %s: %w", len(p.versions(now, pool)), pool, gap, kingcuphook.ErrVersionUnknown)
	}
	return found, nil
}

func originOf(pool, version string) kingcuphook.Origin {
	return kingcuphook.Origin{Pool: pool, Version: version}
}

// Remembered returns the number of streams whose origin is kept.
func (p *Pinner) Remembered() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.begun.entries) + len(p.learned.entries)
}
