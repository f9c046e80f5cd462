package pinner

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// baseShare is the least share of the base version in the upstreams that take new work: streams
	// begin only there while the ledger can't be written.
	baseShare = 0.5
	// AnnounceInterval is the time between two announcements of a router, announceTimeout how long after
	// its last one a peer that is still seen counts as one that doesn't guard the base.
	AnnounceInterval = time.Second
	announceTimeout  = 5 * time.Second
)

// Keys and marks of reports that are announcements: their sender keeps to the rules for the base of
// records. Routers that don't know them ignore them, since no call waits for such a stream.
var (
	announceKey  = xxhash.Sum64String("pinner: guards the base of records")
	announceMark = max(announceKey, ambiguous+1)
)

// Fleet is what a router knows of the others that keep to the rules for the base of records.
type Fleet struct {
	// All is true if all known routers have announced that they do, and the fleet is so small that
	// the ledger soon has each stream.
	All bool
	// Broken is true if a router is known that doesn't, or the fleet is too large.
	Broken bool
	// Odd is the address of one that doesn't; the zero address if there is none.
	Odd netip.Addr
}

// HasBases reports whether the records in a fleet of the given number of routers may have bases.
func HasBases(routers int) bool { return WriteInterval(routers) <= MaxHold }

// EncodeAnnouncement encodes the announcement that this router guards the base of records. It has the
// form of an answer.
func EncodeAnnouncement() []byte {
	return EncodeAnswer([]Report{{Key: announceKey, Mark: announceMark}})
}

// IsAnnouncement reports whether a report is an announcement.
func (r Report) IsAnnouncement() bool { return r.Key == announceKey }

// Announcements has when the other routers of a fleet were seen and sent announcements, by address.
// The zero value is ready for use.
type Announcements struct {
	// first has when each router was first seen, last when its last announcement came.
	first, last map[netip.Addr]time.Time
}

// Received records an announcement of a router.
func (a *Announcements) Received(now time.Time, router netip.Addr) {
	if a.last == nil {
		a.last = make(map[netip.Addr]time.Time)
	}
	a.last[router] = now
}

// Judge returns the state of a fleet whose other routers were last seen at the given times, and forgets
// all others.
func (a *Announcements) Judge(lastSeen map[netip.Addr]time.Time) Fleet {
	a.retain(lastSeen)
	f := Fleet{All: HasBases(len(lastSeen) + 1)}
	f.Broken = !f.All
	for router, seen := range lastSeen {
		since, ok := a.last[router]
		if !ok {
			since, f.All = a.first[router], false
		}
		if seen.Sub(since) > announceTimeout {
			f.All, f.Broken = false, true
			if f.Odd.Less(router) {
				f.Odd = router
			}
		}
	}
	return f
}

// retain forgets the routers without a time, and records when the others were first seen.
func (a *Announcements) retain(lastSeen map[netip.Addr]time.Time) {
	if a.first == nil {
		a.first = make(map[netip.Addr]time.Time)
	}
	isGone := func(router netip.Addr, _ time.Time) bool {
		_, ok := lastSeen[router]
		return !ok
	}
	maps.DeleteFunc(a.first, isGone)
	maps.DeleteFunc(a.last, isGone)
	for router, seen := range lastSeen {
		if _, ok := a.first[router]; !ok {
			a.first[router] = seen
		}
	}
}

// SetFleet records the state of the fleet.
func (p *Pinner) SetFleet(f Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = f
}

// SetEra records the era of the store, unless a later one is known. Bases of records that were written in another one don't hold.
func (p *Pinner) SetEra(era int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era = max(p.era, era)
}

// LedgerRead records that a call to the store that was sent at the given time has read all segments,
// and that none was overwritten.
func (p *Pinner) LedgerRead(sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sentAt.After(p.ledgerReadAt) {
		p.ledgerReadAt = sentAt
	}
}

// base returns the version at which the streams of the pool began that no ledger has, as its record
// tells; empty if it doesn't.
func (p *pool) base(era int64) string {
	if p == nil || p.record == nil || p.record.BaseEra != era {
		return ""
	}
	return p.record.Base
}

// hasBaseShare reports whether enough upstreams of the version take new work that streams may begin
// only there.
func (p *pool) hasBaseShare(version string) bool {
	all := 0
	for _, n := range p.ready {
		all += n
	}
	return p.ready[version] > 0 && float64(p.ready[version]) >= baseShare*float64(all)
}

// nextBase returns the base for the next record of the pool, and its era.
func (p *Pinner) nextBase(now time.Time, pool *pool) (version string, era int64) {
	if p.fleet.Broken || p.lastsLong {
		return "", 0
	}
	recent := pool.recent(now)
	if len(recent) == 1 {
		return p.nextSingleBase(now, pool, recent[0])
	}
	if base := pool.base(p.era); base != "" && pool.hasBaseShare(base) {
		return base, p.era
	}
	return "", 0
}

// nextSingleBase returns the base for the next record of a pool of which only one version is known. A
// record with a base of an earlier era may be older than what the store has lost: that base is kept,
// so that routers which start see that it doesn't hold, until others have left too long ago.
func (p *Pinner) nextSingleBase(now time.Time, pool *pool, version string) (base string, era int64) {
	if pool.base(p.era) == version {
		return version, p.era
	}
	isOlder := pool.record != nil && pool.record.Base != "" && pool.record.BaseEra != p.era
	switch {
	case isOlder && (pool.since.IsZero() || now.Sub(pool.since) < horizon):
		return pool.record.Base, pool.record.BaseEra
	case p.fleet.All:
		return version, p.era
	}
	return "", 0
}

// Guarded returns the version of the pool at which streams may begin that the ledger doesn't have.
// Routers conclude from its record that a stream which they don't find began there. ok is false if
// streams may begin so at any version.
func (p *Pinner) Guarded(now time.Time, pool string) (version string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pools[pool]
	if !known.isMixed() {
		return "", false
	}
	version = p.guarded(now, known)
	return version, version != "" && known.hasBaseShare(version)
}

// guarded returns the base of the record of a pool with several versions, or what may be the base that
// the delegates have written since this router read the record; empty if there is none.
func (p *Pinner) guarded(now time.Time, pool *pool) string {
	if base := pool.base(p.era); base != "" && (pool.isInTables(base) || !p.isUnread(pool)) {
		return base
	}
	if most := pool.mostReady(p.recordsReadAt); most != "" && p.isUnread(pool) {
		return most
	}
	if pool.record == nil && p.isUnread(pool) {
		return pool.firstInTables()
	}
	recorded := slices.Collect(maps.Keys(pool.record.recent(now)))
	if len(recorded) == 1 && !p.fleet.Broken {
		return recorded[0]
	}
	return ""
}

// isUnread reports whether a version has come to the pool since its record was read. Routers that don't
// follow the store don't learn of changes of the record, nor of the first one.
func (p *Pinner) isUnread(pool *pool) bool {
	if p.fleet.Broken {
		return false
	}
	for version := range pool.ready {
		if pool.came[version].After(p.recordsReadAt) {
			return true
		}
	}
	return false
}

func (p *pool) isInTables(version string) bool {
	_, ok := p.ready[version]
	return ok
}

// mostReady returns the version with the most upstreams that take new work among those that came by the
// given time; empty if there is none.
func (p *pool) mostReady(by time.Time) string {
	most := ""
	for _, version := range slices.Sorted(maps.Keys(p.ready)) {
		if !p.came[version].After(by) && (most == "" || p.ready[version] > p.ready[most]) {
			most = version
		}
	}
	return most
}

// firstInTables returns the version in the tables that came before all others; empty if two came at once.
func (p *pool) firstInTables() string {
	first, ok := "", false
	for version := range p.ready {
		switch order := p.came[version].Compare(p.came[first]); {
		case first == "" || order < 0:
			first, ok = version, true
		case order == 0:
			ok = false
		}
	}
	if !ok {
		return ""
	}
	return first
}

// RecordsRead records that a call to the store that was sent at the given time has read all records.
func (p *Pinner) RecordsRead(sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.knowsRecords = true
	if sentAt.After(p.recordsReadAt) {
		p.recordsReadAt = sentAt
	}
}

// UnreadPools returns the pools with several versions to which one has come since the records were read.
func (p *Pinner) UnreadPools() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, pool := range p.pools {
		if pool.mixed && p.isUnread(pool) {
			names = append(names, name)
		}
	}
	return names
}

// HasBase reports whether the record of the pool tells where the streams began that no ledger has.
func (p *Pinner) HasBase(pool string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools[pool].base(p.era) != ""
}

// Evidence is what a router can conclude from about streams that neither a router nor the ledger has.
type Evidence struct {
	// Base is that of the record of the pool, which has the revision; empty if there is none.
	Base     string
	Revision int64
	// RecordAge and LedgerAge are the times since the record and all segments were read; negative if they were
	// not.
	RecordAge, LedgerAge time.Duration
	// HasShare is true if enough upstreams have the base, IsGuarded if no router is known that
	// doesn't keep to the rules for it.
	HasShare, IsGuarded bool
}

// Evidence returns what this router can conclude from about streams of the pool.
func (p *Pinner) Evidence(now time.Time, name string) Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := Evidence{RecordAge: -1, LedgerAge: -1, IsGuarded: !p.fleet.Broken}
	if !p.ledgerReadAt.IsZero() {
		e.LedgerAge = now.Sub(p.ledgerReadAt)
	}
	pool := p.pools[name]
	if pool == nil {
		return e
	}
	if !pool.readAt.IsZero() {
		e.RecordAge = now.Sub(pool.readAt)
	}
	e.Base, e.Revision, e.HasShare = pool.base(p.era), pool.revision, pool.hasBaseShare(pool.base(p.era))
	return e
}

// findBase returns the version at which a stream of the pool began that neither a router nor the
// ledger has. The record and the ledger must have been read since the search began. The pools related
// to it must have no other version.
func (p *Pinner) findBase(now, began time.Time, name string) (string, bool) {
	pool := p.pools[name]
	version := pool.base(p.era)
	if version == "" || p.fleet.Broken || p.lastsLong || !pool.readAt.After(began) || !p.ledgerReadAt.After(began) || !pool.hasBaseShare(version) {
		return "", false
	}
	for other := range pool.related {
		if other != name && !isOnly(p.pools[other].recent(now), version) {
			return "", false
		}
	}
	return version, true
}

func isOnly(versions []string, version string) bool {
	return len(versions) == 1 && versions[0] == version
}
