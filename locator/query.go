package locator

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/tallier"
)

// query holds the properties of a request that its selection depends on.
type query struct {
	now     time.Time
	request *kingcuphook.Request
	// preferred holds the preferred upstreams of its shared prefix.
	preferred preferredUpstreams
	// prefix is the hash of the longest shared prefix, 0 if there is none. sharedTokens
	// is its length, commonTokens that of the next shorter shared prefix.
	prefix                     uint64
	sharedTokens, commonTokens int
	// locations has the programs that have the shared prefix cached by the index, valid until
	// the next query. indexed means that the index is used for the prefix.
	locations []tallier.Key
	indexed   bool
	// pending is the upstream that prefills a prefix without locations; nil if none is known.
	pending *upstream
	// first is the upstream where a prefix that none is known to have is prefilled first; nil
	// if there is none.
	first *upstream
	// maxRank is the highest rank of a preferred upstream that the request may go to.
	maxRank int
	// long means that the prompt is kept off reserved upstreams; sharesLong that its shared
	// prefix alone is long.
	long, sharesLong bool
	// overflows means that no upstream that has its prefix takes the request now while less
	// urgent long prompts begin, so that any other may.
	overflows bool
	// target is the target for the first token, in nanoseconds.
	target float64
	// lateFactor multiplies the cost of the time to the first token.
	lateFactor float64
	// transferKiB is the expected size of request and answer, in KiB.
	transferKiB float64
	// tie breaks ties between upstreams of equal cost.
	tie uint64
	// prefillTokenTime is the time to prefill a token, firstTokenOverhead the time to
	// the first token without prefill, both in nanoseconds.
	prefillTokenTime, firstTokenOverhead float64
	// saturation is the number of streams that saturates an upstream, maxStreams the
	// number beside which a long answer of the class still meets its deadline; for
	// unreserved and for reserved upstreams.
	saturation, maxStreams [2]float64
}

func (l *Locator) newQuery(now time.Time, r *kingcuphook.Request) query {
	q := query{
		now:         now,
		request:     r,
		target:      float64(cmp.Or(r.Target(), defaultTarget)),
		lateFactor:  1,
		transferKiB: float64(r.Bytes()+answerBytes) / 1024,
		tie:         r.Fingerprint() ^ xxhash.Sum64String(r.ID()),
	}
	i := sharedPrefixIndex(r)
	if i >= 0 {
		q.prefix, q.sharedTokens = r.Prefix()[i], r.PrefixTokens()[i]
	}
	if i > 0 {
		q.commonTokens = r.PrefixTokens()[i-1]
	}
	q.sharesLong = q.sharedTokens >= longPrompt
	q.long = r.PromptTokens() >= longPrompt || q.sharesLong
	if i >= 0 {
		q.preferred = l.preferredFor(r, q.prefix, q.long)
	}
	l.locate(&q)
	q.prefillTokenTime = float64(l.estimates.PrefillTokenTime())
	q.firstTokenOverhead = float64(l.estimates.FirstTokenOverhead())
	allowed := time.Duration(math.MaxInt64)
	if r.Stream() && !r.Deadline().IsZero() {
		allowed = time.Duration(deadlineShare * float64(r.Deadline().Sub(r.Arrived())))
	}
	for i := range l.workloads {
		q.saturation[i] = l.estimates.SaturatingStreams(&l.workloads[i])
		// The lower bounds keep classes served whose answers would miss their deadlines
		// on nearly any upstream.
		q.maxStreams[i] = max(l.estimates.MaxStreams(r, &l.workloads[i], allowed), q.saturation[i]*minStreamShare, 1)
	}
	return q
}

// rejectReason returns why the request must not go to the upstream; empty if it may. It must not exceed
// the number of streams beside which its class meets the deadline. A long prompt with a
// shared prefix is also kept off reserved upstreams, which serve streams with tight token
// targets, and off upstreams that neither have the prefix cached nor are preferred up to
// maxRank: prefilling the prefix once more takes capacity that busy upstreams lack, so
// that all requests would be late.
func (q *query) rejectReason(u *upstream) string {
	if u.isEngine() && float64(u.load()) >= q.maxStreamsOf(u) {
		return reasonTooManyStreams
	}
	if !q.long || q.preferred[0] == nil {
		return ""
	}
	if u.reserved {
		if q.overflows && q.fitsReserved(u) {
			return ""
		}
		return reasonReserved
	}
	if q.overflows {
		return ""
	}
	rank := q.preferred.rank(u)
	if (rank < 0 || rank > q.maxRank) && u != q.first && !u.hasCached(q) {
		return reasonPrefixElsewhere
	}
	return ""
}

// fitsReserved reports whether a reserved upstream has little load and can prefill the whole
// prompt, and what waits there, in so short a time that its streams stay within their token
// targets.
func (q *query) fitsReserved(u *upstream) bool {
	most := min(q.saturationOf(u), float64(u.row.Slots()))
	if float64(u.load()) >= most*reservedLoadShare {
		return false
	}
	tokens := u.backlog() + q.request.PromptTokens()
	return time.Duration(u.atSpeed(float64(tokens)*q.prefillTokenTime)) <= reservedPrefillTime
}

// sharedPrefixIndex returns the index of the longest prefix that other requests share,
// negative if there is none. The last entry is the whole prompt, which is the request's
// own.
func sharedPrefixIndex(r *kingcuphook.Request) int {
	return min(len(r.Prefix()), len(r.PrefixTokens())) - 2
}
