package pinner

import "time"

// Gap is what keeps a router from a conclusion about the version of streams.
type Gap string

// Values of Gap.
const (
	// GapNone means that nothing is missing.
	GapNone Gap = ""
	// GapNoRecord means that no record of the pool is known, GapNoBase that it names no base.
	GapNoRecord Gap = "no-record"
	GapNoBase   Gap = "record-without-base"
	// GapEra means that the record names a base of another era of the store.
	GapEra Gap = "base-of-other-era"
	// GapRecordNotRead and GapLedgerNotRead mean that the record, or the whole ledger, was not read since the
	// search began.
	GapRecordNotRead Gap = "record-not-read"
	GapLedgerNotRead Gap = "ledger-not-read"
	// GapShare means that too few upstreams have the base.
	GapShare Gap = "share-too-small"
	// GapRouters means that routers are known that don't keep to the rules for bases, or not known whether all
	// do, GapFleet that there are too many routers.
	GapRouters Gap = "routers-without-guard"
	GapFleet   Gap = "too-many-routers"
	// GapLongStreams means that streams may last longer than their origins are kept.
	GapLongStreams Gap = "streams-outlast-origins"
	// GapRelated means that a pool in which the stream may have begun has another version, GapVersions that the
	// pool itself has several.
	GapRelated  Gap = "versions-of-related-pool"
	GapVersions Gap = "several-versions"
	// GapTables means that the tables are not known to be those in force.
	GapTables Gap = "tables-not-confirmed"
)

// Evidence is what a router can conclude from about streams that neither a router nor the ledger has.
type Evidence struct {
	// Base is that of the record of the pool, which has the revision; empty if there is none.
	Base     string
	Revision int64
	// RecordAge and LedgerAge are the times since the record and all segments were read; negative if they were
	// not.
	RecordAge, LedgerAge time.Duration
	// Gap is what was missing for a conclusion about a search that began at the given time.
	Gap Gap
}

// Evidence returns what this router can conclude from about streams of the pool, in a search that began at
// the given time.
func (p *Pinner) Evidence(now, began time.Time, name string) Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := Evidence{RecordAge: -1, LedgerAge: -1}
	if !p.ledgerReadAt.IsZero() {
		e.LedgerAge = now.Sub(p.ledgerReadAt)
	}
	_, e.Gap = p.conclude(now, began, name)
	pool := p.pools[name]
	if pool == nil {
		return e
	}
	if !pool.readAt.IsZero() {
		e.RecordAge = now.Sub(pool.readAt)
	}
	e.Base, e.Revision = pool.base(p.era), pool.revision
	return e
}

// conclude returns the origin of a stream of the pool that neither a router nor the ledger has, or what is
// missing to conclude it.
func (p *Pinner) conclude(now, began time.Time, name string) (Found, Gap) {
	version, single := p.single(now, began, name)
	if single == GapNone {
		return Found{Origin: originOf(name, version), Source: SourceSingle}, GapNone
	}
	version, gap := p.findBase(now, began, name)
	if gap == GapNone {
		return Found{Origin: originOf(name, version), Source: SourceBase}, GapNone
	}
	if len(p.versions(now, name)) <= 1 {
		gap = single
	}
	return Found{}, gap
}

// single returns the version in service in the pool and those related to it, if it was the
// only one during the horizon, as far as the tables, if they are those in force, or the
// records show, or what is missing. The search began at the given time.
func (p *Pinner) single(now, began time.Time, name string) (string, Gap) {
	versions := p.versions(now, name)
	if len(versions) > 1 {
		return p.singleHeld(now, began, name)
	}
	if len(versions) == 0 {
		return "", GapNoRecord
	}
	for other := range p.pools[name].related {
		if pool := p.pools[other]; pool != nil && !pool.isComplete(now) {
			return "", GapNoRecord
		}
	}
	pool := p.pools[name]
	isFresh := now.Sub(p.confirmedAt) <= freshFor || pool.record != nil && now.Sub(pool.readAt) <= freshFor
	if !isFresh {
		return "", GapTables
	}
	return versions[0], GapNone
}

// singleHeld returns the only version at which streams began in the pool while another one is
// held back, as its record shows that was read since the search began. The pools related to it
// must have no other version either.
func (p *Pinner) singleHeld(now, began time.Time, name string) (string, Gap) {
	pool := p.pools[name]
	version, ok := pool.held(now, searching)
	if !ok {
		return "", GapVersions
	}
	if !pool.readAt.After(began) {
		return "", GapRecordNotRead
	}
	for other := range pool.related {
		if other != name && !isOnly(p.pools[other].recent(now), version) {
			return "", GapRelated
		}
	}
	return version, GapNone
}

// findBase returns the version at which a stream of the pool began that neither a router nor the
// ledger has. The record and the ledger must have been read since the search began. The pools related
// to it must have no other version.
func (p *Pinner) findBase(now, began time.Time, name string) (string, Gap) {
	pool := p.pools[name]
	version := pool.base(p.era)
	switch {
	case pool == nil || pool.record == nil:
		return "", GapNoRecord
	case pool.record.Base == "":
		return "", GapNoBase
	case version == "":
		return "", GapEra
	case p.fleet.Broken:
		return "", GapRouters
	case p.lastsLong:
		return "", GapLongStreams
	case !pool.readAt.After(began):
		return "", GapRecordNotRead
	case !p.ledgerReadAt.After(began):
		return "", GapLedgerNotRead
	case pool.ready[version] == 0 || !pool.record.AnyShare && !pool.hasBaseShare(version):
		return "", GapShare
	}
	for other := range pool.related {
		if other != name && !isOnly(p.pools[other].recent(now), version) {
			return "", GapRelated
		}
	}
	return version, GapNone
}

func isOnly(versions []string, version string) bool {
	return len(versions) == 1 && versions[0] == version
}
