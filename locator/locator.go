// Package locator selects the upstream of an opaque call by estimated cost to its caller
// and to other requests: network distance, prompt tokens to prefill, the load of the
// upstream and its recent failures. Routers agree without communication on which
// upstreams cache a shared prefix, by rendezvous hashing.
package locator

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/estimator"
)

const (
	// answerBytes is the expected size of an answer.
	answerBytes = 4 << 10
	// prefixTTL is how long an upstream is assumed to keep a prefix cached.
	prefixTTL = 30 * time.Second
	// warmupTime is how long an upstream that the router first sees is assumed to take
	// to cache the prefixes for which it is preferred.
	warmupTime = 8 * time.Second
	// maxPrefixes bounds the prefixes tracked for an upstream.
	maxPrefixes = 4096
	// longPrompt is the number of tokens from which a prompt, or its uncached part,
	// counts as long.
	longPrompt = 3000
	// tightGap is the token target, the target for the mean time between tokens, below
	// which a stream prefers a reserved upstream.
	tightGap = 500 * time.Millisecond
	// reservedShare is the share of the upstreams of a region that are reserved for
	// short prompts.
	reservedShare = 0.25
	// deadlineShare is the share of the time to its deadline within which a long answer
	// of a class must be expected to end on an upstream, or no request of the class is
	// sent there.
	deadlineShare = 0.6
	// minStreamShare is the least number of streams beside which a class is admitted, as
	// a share of the saturating number. It keeps classes served whose answers would miss
	// their deadlines on nearly any upstream.
	minStreamShare = 1.0 / 8
	// defaultTarget is used for requests without a target.
	defaultTarget = time.Second
)

// preferredCount is the number of preferred upstreams of a shared prefix. It includes
// those that are used only while the ones before them are overloaded.
const preferredCount = 6

// assumedCachedShares is the share of a shared prefix that each preferred upstream is
// assumed to have cached, by rank; those after the second are assumed to have nothing.
var assumedCachedShares = [preferredCount]float64{1, 0.25}

// reasonLeaving is why a leaving upstream is refused as a candidate.
const reasonLeaving = "leaving"

// Locator implements kingcuphook.Selector for one pool. It is used by one goroutine at a
// time.
type Locator struct {
	// Region and DataCentre are the location of the router.
	Region, DataCentre string
	// RoundTrip returns the round trip to a data centre, or 0 if it is unknown; nil
	// means that none is known.
	RoundTrip func(dataCentre string) time.Duration

	// estimates holds the learned speed of the upstreams; workloads the averages of the
	// requests on them: at index 0 those of unreserved upstreams, at 1 those of reserved
	// ones.
	estimates estimator.Estimator
	workloads [2]estimator.Workload

	upstreams []*upstream
	byAddress map[string]*upstream
	// last is the most recent selection, which is usually the one that Started is called
	// for next. It saves computing the cost again; no selection depends on it.
	last selection
}

// selection is a selected upstream with the values that Started needs.
type selection struct {
	request  *kingcuphook.Request
	upstream *upstream
	// uncached is the number of uncached tokens of the prompt, prefix the hash of the
	// shared prefix.
	uncached int
	prefix   uint64
}

// upstream is the state that the router tracks for one upstream.
type upstream struct {
	row  *kingcuphook.Upstream
	seed uint64
	// roundTrip is the round trip to the upstream, costPerKiB the cost of a KiB
	// transferred.
	roundTrip  time.Duration
	costPerKiB float64
	// reserved means that the upstream is reserved for short prompts.
	reserved bool
	// running counts the requests of this router.
	running int
	// prefilling is the number of prompt tokens of this router that are still to be
	// prefilled.
	prefilling int
	// peerRunning and peerPrefilling are the same for the other routers, from the last
	// load report.
	peerRunning, peerPrefilling int
	// reported is when that report was made; zero if there was none.
	reported time.Time
	// inFlight holds the running requests by identifier.
	inFlight map[string]attempt
	// firstSeen is when the router first saw the upstream.
	firstSeen time.Time
	// prefixes holds when each shared prefix was last sent there, by hash.
	prefixes map[uint64]time.Time
	// displaced means that another program has the address of the upstream.
	displaced bool
	// failed is when a request last failed there, failures the number of failures in a
	// row.
	failed   time.Time
	failures int
}

// attempt is a request in flight.
type attempt struct {
	// tokens is the number of its prompt tokens to be prefilled.
	tokens int
	// prefilled means that its first token has come.
	prefilled bool
	// sentAt is when it was sent, ahead the number of prompt tokens to be prefilled
	// before its first token, its own included.
	sentAt time.Time
	ahead  int
}

var _ kingcuphook.Selector = (*Locator)(nil)

// Update applies the current revision of the pool. An upstream that has restarted, and
// so has a new program, starts with fresh state.
func (l *Locator) Update(now time.Time, p *kingcuphook.Pool) {
	known := l.byAddress
	l.byAddress = make(map[string]*upstream, len(p.Upstreams()))
	l.upstreams = l.upstreams[:0]
	for _, row := range p.Upstreams() {
		u := known[row.Address()]
		if u == nil || u.row.Program() != row.Program() {
			u = newUpstream(now, row)
		}
		u.row = row
		u.roundTrip, u.costPerKiB = l.distance(row)
		l.byAddress[row.Address()] = u
		l.upstreams = append(l.upstreams, u)
	}
	l.chooseReserved()
}

func newUpstream(now time.Time, row *kingcuphook.Upstream) *upstream {
	return &upstream{
		row:       row,
		firstSeen: now,
		seed:      xxhash.Sum64String(row.Instance() + row.Address()),
		inFlight:  make(map[string]attempt),
		prefixes:  make(map[uint64]time.Time),
	}
}

// Select implements kingcuphook.Selector.
func (l *Locator) Select(now time.Time, r *kingcuphook.Request, excluded []string) (kingcuphook.Choice, error) {
	return l.SelectUsable(now, r, excluded, func(string) bool { return true })
}

// SelectUsable is Select among the upstreams for which usable returns true. The error
// wraps ErrNoUpstream if no upstream could take the request even later; the choice is
// empty if the request must wait.
func (l *Locator) SelectUsable(now time.Time, r *kingcuphook.Request, excluded []string, usable func(address string) bool) (kingcuphook.Choice, error) {
	q := l.newQuery(now, r)
	q.maxRank = q.preferred.firstAvailable(now, l.boundedLoad(), func(u *upstream) bool {
		return usable(u.row.Address()) && !slices.Contains(excluded, u.row.Address())
	})
	var best *upstream
	var least candidateCost
	possible := false
	for _, u := range l.upstreams {
		address := u.row.Address()
		if u.row.Leaving() || u.displaced || slices.Contains(excluded, address) {
			continue
		}
		possible = true
		if !usable(address) || q.excludes(u) {
			continue
		}
		if cost := l.costOf(&q, u); best == nil || cost.less(least) {
			best, least = u, cost
		}
	}
	if !possible {
		return kingcuphook.Choice{}, fmt.Errorf("locator: %w", kingcuphook.ErrNoUpstream)
	}
	if best == nil {
		return kingcuphook.Choice{}, nil
	}
	l.last = selection{request: r, upstream: best, uncached: least.uncached, prefix: q.prefix}
	return kingcuphook.Choice{
		Upstream:       best.row,
		Predicted:      least.firstToken,
		UncachedTokens: least.uncached,
		Spilled:        best.row.Region() != l.Region,
		Running:        best.load(),
		PrefillTokens:  best.backlog(),
		ReportedAt:     best.reported,
		PreferredRank:  q.preferred.rank(best) + 1,
		CopyFrom:       l.copyFrom(&q, best),
	}, nil
}

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
	// maxRank is the highest rank of a preferred upstream that the request may go to.
	maxRank int
	// long means that the prompt is kept off reserved upstreams.
	long bool
	// target is the target for the first token, in nanoseconds.
	target float64
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
	q.long = max(r.PromptTokens(), q.sharedTokens) >= longPrompt
	if i >= 0 {
		q.preferred = l.preferredFor(q.prefix, q.long)
	}
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

// excludes reports whether the request must not go to the upstream. It must not exceed
// the number of streams beside which its class meets the deadline. A long prompt with a
// shared prefix is also kept off reserved upstreams, which serve streams with tight token
// targets, and off upstreams that neither have the prefix cached nor are preferred up to
// maxRank: prefilling the prefix once more takes capacity that busy upstreams lack, so
// that all requests would be late.
func (q *query) excludes(u *upstream) bool {
	if u.isEngine() && float64(u.load()) >= q.maxStreams[u.group()] {
		return true
	}
	if !q.long || q.preferred[0] == nil {
		return false
	}
	if u.reserved {
		return true
	}
	rank := q.preferred.rank(u)
	return (rank < 0 || rank > q.maxRank) && !u.hasCached(q)
}

// warmFraction returns the share of the prefixes for which it is preferred that an
// upstream can have cached. It grows from 0 to 1 in the warmupTime after the router
// first sees the upstream.
func (u *upstream) warmFraction(now time.Time) float64 {
	age := now.Sub(u.firstSeen)
	if age >= warmupTime {
		return 1
	}
	return float64(age) / float64(warmupTime)
}

// sharedPrefixIndex returns the index of the longest prefix that other requests share,
// negative if there is none. The last entry is the whole prompt, which is the request's
// own.
func sharedPrefixIndex(r *kingcuphook.Request) int {
	return min(len(r.Prefix()), len(r.PrefixTokens())) - 2
}

// Explain implements kingcuphook.Selector.
func (l *Locator) Explain(now time.Time, r *kingcuphook.Request, dst []kingcuphook.Candidate) []kingcuphook.Candidate {
	q := l.newQuery(now, r)
	for _, u := range l.upstreams {
		cost := l.costOf(&q, u)
		c := kingcuphook.Candidate{
			Upstream:     u.row.Address(),
			Predicted:    cost.firstToken,
			CachedTokens: max(r.PromptTokens()-cost.uncached, 0),
		}
		if u.row.Leaving() {
			c.RejectReason = reasonLeaving
		}
		dst = append(dst, c)
	}
	return dst
}

// Started implements kingcuphook.Selector.
func (l *Locator) Started(now time.Time, address string, r *kingcuphook.Request) {
	u := l.byAddress[address]
	if u == nil {
		return
	}
	c := l.last
	if c.request != r || c.upstream != u {
		q := l.newQuery(now, r)
		c = selection{uncached: l.costOf(&q, u).uncached, prefix: q.prefix}
	}
	u.inFlight[r.ID()] = attempt{tokens: c.uncached, sentAt: now, ahead: u.backlog() + c.uncached}
	if u.isEngine() {
		l.workloads[u.group()].ObservePrompt(c.uncached)
	}
	u.running++
	u.prefilling += c.uncached
	u.recordPrefix(now, c.prefix)
}

// recordPrefix notes that a shared prefix was sent to the upstream; 0 means none.
func (u *upstream) recordPrefix(now time.Time, prefix uint64) {
	if prefix == 0 {
		return
	}
	if len(u.prefixes) >= maxPrefixes {
		u.evictPrefixes(now)
	}
	u.prefixes[prefix] = now
}

// evictPrefixes removes expired prefixes, and all prefixes if none has expired.
func (u *upstream) evictPrefixes(now time.Time) {
	for prefix, used := range u.prefixes {
		if now.Sub(used) >= prefixTTL {
			delete(u.prefixes, prefix)
		}
	}
	if len(u.prefixes) >= maxPrefixes {
		clear(u.prefixes)
	}
}

// Progress records that a running request has produced output. The first call for a
// request ends its prefill; its token count is not used.
func (l *Locator) Progress(now time.Time, address string, r *kingcuphook.Request, _ int) {
	u := l.byAddress[address]
	if u == nil {
		return
	}
	if a, ok := u.inFlight[r.ID()]; ok && !a.prefilled && u.isEngine() {
		l.estimates.ObserveFirstToken(a.ahead, now.Sub(a.sentAt)-u.roundTrip)
	}
	u.endPrefill(r)
}

// endPrefill subtracts the prompt of a running request from the prefill backlog, once.
func (u *upstream) endPrefill(r *kingcuphook.Request) {
	a, ok := u.inFlight[r.ID()]
	if !ok || a.prefilled {
		return
	}
	u.prefilling -= a.tokens
	a.prefilled = true
	u.inFlight[r.ID()] = a
}

// Finished implements kingcuphook.Selector.
func (l *Locator) Finished(now time.Time, address string, r *kingcuphook.Request, s kingcuphook.Sample) {
	u := l.byAddress[address]
	if u == nil {
		return
	}
	if _, ok := u.inFlight[r.ID()]; !ok {
		return
	}
	u.endPrefill(r)
	delete(u.inFlight, r.ID())
	u.running--
	switch {
	case s.Misdirected:
		u.displaced = true
	case s.Failed && s.Answered:
		// The upstream answered, so it doesn't count as failing.
	case s.Failed:
		u.failed = now
		u.failures++
	case !s.Cancelled:
		u.failures = 0
		if u.isEngine() {
			l.estimates.ObserveAnswer(r, s)
			l.workloads[u.group()].ObserveAnswer(s.Tokens)
		}
	}
}

// Report implements kingcuphook.Selector. The report gives the load of other routers
// on the upstream.
func (l *Locator) Report(_ time.Time, r kingcuphook.LoadReport) {
	if u := l.byAddress[r.Upstream()]; u != nil {
		u.roundTrip, u.costPerKiB = l.distance(u.row)
		u.peerRunning = r.Running()
		u.peerPrefilling = r.QueuedTokens()
		u.reported = r.Made()
	}
}

// group returns the index of the upstream's group in workloads.
func (u *upstream) group() int {
	if u.reserved {
		return 1
	}
	return 0
}

func (u *upstream) isEngine() bool { return u.row.Kind() == kingcuphook.UpstreamKindEngine }

// load returns the number of requests of all routers on the upstream.
func (u *upstream) load() int { return u.running + u.peerRunning }

// backlog returns the number of prompt tokens to be prefilled there for all routers.
func (u *upstream) backlog() int { return u.prefilling + u.peerPrefilling }

// Cached implements kingcuphook.Selector.
func (*Locator) Cached(time.Time, kingcuphook.CacheEvent) {}
