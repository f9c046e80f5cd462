package selector

import (
	"math"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Initial estimates for an upstream, and the weights and bounds for updating them.
const (
	// defaultFirstToken is the time to the first token of a cached prompt.
	defaultFirstToken = 40 * time.Millisecond
	// defaultTokenTime is the time to prefill one token.
	defaultTokenTime = 100 * time.Microsecond
	// defaultGap is the time between tokens of a single request, and
	// defaultLoadTime what each further request adds.
	defaultGap      = 15 * time.Millisecond
	defaultLoadTime = 500 * time.Microsecond
	// minSlope bounds the slope and the base of a fit from below.
	minSlope = time.Microsecond
	// sampleDecay is the factor applied to the weight of earlier samples for each
	// new one.
	sampleDecay = 0.95
	// priorWeight is the number of samples that the initial estimate counts for.
	priorWeight = 4
	// priorTokens is the mean prefill length of the samples of the prior.
	priorTokens = 1000
	// priorLoad is the mean load of the samples of the prior.
	priorLoad = 8
	// interferenceWeight is the cost of delaying another request, relative to
	// delaying the request itself.
	interferenceWeight = 0.5
	// maxDispatches bounds the dispatches kept since the last report.
	maxDispatches = 64
)

// dispatch is one request sent to an upstream by this router.
type dispatch struct {
	at             time.Time
	uncachedTokens int
}

// tracker is a router's view of one upstream.
type tracker struct {
	upstream *kingcuphook.Upstream
	// groups are the groups that the upstream is in.
	groups []*group
	// id identifies the upstream in the prefix index; it may be reused, with a
	// higher epoch, after the upstream has left the pool.
	id          uint32
	addressHash uint64
	// epoch increases whenever the upstream's entries in the prefix index become
	// stale.
	epoch uint32
	// firstEpoch is the epoch at which id was assigned to this upstream.
	firstEpoch uint32
	// remote means that the upstream is in another region and doesn't count as
	// local, see Selector.localityOf.
	remote bool
	// sequence is the number of the last cache event; 0 if none came.
	sequence int64
	// slots is the capacity hint, at least 1.
	slots int
	// ownRequests is the number of requests of this router on the upstream.
	ownRequests int
	// ownHighestTier is the number of those of the highest tier.
	ownHighestTier int
	// suited means that the upstream meets the token target of the highest tier
	// when all its slots are in use.
	suited bool
	// reportMade is when the last report was made; otherRequests is the number of
	// requests in it that were not sent by this router.
	reportMade    time.Time
	otherRequests int
	leaving       bool
	// backlog is the number of prompt tokens waiting for prefill at the time
	// backlogAt.
	backlog   float64
	backlogAt time.Time
	// dispatches holds the latest dispatches since the last report was made.
	dispatches []dispatch
	// inFlight holds the running requests of this router by identifier.
	inFlight map[string]inFlightRequest
	// firstTokenFit is the time to the first token over the tokens to prefill,
	// gapFit the time between tokens over the load.
	firstTokenFit, gapFit linearFit
}

// inFlightRequest is the state of a running request when it was dispatched.
type inFlightRequest struct {
	// tokens is the number of tokens to be prefilled before its first token,
	// those of earlier requests included.
	tokens float64
	// load is the number of requests on the upstream, this one included.
	load int
	// firstTokenSeen means that its first token has arrived.
	firstTokenSeen bool
}

func newTracker(u *kingcuphook.Upstream, id, epoch uint32, addressHash uint64) *tracker {
	t := &tracker{upstream: u, id: id, epoch: epoch, firstEpoch: epoch, addressHash: addressHash, slots: 1}
	t.dispatches = make([]dispatch, 0, maxDispatches)
	t.inFlight = make(map[string]inFlightRequest)
	t.firstTokenFit.reset(defaultFirstToken, defaultTokenTime, priorTokens)
	t.gapFit.reset(defaultGap, defaultLoadTime, priorLoad)
	t.setUpstream(u)
	return t
}

// setUpstream applies the upstream's row of the pool.
func (t *tracker) setUpstream(u *kingcuphook.Upstream) {
	t.upstream = u
	t.slots = max(u.Slots(), 1)
}

// load returns the estimated number of requests on the upstream.
func (t *tracker) load() int { return t.ownRequests + t.otherRequests }

// pendingPrefill returns the estimated number of prompt tokens still to be
// prefilled at now.
func (t *tracker) pendingPrefill(now time.Time) float64 {
	done := now.Sub(t.backlogAt).Seconds() / t.firstTokenFit.slope
	return max(t.backlog-done, 0)
}

// predict returns the predicted time to the first token of a prompt with the
// given number of uncached tokens.
func (t *tracker) predict(now time.Time, uncachedTokens int) time.Duration {
	return t.firstTokenFit.valueAt(t.pendingPrefill(now) + float64(uncachedTokens))
}

// predictGap returns the predicted time between tokens with one more request.
func (t *tracker) predictGap() time.Duration { return t.gapFit.valueAt(float64(t.load() + 1)) }

// prefillDelay returns the time by which the prefill pending at now delays the
// requests that are being decoded.
func (t *tracker) prefillDelay(now time.Time) time.Duration {
	return time.Duration(t.pendingPrefill(now) * t.firstTokenFit.slope * float64(time.Second))
}

// interference returns the cost of the delay that prefilling the uncached tokens
// causes to the requests on the upstream.
func (t *tracker) interference(uncachedTokens int) time.Duration {
	each := float64(uncachedTokens) * t.firstTokenFit.slope * float64(time.Second)
	return time.Duration(each * float64(t.load()) * interferenceWeight)
}

func (t *tracker) started(now time.Time, r *kingcuphook.Request, uncachedTokens int) {
	t.ownRequests++
	if r.Tier() == kingcuphook.HighestTier {
		t.ownHighestTier++
	}
	t.backlog = t.pendingPrefill(now) + float64(uncachedTokens)
	t.backlogAt = now
	t.inFlight[r.ID()] = inFlightRequest{tokens: t.backlog, load: t.load()}
	if len(t.dispatches) == maxDispatches {
		t.dispatches = append(t.dispatches[:0], t.dispatches[1:]...)
	}
	t.dispatches = append(t.dispatches, dispatch{at: now, uncachedTokens: uncachedTokens})
}

func (t *tracker) finished(r *kingcuphook.Request, s kingcuphook.Sample) {
	load := t.load()
	f, ok := t.inFlight[r.ID()]
	if !ok {
		return
	}
	delete(t.inFlight, r.ID())
	t.ownRequests--
	if r.Tier() == kingcuphook.HighestTier {
		t.ownHighestTier--
	}
	if s.FirstToken > 0 {
		t.firstTokenFit.add(f.tokens, s.FirstToken.Seconds())
	}
	if s.TokenGap > 0 {
		t.gapFit.add(float64(f.load+load)/2, s.TokenGap.Seconds())
	}
}

// report replaces the estimate by the figures of a load report and adds what this
// router has dispatched since the report was made. It ignores reports that are not
// newer than the last one.
func (t *tracker) report(now time.Time, l kingcuphook.LoadReport) {
	if !l.Made().After(t.reportMade) {
		return
	}
	t.reportMade = l.Made()
	t.leaving = l.Leaving()
	t.dropDispatches(l.Made())
	t.otherRequests = max(l.Running()+l.Queued()-(t.ownRequests-len(t.dispatches)), 0)
	t.backlog = float64(l.QueuedTokens())
	t.backlogAt = l.Made()
	for _, d := range t.dispatches {
		t.backlog = t.pendingPrefill(d.at) + float64(d.uncachedTokens)
		t.backlogAt = d.at
	}
	t.backlog = t.pendingPrefill(now)
	t.backlogAt = now
}

// dropDispatches drops the dispatches up to and including the given time.
func (t *tracker) dropDispatches(until time.Time) {
	n := 0
	for n < len(t.dispatches) && !t.dispatches[n].at.After(until) {
		n++
	}
	t.dispatches = append(t.dispatches[:0], t.dispatches[n:]...)
}

// linearFit is a linear regression, with exponentially decaying weights, of
// samples in seconds over an amount.
type linearFit struct {
	weight, sumX, sumY, sumXX, sumXY float64
	// base is in seconds, slope in seconds per unit; both are above 0.
	base, slope float64
	// deviation is the moving average of the distance of the samples from the
	// line, in seconds.
	deviation float64
}

// reset starts from a line given by samples at 0 and at twice the usual amount.
func (f *linearFit) reset(base, slope time.Duration, usual float64) {
	*f = linearFit{}
	for _, x := range []float64{0, 2 * usual} {
		f.accumulate(x, base.Seconds()+slope.Seconds()*x, priorWeight/2)
	}
	f.solve()
}

// valueAt returns the value of the line.
func (f *linearFit) valueAt(x float64) time.Duration {
	return time.Duration((f.base + f.slope*x) * float64(time.Second))
}

func (f *linearFit) add(x, y float64) {
	distance := math.Abs(y - f.base - f.slope*x)
	f.deviation += (1 - sampleDecay) * (distance - f.deviation)
	f.weight *= sampleDecay
	f.sumX *= sampleDecay
	f.sumY *= sampleDecay
	f.sumXX *= sampleDecay
	f.sumXY *= sampleDecay
	f.accumulate(x, y, 1)
	f.solve()
}

func (f *linearFit) accumulate(x, y, weight float64) {
	f.weight += weight
	f.sumX += weight * x
	f.sumY += weight * y
	f.sumXX += weight * x * x
	f.sumXY += weight * x * y
}

func (f *linearFit) solve() {
	spread := f.weight*f.sumXX - f.sumX*f.sumX
	if spread > f.weight*f.weight {
		f.slope = (f.weight*f.sumXY - f.sumX*f.sumY) / spread
	}
	f.slope = max(f.slope, minSlope.Seconds())
	f.base = max((f.sumY-f.slope*f.sumX)/f.weight, minSlope.Seconds())
}
