package pinner

import (
	"maps"
	"slices"
	"time"
)

// baseShare is the least share of the base version in the upstreams that take new work, unless its record says that
// any share will do: streams begin only there while the ledger can't be written.
const baseShare = 0.5

const (
	// firstEra is the era of a store that has never come back from an older copy.
	firstEra = 1
	// maxAwait bounds how long streams don't begin in a new pool until its record is written.
	maxAwait = 2 * time.Second
)

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

// keepsBase reports whether streams may go on beginning only at the base while the ledger can't be written. A base
// that another version has overtaken is kept until attempts from before have timed out, and one without an upstream
// until that is no mere delay of registrations.
func (p *Pinner) keepsBase(now time.Time, pool *pool, base string) bool {
	switch {
	case p.fleet.Half || !pool.record.AnyShare:
		return pool.hasBaseShare(base)
	case pool.ready[base] == 0:
		return now.Sub(pool.behindSince) < absentFor
	}
	return pool.behindSince.IsZero() || now.Sub(pool.behindSince) < max(p.longest+absentFor, maxHold)
}

// updateBehind records since when fewer upstreams that take new work have the base than another version.
func (p *pool) updateBehind(now time.Time, base string) {
	switch {
	case base == "" || p.leads(base):
		p.behindSince = time.Time{}
	case p.behindSince.IsZero():
		p.behindSince = now
	}
}

// leads reports whether as many upstreams that take new work have the version as any other.
func (p *pool) leads(version string) bool {
	n := p.ready[version]
	for _, others := range p.ready {
		if others > n {
			return false
		}
	}
	return n > 0
}

// setBase sets the base in the next record of the pool, or returns why that has none.
func (p *Pinner) setBase(now time.Time, pool *pool, r *Record) Gap {
	version, era, gap := p.nextBase(now, pool)
	r.Base, r.BaseEra = version, era
	r.AnyShare = version != "" && p.nextAnyShare(now, pool)
	return gap
}

// nextAnyShare reports whether the base in the next record of the pool holds at any share of the upstreams. Once the
// pool has several versions, that can't be told any more of streams that have begun.
func (p *Pinner) nextAnyShare(now time.Time, pool *pool) bool {
	if p.fleet.Half || pool.record == nil || pool.record.AnyShare {
		return !p.fleet.Half
	}
	return p.fleet.All && len(pool.recentWithin(now, p.settleTime())) == 1
}

// nextBase returns the base for the next record of the pool and its era, or why that has none.
func (p *Pinner) nextBase(now time.Time, pool *pool) (version string, era int64, gap Gap) {
	switch {
	case p.fleet.Broken:
		return "", 0, GapRouters
	case p.lastsLong:
		return "", 0, GapLongStreams
	}
	if p.namesFirst(pool) && pool.first != "" {
		return pool.first, p.era, GapNone
	}
	if recent := pool.recentWithin(now, p.settleTime()); len(recent) == 1 {
		return p.nextSingleBase(now, pool, recent[0])
	}
	base := pool.base(p.era)
	switch {
	case base == "":
		return "", 0, GapVersions
	case p.fleet.Large && !pool.hasNewVersion(now):
		return "", 0, GapFleet
	case !p.keepsBase(now, pool, base):
		return "", 0, GapShare
	}
	return base, p.era, GapNone
}

// namesFirst reports whether the next record of the pool is its first one, which names a base whatever versions
// there are: before it, streams begin only at that version or once the ledger has them as queued. In a later
// era, the store may have lost an earlier record.
func (p *Pinner) namesFirst(pool *pool) bool {
	return pool.record == nil && !pool.hadRecord && p.era <= firstEra && !p.fleet.Broken && !p.lastsLong
}

// AwaitsRecord reports whether streams that may be resumed don't begin in the pool yet, since its first record is
// about to be written.
func (p *Pinner) AwaitsRecord(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pools[name]
	return pool != nil && p.awaitsRecord(now, name, pool)
}

// AwaitsRecords reports whether AwaitsRecord holds for any pool.
func (p *Pinner) AwaitsRecords(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, pool := range p.pools {
		if p.awaitsRecord(now, name, pool) {
			return true
		}
	}
	return false
}

func (p *Pinner) awaitsRecord(now time.Time, name string, pool *pool) bool {
	return p.namesFirst(pool) && !pool.since.IsZero() && now.Sub(pool.since) < maxAwait && p.routes.lead(name)
}

// hasNewVersion reports whether a version has just come, so that callers may still take up streams from before.
func (p *pool) hasNewVersion(now time.Time) bool {
	for version := range p.ready {
		if now.Sub(p.came[version]) < holdFor {
			return true
		}
	}
	return false
}

// settleTime returns how long a version must have been alone in a pool until no stream that began at another one is
// taken up any more. Callers may wait for longer than the timeout of one attempt.
func (p *Pinner) settleTime() time.Duration {
	return min(max(p.longest, minRetention)+absentFor, horizon)
}

// nextSingleBase returns the base for the next record of a pool in which one version was alone for the settle time. A
// record with a base of an earlier era may be older than what the store has lost: that base is kept,
// so that routers which start see that it doesn't hold, until streams from before have ended.
func (p *Pinner) nextSingleBase(now time.Time, pool *pool, version string) (base string, era int64, gap Gap) {
	if version != "" && pool.base(p.era) == version {
		return version, p.era, GapNone
	}
	isOlder := pool.record != nil && pool.record.Base != "" && pool.record.BaseEra != p.era
	isSettled := !pool.since.IsZero() && now.Sub(pool.since) >= p.settleTime() && now.Sub(p.eraAt) >= p.settleTime()
	switch {
	case isOlder && !isSettled:
		return pool.record.Base, pool.record.BaseEra, GapEra
	case version == "":
		return "", 0, GapNoBase
	case p.fleet.All:
		return version, p.era, GapNone
	}
	return "", 0, GapRouters
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
	return version, version != "" && (p.isAnyShare(known, version) || known.hasBaseShare(version))
}

// isAnyShare reports whether the version is the base of the pool's record, or of its first one, and that holds at any
// share of the upstreams.
func (p *Pinner) isAnyShare(pool *pool, version string) bool {
	if pool.record == nil {
		return p.namesFirst(pool) && pool.first == version
	}
	return pool.base(p.era) == version && pool.record.AnyShare
}

// TakesNew reports whether any upstream of the pool with the version takes new work.
func (p *Pinner) TakesNew(pool, version string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pools[pool]
	return known != nil && known.ready[version] > 0
}

// guarded returns the base of the record of a pool with several versions, or what may be the base that
// the delegates have written since this router read the record; empty if there is none.
func (p *Pinner) guarded(now time.Time, pool *pool) string {
	if p.namesFirst(pool) {
		return pool.first
	}
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
	if len(recorded) == 1 && !p.fleet.Broken && !p.fleet.Large {
		return recorded[0]
	}
	return ""
}

// isUnread reports whether a version has come to the pool since its record was read. Routers that don't
// follow the store don't learn of changes of the record, nor of the first one.
func (p *Pinner) isUnread(pool *pool) bool {
	if p.fleet.Broken || p.fleet.Large {
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
