// Package ejector detects outliers in a pool: upstreams that are much slower or
// fail much more often than the others. It lowers their weight in steps down to 0
// (ejected), and raises it in steps once they recover.
package ejector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Defaults of the fields of Ejector and thresholds of outlier detection.
const (
	defaultMaxShare   = 0.34
	defaultSlowFactor = 1.8
	defaultProbeEvery = time.Second
	// defaultMinStepTime is the minimum time between two changes of an upstream's
	// weight.
	defaultMinStepTime = 2 * time.Second
	// minSamples is how many attempts since the last change of the weight are
	// required before it is lowered further.
	minSamples = 5
	// ejectAfterFailures is how many failures without an error response, and without
	// a success in between, eject an upstream immediately.
	ejectAfterFailures = 3
	// An upstream is an outlier if its smoothed failure rate is above
	// failureRateThreshold and also above failureRateFactor times the pool's median.
	failureRateThreshold = 0.3
	failureRateFactor    = 2
	// defaultDecay is the weight of the previous value in the moving averages.
	defaultDecay = 0.8
	// maxDoublings limits the backoff between two probes to 2^maxDoublings times
	// its initial value.
	maxDoublings = 5
	// staleAfter is how long after its last sample an upstream is left out of the
	// pool's medians.
	staleAfter = 30 * time.Second
	// leftTime is how long the state of an upstream that left the pool is kept.
	leftTime = time.Minute
)

// weights are the steps from full weight to ejected.
var weights = [...]float64{1, 0.5, 0.2, 0}

// Ejector implements kingcuphook.Ejector. Its fields must not be changed after
// its first use.
type Ejector struct {
	// MaxShare limits the share of the pool that is ejected at the same time; 0
	// means 0.34.
	MaxShare float64
	// SlowFactor is the multiple of the pool's median time between tokens above which
	// an upstream is an outlier; 0 means 1.8.
	SlowFactor float64
	// ProbeEvery is the time between two probes of an ejected upstream; it doubles
	// with every probe until an attempt succeeds. 0 means 1 s.
	ProbeEvery time.Duration
	// MinStepTime is the minimum time between two changes of an upstream's weight; 0 means
	// 2 s. An ejection after consecutive failures doesn't wait for it.
	MinStepTime time.Duration
	// Decay is the weight of the previous value in the moving averages, between 0
	// and 1; 0 means 0.8. Pools whose upstreams normally answer some
	// requests with errors need a higher value than the default.
	Decay float64

	// pool is the last revision of the pool; nil before the first.
	pool      *kingcuphook.Pool
	upstreams map[string]*upstream
	// left holds the upstreams that left the pool and may return, by address.
	left map[string]*upstream
	// tokenGaps and failureRates are buffers that medians reuses.
	tokenGaps, failureRates []float64
}

var _ kingcuphook.Ejector = (*Ejector)(nil)

// upstream is the state of one upstream.
type upstream struct {
	program kingcuphook.Program
	// leftAt is when it last left the pool.
	leftAt time.Time
	// step is an index into weights.
	step int
	// changedAt is when step last changed.
	changedAt time.Time
	// tokenGap is the moving average of the time between tokens in seconds; 0 if
	// unknown.
	tokenGap float64
	// failureRate is the moving average of failed attempts, from 0 to 1.
	failureRate float64
	// consecutiveFailures is the number of failures without an error response since
	// the last success.
	consecutiveFailures int
	// samples is the number of attempts seen since the last change of step.
	samples int
	// lastSample is when the last attempt ended.
	lastSample time.Time
	// probedAt is when the upstream was last probed, probes is the number of probes
	// since its last successful attempt.
	probedAt time.Time
	probes   int
}

// Update sets the upstreams of the pool. Those that were in it before keep their
// state, also if they left it for leftTime at most, unless another program has their address.
func (e *Ejector) Update(now time.Time, p *kingcuphook.Pool) {
	change, ok := p.ChangeSince(e.pool)
	e.pool = p
	known := e.upstreams
	if ok {
		// Other upstreams keep their state in place; known has what is removed and perhaps added again.
		known = make(map[string]*upstream, len(change.Removed))
		for _, u := range change.Removed {
			known[u.Address()] = e.upstreams[u.Address()]
			delete(e.upstreams, u.Address())
		}
		e.add(now, change.Added, known)
	} else {
		e.upstreams = make(map[string]*upstream, len(p.Upstreams()))
		e.add(now, p.Upstreams(), known)
	}
	e.keepLeft(now, known)
}

// add adds upstreams. Those at the address of a known one, or of one that left, take its state.
func (e *Ejector) add(now time.Time, added []*kingcuphook.Upstream, known map[string]*upstream) {
	var returned []*kingcuphook.Upstream
	for _, u := range added {
		state := known[u.Address()]
		if state == nil && e.left[u.Address()] != nil {
			returned = append(returned, u)
			continue
		}
		if state == nil {
			state = &upstream{changedAt: now}
		}
		state.program = u.Program()
		e.upstreams[u.Address()] = state
	}
	for _, u := range returned {
		e.upstreams[u.Address()] = e.takeLeft(now, u)
	}
	for _, u := range returned {
		e.limitShare(e.upstreams[u.Address()])
	}
}

// takeLeft returns the state of an upstream that has returned. It is soon probed if it is ejected.
func (e *Ejector) takeLeft(now time.Time, u *kingcuphook.Upstream) *upstream {
	state := e.left[u.Address()]
	delete(e.left, u.Address())
	if state.program != u.Program() || now.Sub(state.leftAt) > leftTime {
		return &upstream{changedAt: now, program: u.Program()}
	}
	state.probes = 0
	return state
}

// limitShare gives an ejected upstream the lowest weight above 0 if it is ejected beyond the limit of MaxShare.
func (e *Ejector) limitShare(u *upstream) {
	if weights[u.step] > 0 {
		return
	}
	u.step--
	if e.canEject() {
		u.step++
	}
}

// keepLeft keeps the state of those of the known upstreams that have left, for leftTime.
func (e *Ejector) keepLeft(now time.Time, known map[string]*upstream) {
	if e.left == nil {
		e.left = make(map[string]*upstream)
	}
	for address, u := range known {
		if e.upstreams[address] == nil {
			u.leftAt = now
			e.left[address] = u
		}
	}
	maps.DeleteFunc(e.left, func(_ string, u *upstream) bool { return now.Sub(u.leftAt) > leftTime })
}

// Finished records the result of an attempt and adjusts the weight of its upstream.
// It ignores attempts that were cancelled before their first token.
func (e *Ejector) Finished(now time.Time, address string, s kingcuphook.Sample) {
	u := e.upstreams[address]
	if u == nil || s.Cancelled && s.Tokens == 0 {
		return
	}
	u.record(now, s, cmp.Or(e.Decay, defaultDecay))
	e.adjust(now, u)
}

func (u *upstream) record(now time.Time, s kingcuphook.Sample, decay float64) {
	u.lastSample = now
	u.samples++
	failed := 0.0
	if s.Failed {
		failed = 1
		if !s.Answered {
			u.consecutiveFailures++
		}
	} else {
		u.consecutiveFailures = 0
		u.probes = 0
	}
	u.failureRate = decay*u.failureRate + (1-decay)*failed
	gap := s.TokenGap.Seconds()
	switch {
	case gap == 0:
	case u.tokenGap == 0:
		u.tokenGap = gap
	default:
		u.tokenGap = decay*u.tokenGap + (1-decay)*gap
	}
}

// adjust ejects the upstream after consecutive failures, and otherwise changes its
// weight by at most one step.
func (e *Ejector) adjust(now time.Time, u *upstream) {
	if u.consecutiveFailures >= ejectAfterFailures {
		e.setStep(now, u, len(weights)-1)
		return
	}
	minStepTime := e.MinStepTime
	if minStepTime == 0 {
		minStepTime = defaultMinStepTime
	}
	if now.Sub(u.changedAt) < minStepTime {
		return
	}
	outlier := e.isOutlier(now, u)
	if outlier && u.samples >= minSamples {
		e.setStep(now, u, u.step+1)
	}
	if !outlier && u.step > 0 {
		e.setStep(now, u, u.step-1)
	}
}

// isOutlier reports whether the upstream is an outlier compared with the medians of its
// pool.
func (e *Ejector) isOutlier(now time.Time, u *upstream) bool {
	tokenGap, failureRate := e.medians(now)
	slowFactor := e.SlowFactor
	if slowFactor == 0 {
		slowFactor = defaultSlowFactor
	}
	if tokenGap > 0 && u.tokenGap > slowFactor*tokenGap {
		return true
	}
	return u.failureRate > failureRateThreshold && u.failureRate > failureRateFactor*failureRate
}

// medians returns the medians of the time between tokens and of the failure rate
// over the upstreams of the pool that have recent samples.
func (e *Ejector) medians(now time.Time) (tokenGap, failureRate float64) {
	e.tokenGaps, e.failureRates = e.tokenGaps[:0], e.failureRates[:0]
	for _, u := range e.upstreams {
		if u.lastSample.IsZero() || now.Sub(u.lastSample) > staleAfter {
			continue
		}
		e.failureRates = append(e.failureRates, u.failureRate)
		if u.tokenGap > 0 {
			e.tokenGaps = append(e.tokenGaps, u.tokenGap)
		}
	}
	return median(e.tokenGaps), median(e.failureRates)
}

func median(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[(len(x)-1)/2]
}

// setStep sets the step of the upstream. An upstream that would be ejected beyond the
// limit of MaxShare gets the lowest weight above 0 instead.
func (e *Ejector) setStep(now time.Time, u *upstream, step int) {
	step = min(step, len(weights)-1)
	if step > u.step && weights[step] == 0 && !e.canEject() {
		step = len(weights) - 2
	}
	if step == u.step {
		return
	}
	u.step = step
	u.changedAt = now
	u.samples = 0
}

// canEject reports whether one more upstream may be ejected within MaxShare.
func (e *Ejector) canEject() bool {
	maxShare := e.MaxShare
	if maxShare == 0 {
		maxShare = defaultMaxShare
	}
	ejected := 0
	for _, u := range e.upstreams {
		if weights[u.step] == 0 {
			ejected++
		}
	}
	return float64(ejected+1) <= maxShare*float64(len(e.upstreams))
}

// Weight returns the share of its normal load that the upstream gets now, from
// 0 (ejected) to 1. An unknown upstream has weight 1.
func (e *Ejector) Weight(_ time.Time, address string) float64 {
	u := e.upstreams[address]
	if u == nil {
		return 1
	}
	return weights[u.step]
}

// Probe reports whether the next request may be used to probe an ejected
// upstream, and counts it as a probe.
func (e *Ejector) Probe(now time.Time, address string) bool {
	u := e.upstreams[address]
	if u == nil || weights[u.step] > 0 {
		return false
	}
	every := e.ProbeEvery
	if every == 0 {
		every = defaultProbeEvery
	}
	every <<= min(u.probes, maxDoublings)
	if now.Sub(later(u.probedAt, u.changedAt)) < every {
		return false
	}
	u.probedAt = now
	u.probes++
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
