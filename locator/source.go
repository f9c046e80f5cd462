package locator

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// copyFrom returns the address of the engine from which u can copy the shared prefix if
// it doesn't have it cached: one that has it by the index or, if there is none, the one that
// prefills it or, if none is known, the first preferred upstream, to which all routers send requests with the prefix, or the upstream
// that this router last sent the prefix to. It
// returns "" if neither is a healthy upstream other than u with the same software version;
// what another version has cached doesn't fit.
func (l *Locator) copyFrom(q *query, u *upstream) string {
	if q.prefix == 0 || u.row.Kind() != kingcuphook.UpstreamKindEngine {
		return ""
	}
	if source := l.indexedSource(q, u); source != nil {
		return source.row.Address()
	}
	if q.pending != nil && q.pending != u && q.pending.sameVersion(u) {
		return q.pending.row.Address() // it may have the prefix by now
	}
	source := q.preferred[0]
	if source == nil || source == u || !source.healthy(q.now) || !source.sameVersion(u) {
		source = l.lastSentTo(q, u, source)
	}
	if source == nil || source == u {
		source = q.otherPreferred(u)
	}
	if source == nil {
		return ""
	}
	return source.row.Address()
}

// lastSentTo returns the healthy upstream of u's software version, other than except, that
// this router last sent the shared prefix to, or nil.
func (l *Locator) lastSentTo(q *query, u, except *upstream) *upstream {
	var latest *upstream
	var used time.Time
	for _, o := range l.upstreams {
		if o == except || !o.hasCached(q) || !o.healthy(q.now) || !o.sameVersion(u) {
			continue
		}
		if at := o.prefixes[q.prefix]; latest == nil || at.After(used) {
			latest, used = o, at
		}
	}
	return latest
}

// sameVersion reports whether both upstreams run the same version of their software.
func (u *upstream) sameVersion(o *upstream) bool {
	return u.row.SoftwareVersion() == o.row.SoftwareVersion()
}

// healthy reports whether the upstream is neither displaced nor leaving and has no
// failure within failureDecay that no success followed.
func (u *upstream) healthy(now time.Time) bool {
	return !u.displaced && !u.row.Leaving() && u.penalty(now) == 0
}
