package locator

import (
	"math"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/estimator"
)

const (
	// gapWeight and firstTokenWeight are the weights of a sample from a group of gaps and
	// from a first token. The groups of one answer aren't independent of one another.
	gapWeight        = 0.25
	firstTokenWeight = 1
	// minSampleTokens is the least number of tokens ahead of a first token that is a sample.
	// With fewer, the streams on the upstream decide on its time.
	minSampleTokens = 1500
	// reportedTokens is the number of tokens that an upstream prefills in the time after which
	// a report is replaced.
	reportedTokens = 10_000
	// minUnevenRank is the least rank up to which the preferred upstreams of a prefix are
	// compared by cost where upstreams differ in speed.
	minUnevenRank = 3
	// reservedIdleShare is the share of the load of the other upstreams below which the
	// reserved ones have room for all short prompts.
	reservedIdleShare = 0.45
	// speedIntervalPerUpstream is the least time between two updates of the learned speed of an
	// upstream, for each upstream of the pool, so that the cost of updates a second doesn't grow
	// with the pool.
	speedIntervalPerUpstream = 200 * time.Microsecond
	// unevenLoadFactor replaces loadFactor in a pool whose upstreams differ in speed. The
	// times to the first token at equal relative loads are alike there only up to a bound
	// closer to the mean.
	unevenLoadFactor = 1.0
	// unevenLateFactor multiplies the cost of the time to the first token of long prompts in such a
	// pool. Near saturation as many prompts come to wait behind a prompt as wait before it. A wait
	// of w in units of its target costs w², and a prompt of length p makes each of the w/p prompts
	// behind it wait for p more, which costs 2wp for each and 2w² for all of them.
	unevenLateFactor = 3.0
)

// updateSpeeds passes the engines of the pool to Speeds, or only those of a change if isChange is set.
func (l *Locator) updateSpeeds(now time.Time, c kingcuphook.PoolChange, isChange bool) {
	if l.Speeds == nil {
		return
	}
	if isChange && l.speedsOf == l.Speeds {
		l.Speeds.Change(enginesOf(c.Added), enginesOf(c.Removed))
	} else {
		l.Speeds.Update(enginesOf(l.pool.Upstreams()))
	}
	l.speedsOf = l.Speeds
	for _, u := range l.upstreams {
		if u.learnedSpeed == 0 { // the others are updated by the next report
			l.updateSpeed(now, u)
		}
	}
}

// enginesOf returns the programs of the engines among upstreams.
func enginesOf(upstreams []*kingcuphook.Upstream) []kingcuphook.Program {
	programs := make([]kingcuphook.Program, 0, len(upstreams))
	for _, u := range upstreams {
		if u.Kind() == kingcuphook.UpstreamKindEngine {
			programs = append(programs, u.Program())
		}
	}
	return programs
}

// updateSpeed takes over the learned speed of an upstream, unless it did so lately.
func (l *Locator) updateSpeed(now time.Time, u *upstream) {
	if l.Speeds == nil || !u.isEngine() || now.Sub(u.speedAt) < speedIntervalPerUpstream*time.Duration(len(l.upstreams)) {
		return
	}
	u.learnedSpeed, u.speedAt = l.Speeds.Relative(now, u.row.Program()), now
}

// speed returns the speed of the upstream relative to its pool, 1 if it is like the others.
func (u *upstream) speed() float64 {
	if u.learnedSpeed == 0 {
		return 1
	}
	return u.learnedSpeed
}

// relativeLoad returns the load of the upstream in relation to its speed.
func (u *upstream) relativeLoad() float64 { return float64(u.load()) / u.speed() }

// atSpeed returns the time that work of an upstream of speed 1 takes on the upstream.
func (u *upstream) atSpeed(nanoseconds float64) float64 { return nanoseconds / u.speed() }

// normal returns the time that an upstream of speed 1 would have taken instead of the upstream.
func (u *upstream) normal(took time.Duration) time.Duration {
	if u.speed() == 1 {
		return took
	}
	return time.Duration(float64(took) * u.speed())
}

// observeFirstToken records the time to the first token of an attempt on an engine, without
// the round trip.
func (l *Locator) observeFirstToken(now time.Time, u *upstream, a attempt) {
	took := now.Sub(a.sentAt) - u.place.roundTrip
	if l.Speeds != nil && a.tokens >= minSampleTokens && took > 0 {
		expected := l.estimates.FirstTokenOverhead() + time.Duration(a.ahead)*l.estimates.PrefillTokenTime()
		logarithm := math.Log(expected.Seconds() / took.Seconds())
		// The other routers report what they have ahead with a delay, in which an upstream
		// can prefill reportedTokens of it.
		stale := float64(min(a.ahead-a.tokens, reportedTokens)) / float64(a.ahead)
		l.Speeds.Observe(now, u.row.Program(), estimator.MeasureFirstToken, logarithm, firstTokenWeight*(1-stale))
	}
	l.estimates.ObserveFirstToken(a.ahead, u.normal(took))
}

// observeGap records an event of the answer to a running request. Gaps beside prompts to be
// prefilled don't count: on an upstream that prefills all the time, each gap has a prefill in it.
func (l *Locator) observeGap(now time.Time, u *upstream, r *kingcuphook.Request) {
	a, ok := u.inFlight[r.ID()]
	if !ok || l.Speeds == nil || !u.isEngine() {
		return
	}
	if u.backlog() > 0 {
		a.gaps = eventGaps{}
		u.inFlight[r.ID()] = a
		return
	}
	gap, complete := a.gaps.add(now)
	u.inFlight[r.ID()] = a
	if !complete || gap <= 0 {
		return
	}
	logGap, streams := math.Log(gap.Seconds()), float64(u.load())
	l.slope.Observe(&u.means, streams, logGap)
	l.Speeds.Observe(now, u.row.Program(), estimator.MeasureGap, l.slope.Value()*streams-logGap, gapWeight)
}

// gapGroup is the number of gaps between events that give one sample.
const gapGroup = 5

// eventGaps holds the last gaps between the events of an answer. The second smallest of
// gapGroup gaps is the sample: prefills of other requests make some gaps longer, and events that
// arrive together make one of them short.
type eventGaps struct {
	last          time.Time
	least, second time.Duration
	n             int
}

// add records an event, and returns the sample if it completes a group.
func (g *eventGaps) add(now time.Time) (sample time.Duration, complete bool) {
	last := g.last
	g.last = now
	if last.IsZero() {
		return 0, false
	}
	gap := now.Sub(last)
	switch {
	case g.n == 0:
		g.least, g.second = gap, math.MaxInt64
	case gap < g.least:
		g.least, g.second = gap, g.least
	default:
		g.second = min(g.second, gap)
	}
	g.n++
	if g.n < gapGroup {
		return 0, false
	}
	g.n = 0
	return g.second, true
}

// balances reports whether long prompts are spread in relation to speed: if upstreams differ in
// speed and the reserved ones have a lower load than the others. Otherwise short prompts go to
// the fast ones of the others, and long prompts there would make them late.
func (l *Locator) balances() bool {
	var load, speeds [2]float64
	uneven := false
	for _, u := range l.upstreams {
		uneven = uneven || u.speed() != 1
		load[u.group()] += float64(u.load())
		speeds[u.group()] += u.speed()
	}
	return uneven && load[1]*speeds[0] < reservedIdleShare*load[0]*speeds[1]
}

// saturationOf returns the number of streams that saturates the upstream.
func (q *query) saturationOf(u *upstream) float64 { return q.saturation[u.group()] * u.speed() }

// maxStreamsOf returns the number of streams beside which a long answer of the class still
// meets its deadline on the upstream.
func (q *query) maxStreamsOf(u *upstream) float64 {
	return max(q.maxStreams[u.group()]*u.speed(), 1)
}
