package selector

import (
	"math"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Model of an upstream before anything is known of it.
const (
	// defaultFirstToken is the time to the first token of a cached prompt.
	defaultFirstToken = 40 * time.Millisecond
	// defaultTokenTime is the time to prefill one token.
	defaultTokenTime = 100 * time.Microsecond
	// defaultGap is the time between tokens of a request alone, defaultLoadTime
	// what each further one adds.
	defaultGap      = 15 * time.Millisecond
	defaultLoadTime = 500 * time.Microsecond
	// minSlope bounds what is learned of both.
	minSlope = time.Microsecond
	// sampleDecay is the weight that the earlier samples keep at a new one.
	sampleDecay = 0.95
	// priorWeight is the number of samples that the defaults count for.
	priorWeight = 4
	// priorTokens is the prefill length around which the prior is spread.
	priorTokens = 1000
	// priorLoad is the load around which the prior is spread.
	priorLoad = 8
	// imposedWeight is what a delay of another request counts for, relative to
	// one of the request itself.
	imposedWeight = 0.5
	// maxSent bounds the dispatches remembered after the last report.
	maxSent = 64
)

// sent is one dispatch of this router.
type sent struct {
	at     time.Time
	tokens int
}

// tracker is what a router knows of one upstream.
type tracker struct {
	upstream *kingcuphook.Upstream
	// groups are the groups that the upstream is in.
	groups []*group
	// id stands for the upstream in the prefix index; it may be used again
	// after the upstream has left, with a higher epoch.
	id uint32
	// seed is the hash of the address.
	seed uint64
	// epoch rises whenever the entries of the prefix index become doubtful.
	epoch uint32
	// born is the epoch at which id was given to this upstream.
	born uint32
	// remote says that the upstream is in another region.
	remote bool
	// sequence is that of the last cache event; 0 if none came.
	sequence int64
	// slots is the capacity hint, at least 1.
	slots int
	// own is the number of requests of this router on the upstream.
	own int
	// top is the number of those of the highest tier.
	top int
	// suited says that the upstream keeps the token target of the highest tier
	// when it is full.
	suited bool
	// reported is the last report; others is how much of it was not ours.
	reported time.Time
	others   int
	leaving  bool
	// backlog is the number of prompt tokens waiting for prefill at drained.
	backlog float64
	drained time.Time
	// recent are the dispatches that a late report may not know of.
	recent []sent
	// flying has the running requests of this router by identifier.
	flying map[string]flight
	// first is the time to the first token over the tokens to prefill, gap the
	// time between tokens over the load.
	first, gap fit
}

// flight is one running request as it was when it was dispatched.
type flight struct {
	// tokens are those to be prefilled before its first token.
	tokens float64
	// load is the number of requests on the upstream, this one included.
	load int
	// begun says that its first token has come.
	begun bool
}

func newTracker(u *kingcuphook.Upstream, id, epoch uint32, seed uint64) *tracker {
	t := &tracker{upstream: u, id: id, epoch: epoch, born: epoch, seed: seed, slots: 1}
	t.recent = make([]sent, 0, maxSent)
	t.flying = make(map[string]flight)
	t.first.reset(defaultFirstToken, defaultTokenTime, priorTokens)
	t.gap.reset(defaultGap, defaultLoadTime, priorLoad)
	t.take(u)
	return t
}

// take follows a changed row of the pool.
func (t *tracker) take(u *kingcuphook.Upstream) {
	t.upstream = u
	t.slots = max(u.Slots(), 1)
}

// load returns the estimated number of requests on the upstream.
func (t *tracker) load() int { return t.own + t.others }

// waiting returns the prompt tokens still to be prefilled at now.
func (t *tracker) waiting(now time.Time) float64 {
	done := now.Sub(t.drained).Seconds() / t.first.slope
	return max(t.backlog-done, 0)
}

// predict returns the time to the first token of a prompt with the given
// number of tokens to prefill.
func (t *tracker) predict(now time.Time, tokens int) time.Duration {
	return t.first.at(t.waiting(now) + float64(tokens))
}

// predictGap returns the time between tokens with one more request.
func (t *tracker) predictGap() time.Duration { return t.gap.at(float64(t.load() + 1)) }

// blocking returns the time that the prefill waiting at now takes from the
// answers being written.
func (t *tracker) blocking(now time.Time) time.Duration {
	return time.Duration(t.waiting(now) * t.first.slope * float64(time.Second))
}

// imposed returns what the delay that prefilling the tokens means for the
// answers being written counts for.
func (t *tracker) imposed(tokens int) time.Duration {
	each := float64(tokens) * t.first.slope * float64(time.Second)
	return time.Duration(each * float64(t.load()) * imposedWeight)
}

func (t *tracker) started(now time.Time, r *kingcuphook.Request, tokens int) {
	t.own++
	if r.Tier() == kingcuphook.HighestTier {
		t.top++
	}
	t.backlog = t.waiting(now) + float64(tokens)
	t.drained = now
	t.flying[r.ID()] = flight{tokens: t.backlog, load: t.load()}
	if len(t.recent) == maxSent {
		t.recent = append(t.recent[:0], t.recent[1:]...)
	}
	t.recent = append(t.recent, sent{at: now, tokens: tokens})
}

func (t *tracker) finished(r *kingcuphook.Request, s kingcuphook.Sample) {
	load := t.load()
	f, ok := t.flying[r.ID()]
	if !ok {
		return
	}
	delete(t.flying, r.ID())
	t.own--
	if r.Tier() == kingcuphook.HighestTier {
		t.top--
	}
	if s.FirstToken > 0 {
		t.first.add(f.tokens, s.FirstToken.Seconds())
	}
	if s.TokenGap > 0 {
		t.gap.add(float64(f.load+load)/2, s.TokenGap.Seconds())
	}
}

// report replaces the estimate by the upstream's own figures and adds what this
// router has sent since they were made.
func (t *tracker) report(now time.Time, l kingcuphook.LoadReport) {
	if !l.Made().After(t.reported) {
		return
	}
	t.reported = l.Made()
	t.leaving = l.Leaving()
	t.forget(l.Made())
	t.others = max(l.Running()+l.Queued()-(t.own-len(t.recent)), 0)
	t.backlog = float64(l.QueuedTokens())
	t.drained = l.Made()
	for _, d := range t.recent {
		t.backlog = t.waiting(d.at) + float64(d.tokens)
		t.drained = d.at
	}
	t.backlog = t.waiting(now)
	t.drained = now
}

// forget drops the dispatches made until the given time.
func (t *tracker) forget(until time.Time) {
	n := 0
	for n < len(t.recent) && !t.recent[n].at.After(until) {
		n++
	}
	t.recent = append(t.recent[:0], t.recent[n:]...)
}

// fit is a straight line through weighted samples of seconds over an amount.
type fit struct {
	weight, sumX, sumY, sumXX, sumXY float64
	// base is in seconds, slope in seconds for one unit; both above 0.
	base, slope float64
	// deviation is the smoothed distance of the samples from the line, in
	// seconds.
	deviation float64
}

// reset starts from a line with samples at 0 and at twice the usual amount.
func (f *fit) reset(base, slope time.Duration, usual float64) {
	*f = fit{}
	for _, x := range []float64{0, 2 * usual} {
		f.sum(x, base.Seconds()+slope.Seconds()*x, priorWeight/2)
	}
	f.solve()
}

// at returns the value of the line.
func (f *fit) at(x float64) time.Duration {
	return time.Duration((f.base + f.slope*x) * float64(time.Second))
}

func (f *fit) add(x, y float64) {
	off := math.Abs(y - f.base - f.slope*x)
	f.deviation += (1 - sampleDecay) * (off - f.deviation)
	f.weight *= sampleDecay
	f.sumX *= sampleDecay
	f.sumY *= sampleDecay
	f.sumXX *= sampleDecay
	f.sumXY *= sampleDecay
	f.sum(x, y, 1)
	f.solve()
}

func (f *fit) sum(x, y, weight float64) {
	f.weight += weight
	f.sumX += weight * x
	f.sumY += weight * y
	f.sumXX += weight * x * x
	f.sumXY += weight * x * y
}

func (f *fit) solve() {
	spread := f.weight*f.sumXX - f.sumX*f.sumX
	if spread > f.weight*f.weight {
		f.slope = (f.weight*f.sumXY - f.sumX*f.sumY) / spread
	}
	f.slope = max(f.slope, minSlope.Seconds())
	f.base = max((f.sumY-f.slope*f.sumX)/f.weight, minSlope.Seconds())
}
