// Package locator selects the upstream of an opaque call by estimated cost to its caller
// and to other requests: network distance, prompt tokens to prefill, the load of the
// upstream and its recent failures. Routers agree without communication on which
// upstreams cache a shared prefix, by rendezvous hashing.
package locator

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/estimator"
	"github.com/kingcuphook/kingcuphook/indexer"
	"github.com/kingcuphook/kingcuphook/tallier"
)

const (
	// answerBytes is the expected size of an answer.
	answerBytes = 4 << 10
	// prefixTTL is how long an upstream is assumed to keep a prefix cached.
	prefixTTL = indexer.TTL
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
	// reservedPrefillTime is the longest time for which a reserved upstream is given prompts
	// to prefill, if one of them is long. Its streams get no token in that time.
	reservedPrefillTime = tightGap / 2
	// reservedLoadShare is the share of its slots, and of its saturating number of streams,
	// from which a reserved upstream takes no long prompt.
	reservedLoadShare = 0.25
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

// Reasons why an upstream is refused as a candidate.
const (
	reasonLeaving         = "leaving"
	reasonDisplaced       = "address-of-another-program"
	reasonTooManyStreams  = "too-many-streams"
	reasonReserved        = "reserved-for-short-prompts"
	reasonPrefixElsewhere = "prefix-elsewhere"
)

// Locator implements kingcuphook.Selector for one pool. It is used by one goroutine at a
// time.
type Locator struct {
	// Region and DataCentre are the location of the router.
	Region, DataCentre string
	// RoundTrip returns the round trip to a data centre, or 0 if it is unknown; nil
	// means that none is known.
	RoundTrip func(dataCentre string) time.Duration
	// Speeds holds the learned speed of each engine; nil means that all count as equally fast.
	Speeds *estimator.Speeds

	// Index is the index of the locations of long shared prefixes over all routers; nil
	// means none. It is used for pools whose engines copy prefixes.
	Index *indexer.Index

	// estimates holds the learned speed of the upstreams; workloads the averages of the
	// requests on them: at index 0 those of unreserved upstreams, at 1 those of reserved
	// ones.
	estimates estimator.Estimator
	workloads [2]estimator.Workload

	// slope holds how gaps between events grow with the load.
	slope estimator.LoadSlope

	// pool is the last revision of the pool, and upstreams has its upstreams in order.
	pool      *kingcuphook.Pool
	upstreams []*upstream
	// bySeed has the upstreams in the order of their seeds.
	bySeed    []*upstream
	byAddress map[string]*upstream
	// next is the index of the upstream that is probably reported next.
	next      int
	byProgram map[tallier.Key]*upstream
	// places holds the places of upstreams, regions their regions by name.
	places  map[placeKey]*place
	regions map[string]*region
	// speedsOf is the value of Speeds that has the engines of the last revision of the pool; a change is passed
	// only to that one.
	speedsOf *estimator.Speeds
	// left holds the upstreams that left the pool and may return, by address.
	left map[string]*upstream
	// last is the most recent selection, which is usually the one that Started is called
	// for next. It saves computing the cost again; no selection depends on it.
	last selection
	// lowest is the lowest rank of the long prompts that were started lately.
	lowest lowestRank
	// copies means that the engines of the pool copy prefixes.
	copies bool
	// scratch is scratch space of candidates, locations that of the query.
	scratch   []*upstream
	locations []tallier.Key
}

// selection is a selected upstream with the values that Started needs.
type selection struct {
	request  *kingcuphook.Request
	upstream *upstream
	// uncached is the number of uncached tokens of the prompt, prefix the hash of the
	// shared prefix; sharesLong means that this prefix is long.
	uncached   int
	prefix     uint64
	sharesLong bool
	// cold means that no location of the prefix was known.
	cold bool
}

var _ kingcuphook.Selector = (*Locator)(nil)

// leftTime is how long the state of an upstream that left the pool is kept at least. It is kept while
// requests run there.
const leftTime = time.Minute

// Update applies the current revision of the pool. An upstream that has restarted, and
// so has a new program, starts with fresh state; one that has left returns with its state.
func (l *Locator) Update(now time.Time, p *kingcuphook.Pool) {
	l.copies = p.CopiesPrefixes()
	for _, place := range l.places {
		place.measuredAt = time.Time{}
		l.measure(now, place)
	}
	change, ok := p.ChangeSince(l.pool)
	l.pool, l.next = p, 0
	if ok {
		l.apply(now, change)
	} else {
		l.rebuild(now)
	}
	l.chooseReserved()
	l.updateSpeeds(now, change, ok)
}

// rebuild takes over all rows of the pool. It is used if a change can't be applied.
func (l *Locator) rebuild(now time.Time) {
	known := l.byAddress
	l.byAddress = make(map[string]*upstream, len(l.pool.Upstreams()))
	l.upstreams = make([]*upstream, 0, len(l.pool.Upstreams()))
	for _, row := range l.pool.Upstreams() {
		l.upstreams = append(l.upstreams, l.add(now, row, known))
	}
	l.indexPrograms()
	l.keepLeft(now, known)
	l.bySeed = slices.Clone(l.upstreams)
	slices.SortFunc(l.bySeed, compareSeeds)
}

// apply takes over the rows of the pool that changed.
func (l *Locator) apply(now time.Time, c kingcuphook.PoolChange) {
	known := make(map[string]*upstream, len(c.Removed))
	for _, row := range c.Removed {
		u := l.byAddress[row.Address()]
		known[row.Address()] = u
		delete(l.byAddress, row.Address())
		delete(l.byProgram, u.program)
		l.removeSeed(u)
	}
	for _, row := range c.Added {
		u := l.add(now, row, known)
		l.byProgram[u.program] = u
		i, _ := slices.BinarySearchFunc(l.bySeed, u, compareSeeds)
		l.bySeed = slices.Insert(l.bySeed, i, u)
	}
	l.setOrder()
	if len(l.byProgram) != len(l.upstreams) {
		// Upstreams share a key, and one of them may have been deleted with another.
		l.indexPrograms()
	}
	l.keepLeft(now, known)
}

// add takes over a row. It keeps the state of the known upstream with the address, or of one that left, if it
// runs the same program.
func (l *Locator) add(now time.Time, row *kingcuphook.Upstream, known map[string]*upstream) *upstream {
	u := known[row.Address()]
	if u == nil {
		u = l.takeLeft(row.Address())
	}
	if u == nil || u.row.Program() != row.Program() {
		u = newUpstream(now, row)
	}
	u.row, u.place = row, l.placeOf(now, row)
	l.byAddress[row.Address()] = u
	return u
}

// indexPrograms indexes all upstreams by the keys of their programs.
func (l *Locator) indexPrograms() {
	l.byProgram = make(map[tallier.Key]*upstream, len(l.upstreams))
	for _, u := range l.upstreams {
		l.byProgram[u.program] = u
	}
}

// setOrder puts the upstreams into the order of the pool.
func (l *Locator) setOrder() {
	old, i := l.upstreams, 0
	l.upstreams = make([]*upstream, 0, len(l.pool.Upstreams()))
	for _, row := range l.pool.Upstreams() {
		for i < len(old) && old[i].row != row && l.byAddress[old[i].row.Address()] != old[i] {
			i++ // it has left the pool
		}
		if i < len(old) && old[i].row == row {
			l.upstreams = append(l.upstreams, old[i])
			i++
		} else {
			l.upstreams = append(l.upstreams, l.byAddress[row.Address()])
		}
	}
}

// takeLeft returns the upstream that left and had the address; nil if there is none.
func (l *Locator) takeLeft(address string) *upstream {
	u := l.left[address]
	if u == nil {
		return nil
	}
	delete(l.left, address)
	u.displaced = false // its program is registered again
	return u
}

// keepLeft keeps those of the known upstreams that have left, and forgets those that left long ago.
func (l *Locator) keepLeft(now time.Time, known map[string]*upstream) {
	if l.left == nil {
		l.left = make(map[string]*upstream)
	}
	for address, u := range known {
		if l.byAddress[address] == nil {
			u.leftAt = now
			l.left[address] = u
		}
	}
	maps.DeleteFunc(l.left, func(_ string, u *upstream) bool {
		return len(u.inFlight) == 0 && now.Sub(u.leftAt) > leftTime
	})
}

// find returns the upstream with the address, also one that has left; nil if there is none.
func (l *Locator) find(address string) *upstream {
	if u := l.byAddress[address]; u != nil {
		return u
	}
	return l.left[address]
}

// Select implements kingcuphook.Selector.
func (l *Locator) Select(now time.Time, r *kingcuphook.Request, excluded []string) (kingcuphook.Choice, error) {
	return l.SelectUsable(now, r, excluded, func(string) bool { return true })
}

// SelectUsable is Select among the upstreams for which usable returns true. The error
// wraps ErrNoUpstream if no upstream could take the request even later; the choice is
// empty if the request must wait.
func (l *Locator) SelectUsable(now time.Time, r *kingcuphook.Request, excluded []string, usable func(address string) bool) (kingcuphook.Choice, error) {
	return l.SelectVacant(now, r, excluded, usable, usable)
}

// SelectVacant is SelectUsable, but a request with a long shared prefix that no upstream is
// known to have may also go to the upstream where the prefix is prefilled first if only vacant
// returns true for it. While routers share the free slots, few of them have a share of the
// same upstream: without this each would prefill the prefix at another one.
func (l *Locator) SelectVacant(now time.Time, r *kingcuphook.Request, excluded []string, usable, vacant func(address string) bool) (kingcuphook.Choice, error) {
	_, choice, selected, err := l.selectVacant(now, r, excluded, usable, vacant)
	if choice.Upstream != nil {
		l.last = selected
	}
	return choice, err
}

// PreviewVacant appends all upstreams to dst as SelectVacant rates them for the request, without
// any effect.
func (l *Locator) PreviewVacant(now time.Time, r *kingcuphook.Request, excluded []string, usable, vacant func(address string) bool, dst []kingcuphook.Candidate) []kingcuphook.Candidate {
	q, choice, _, _ := l.selectVacant(now, r, excluded, usable, vacant)
	if choice.Upstream == nil {
		// The upstreams that the request waits for are those that it might go to if all were usable.
		l.setMaxRank(&q, func(*upstream) bool { return true })
	}
	return l.appendCandidates(&q, dst)
}

// selectVacant returns the choice of SelectVacant, with the query that it follows from and the values
// that Started needs.
func (l *Locator) selectVacant(now time.Time, r *kingcuphook.Request, excluded []string, usable, vacant func(address string) bool) (query, kingcuphook.Choice, selection, error) {
	q := l.newQuery(now, r)
	l.setMaxRank(&q, func(u *upstream) bool {
		return !slices.Contains(excluded, u.row.Address()) && (usable(u.row.Address()) || q.isCold() && vacant(u.row.Address()))
	})
	candidates := l.candidates(excluded)
	if len(candidates) == 0 {
		return q, kingcuphook.Choice{}, selection{}, fmt.Errorf("locator: %w", kingcuphook.ErrNoUpstream)
	}
	best, least := l.cheapest(&q, candidates, usable)
	if best == nil && q.long && !q.sharesLong && l.lowest.isBelow(now, r) {
		q.overflows = true
		best, least = l.cheapest(&q, candidates, usable)
	}
	if best == nil {
		return q, kingcuphook.Choice{}, selection{}, nil
	}
	choice, selected := l.choiceOf(&q, best, least)
	return q, choice, selected, nil
}

// DescribeChoice returns the choice that Select would return if it selected the address for
// the request; an empty one if the upstream is unknown.
func (l *Locator) DescribeChoice(now time.Time, r *kingcuphook.Request, address string) kingcuphook.Choice {
	u := l.byAddress[address]
	if u == nil {
		return kingcuphook.Choice{}
	}
	q := l.newQuery(now, r)
	var c kingcuphook.Choice
	c, l.last = l.choiceOf(&q, u, l.costOf(&q, u))
	l.last.cold = false // others must not follow a probe to an upstream that may be broken
	return c
}

// choiceOf returns the choice of an upstream of the given cost, with the values that Started needs.
func (l *Locator) choiceOf(q *query, u *upstream, cost candidateCost) (kingcuphook.Choice, selection) {
	selected := selection{request: q.request, upstream: u, uncached: cost.uncached, prefix: q.prefix, sharesLong: q.sharesLong, cold: q.isCold()}
	return kingcuphook.Choice{
		Upstream:       u.row,
		Predicted:      cost.firstToken,
		UncachedTokens: cost.uncached,
		Spilled:        u.row.Region() != l.Region,
		Running:        u.load(),
		PrefillTokens:  u.backlog(),
		ReportedAt:     u.reported,
		PreferredRank:  q.preferred.rank(u) + 1,
		CopyFrom:       l.copyFrom(q, u),
	}, selected
}

// setMaxRank sets up to which rank the request may go to preferred upstreams.
func (l *Locator) setMaxRank(q *query, usable func(*upstream) bool) {
	mean, factor, balances := l.meanLoad(), loadFactor, l.balances()
	if balances {
		factor = unevenLoadFactor
	}
	q.maxRank = q.preferred.firstAvailable(q.now, factor*mean+1, usable)
	if balances {
		// Where upstreams differ in speed, the fastest of several preferred ones is taken.
		q.maxRank = max(q.maxRank, minUnevenRank)
		if q.long {
			q.lateFactor = unevenLateFactor
		}
	}
	q.spreadCopies(l, mean, usable)
}

// candidates returns the upstreams that could take a request now or later.
func (l *Locator) candidates(excluded []string) []*upstream {
	l.scratch = l.scratch[:0]
	for _, u := range l.upstreams {
		if u.row.Leaving() || u.displaced || slices.Contains(excluded, u.row.Address()) {
			continue
		}
		l.scratch = append(l.scratch, u)
	}
	return l.scratch
}

// cheapest returns the usable candidate of the lowest cost that the request may go to; nil if
// there is none.
func (l *Locator) cheapest(q *query, candidates []*upstream, usable func(address string) bool) (*upstream, candidateCost) {
	var best *upstream
	var least candidateCost
	for _, u := range candidates {
		if u != q.first && !usable(u.row.Address()) || q.rejectReason(u) != "" {
			continue
		}
		if cost := l.costOf(q, u); best == nil || cost.less(least) {
			best, least = u, cost
		}
	}
	return best, least
}

// Explain implements kingcuphook.Selector.
func (l *Locator) Explain(now time.Time, r *kingcuphook.Request, dst []kingcuphook.Candidate) []kingcuphook.Candidate {
	q := l.newQuery(now, r)
	l.setMaxRank(&q, func(*upstream) bool { return true })
	return l.appendCandidates(&q, dst)
}

// appendCandidates appends all upstreams to dst as they are rated for the query.
func (l *Locator) appendCandidates(q *query, dst []kingcuphook.Candidate) []kingcuphook.Candidate {
	for _, u := range l.upstreams {
		cost := l.costOf(q, u)
		c := kingcuphook.Candidate{
			Upstream:     u.row.Address(),
			Predicted:    cost.firstToken,
			CachedTokens: max(q.request.PromptTokens()-cost.uncached, 0),
			RejectReason: q.rejectReason(u),
			Running:      u.load(),
			Cost:         cost.parts,
			ReportedAt:   u.reported,
		}
		if u.isEngine() {
			c.MaxRunning = int(math.Ceil(q.maxStreamsOf(u)))
		}
		switch {
		case u.row.Leaving():
			c.RejectReason = reasonLeaving
		case u.displaced:
			c.RejectReason = reasonDisplaced
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
		c = selection{uncached: l.costOf(&q, u).uncached, prefix: q.prefix, sharesLong: q.sharesLong}
	}
	u.inFlight[r.ID()] = attempt{tokens: c.uncached, sentAt: now, ahead: u.backlog() + c.uncached, indexed: c.indexedPrefix()}
	if u.isEngine() {
		l.workloads[u.group()].ObservePrompt(c.uncached)
	}
	if r.PromptTokens() >= longPrompt {
		l.lowest.observe(now, r)
	}
	u.running++
	u.prefilling += c.uncached
	u.recordPrefix(now, c.prefix)
	if c.cold && u.isEngine() {
		l.Index.Announce(now, c.prefix, u.program)
	}
}

// Progress records that a running request has produced output. The first call for a
// request ends its prefill; its token count is not used.
func (l *Locator) Progress(now time.Time, address string, r *kingcuphook.Request, _ int) {
	u := l.find(address)
	if u == nil {
		return
	}
	if a, ok := u.inFlight[r.ID()]; ok && !a.prefilled && u.isEngine() {
		l.observeFirstToken(now, u, a)
	}
	l.recordCached(now, u, r)
	u.endPrefill(r)
	l.observeGap(now, u, r)
}

// Finished implements kingcuphook.Selector.
func (l *Locator) Finished(now time.Time, address string, r *kingcuphook.Request, s kingcuphook.Sample) {
	u := l.find(address)
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
			s.TokenGap = u.normal(s.TokenGap)
			l.estimates.ObserveAnswer(r, s)
			l.workloads[u.group()].ObserveAnswer(s.Tokens)
		}
	}
}

// Report implements kingcuphook.Selector. The report gives the load of other routers
// on the upstream.
func (l *Locator) Report(now time.Time, r kingcuphook.LoadReport) {
	if u := l.inPool(r.Upstream()); u != nil {
		l.measure(now, u.place)
		u.peerRunning = r.Running()
		u.peerPrefilling = r.QueuedTokens()
		u.reported = r.Made()
		l.updateSpeed(now, u)
	}
}

// Refresh does what a report of each upstream that equals the last one would do.
func (l *Locator) Refresh(now time.Time) {
	for _, u := range l.upstreams {
		l.measure(now, u.place)
		l.updateSpeed(now, u)
	}
}

// inPool returns the upstream of the pool with the address; nil if there is none. Reports come in the
// order of the pool, so that the next one is found without a look-up.
func (l *Locator) inPool(address string) *upstream {
	if l.next >= len(l.upstreams) {
		l.next = 0
	}
	if len(l.byAddress) == len(l.upstreams) && l.next < len(l.upstreams) && l.upstreams[l.next].row.Address() == address {
		l.next++
		return l.upstreams[l.next-1]
	}
	return l.byAddress[address]
}

// Cached implements kingcuphook.Selector.
func (*Locator) Cached(time.Time, kingcuphook.CacheEvent) {}
