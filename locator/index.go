package locator

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
	"github.com/kingcuphook/kingcuphook/tallier"
)

const (
	// copyShare is the assumed time to copy a shared prefix as a share of the time to prefill it.
	copyShare = 0.075
	// copyLoadMargin is how much more load than the mean an upstream that has a prefix takes
	// before the prefix is copied elsewhere.
	copyLoadMargin = 1
	// coldLoadFactor is the load, relative to one more than the mean, up to which a preferred
	// upstream takes the requests with a prefix that no upstream is known to have. They are not
	// spread by cost, since the first of them may be in prefill there, so that another upstream
	// would find nothing to copy. A higher factor delays short prompts after a crash.
	coldLoadFactor = 1.5
)

// locate looks up the locations of a long shared prefix in the index or, if there are none,
// the upstream that prefills it.
func (l *Locator) locate(q *query) {
	if l.Index == nil || !l.copies || !q.sharesLong {
		return
	}
	q.indexed = true
	l.locations = l.Index.AppendPrograms(l.locations[:0], q.now, q.prefix)
	q.locations = slices.DeleteFunc(l.locations, func(k tallier.Key) bool { return !l.hasProgram(q.now, k) })
	if len(q.locations) > 0 {
		return
	}
	if k, ok := l.Index.Pending(q.now, q.prefix); ok && l.hasProgram(q.now, k) {
		q.pending = l.byProgram[k]
	}
}

// hasProgram reports whether a healthy upstream runs the program.
func (l *Locator) hasProgram(now time.Time, program tallier.Key) bool {
	u := l.byProgram[program]
	return u != nil && u.healthy(now)
}

// indexedPrefix returns the prefix that the index records for the selection; 0 if none.
func (c *selection) indexedPrefix() uint64 {
	if !c.sharesLong {
		return 0
	}
	return c.prefix
}

// recordCached records in the index that the upstream has the shared prefix of a request
// cached, of which output has come.
func (l *Locator) recordCached(now time.Time, u *upstream, r *kingcuphook.Request) {
	a, ok := u.inFlight[r.ID()]
	if ok && !a.prefilled && a.indexed != 0 && l.Index != nil && l.copies && u.isEngine() {
		l.Index.Record(now, a.indexed, u.program)
	}
}

// copiedTokens returns the number of tokens that count as cached on an upstream that copies
// the shared prefix: all but those that take as long to prefill as the copy.
func (q *query) copiedTokens() int {
	return q.sharedTokens - int(float64(q.sharedTokens-q.commonTokens)*copyShare)
}

// isCold reports whether the index has no location of a prefix that it is used for.
func (q *query) isCold() bool { return q.indexed && len(q.locations) == 0 }

// spreadCopies sets up to which rank a request with an indexed prefix may go to preferred
// upstreams, given the mean load relative to speed.
func (q *query) spreadCopies(l *Locator, mean float64, usable func(*upstream) bool) {
	if !q.indexed {
		return
	}
	switch {
	case q.pending != nil && q.pending.relativeLoad() < coldLoadFactor*(mean+1) && q.request.Allows(q.pending.row) && usable(q.pending):
		// The request shares the prefill that runs there.
		q.first, q.maxRank = q.pending, -1
	case q.isCold():
		q.maxRank = q.preferred.firstAvailable(q.now, coldLoadFactor*(mean+1), usable)
		if q.maxRank >= 0 {
			q.first = q.preferred[q.maxRank]
		}
	case l.hasFreeHolder(q, mean+copyLoadMargin, usable):
		q.maxRank = -1
	default:
		// Any of them may copy the prefix, so that one in high demand spreads.
		q.maxRank = preferredCount - 1
	}
}

// hasFreeHolder reports whether an upstream that has the prefix cached is usable, healthy and
// below the load bound in relation to its speed.
func (l *Locator) hasFreeHolder(q *query, bound float64, usable func(*upstream) bool) bool {
	return slices.ContainsFunc(l.upstreams, func(u *upstream) bool {
		return !u.reserved && u.hasCached(q) && u.relativeLoad() < bound && float64(u.load()) < q.maxStreamsOf(u) &&
			u.healthy(q.now) && q.request.Allows(u.row) && usable(u)
	})
}

// indexedSource returns the healthy upstream of u's software version, other than u, that
// has the shared prefix by the index; nil if there is none. The nearest to u are chosen,
// since bytes between regions and data centres cost, and of these a different one for each
// request, since the transfers share the link of their source.
func (l *Locator) indexedSource(q *query, u *upstream) *upstream {
	if len(q.locations) == 0 {
		return nil
	}
	var best *upstream
	var bestTie uint64
	for _, o := range l.upstreams {
		if o == u || !slices.Contains(q.locations, o.program) || !o.healthy(q.now) || !o.sameVersion(u) {
			continue
		}
		tie := hasher.Mix(o.seed ^ q.tie)
		if best == nil || cmp.Or(cmp.Compare(o.distanceTo(u), best.distanceTo(u)), cmp.Compare(tie, bestTie)) < 0 {
			best, bestTie = o, tie
		}
	}
	return best
}

// distanceTo orders upstreams by their distance to another one: 0 in the same data centre,
// 1 in the same region, 2 in another.
func (u *upstream) distanceTo(o *upstream) int {
	switch {
	case u.row.Region() != o.row.Region():
		return 2
	case u.row.DataCentre() != o.row.DataCentre():
		return 1
	default:
		return 0
	}
}

// otherPreferred returns the first healthy preferred upstream of u's software version other
// than u; nil if there is none or the index is not used. It may have the prefix although
// the index doesn't show it; a copy in vain costs a connection only.
func (q *query) otherPreferred(u *upstream) *upstream {
	if !q.indexed {
		return nil
	}
	for _, o := range q.preferred {
		if o != nil && o != u && o.healthy(q.now) && o.sameVersion(u) {
			return o
		}
	}
	return nil
}
