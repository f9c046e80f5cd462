// Package ejector takes upstreams out of use that are much slower or fail much
// more often than the rest of their pool, and lets them come back by steps.
package ejector

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Defaults of the fields of Ejector and bounds of its judgement.
const (
	defaultMaxShare = 0.34
	defaultSlow     = 1.8
	defaultProbe    = time.Second
	// defaultStep is how long an upstream keeps a weight at least.
	defaultStep = 2 * time.Second
	// minSamples is how many attempts a judgement needs.
	minSamples = 5
	// failureStreak is how many failures in a row eject at once.
	failureStreak = 3
	// failureShare is the smoothed share of failures that counts as broken, if
	// it is also failureFactor times the pool's median.
	failureShare  = 0.3
	failureFactor = 2
	// defaultKeep is the weight of the earlier value at each new sample.
	defaultKeep = 0.8
	// maxDoublings bounds how often the time between two probes is doubled.
	maxDoublings = 5
	// silence is how long without a sample until the figures count no more.
	silence = 30 * time.Second
)

// weights are the steps between full work and none, index 0 is full.
var weights = [...]float64{1, 0.5, 0.2, 0}

// Ejector implements kingcuphook.Ejector. Its fields must not be changed after
// its first use.
type Ejector struct {
	// MaxShare bounds the share of the pool that is ejected at once; 0 means
	// the default.
	MaxShare float64
	// Slow is how many times the pool's median time between tokens an upstream
	// may take; 0 means the default.
	Slow float64
	// ProbeEvery is the time between two probes of an ejected upstream; it doubles
	// with every probe until one goes well. 0 means the default.
	ProbeEvery time.Duration
	// Step is how long an upstream keeps a weight at least; 0 means the default.
	Step time.Duration
	// Keep is the weight of the earlier value at each new sample; 0 means the
	// default. Upstreams that answer some calls with errors as a matter of course
	// need more than that.
	Keep float64

	upstreams map[string]*upstream
	// gaps and failures are used again by every judgement.
	gaps, failures []float64
}

var _ kingcuphook.Ejector = (*Ejector)(nil)

// upstream is what is known of one upstream.
type upstream struct {
	// step is an index of weights.
	step int
	// changed is when step last changed.
	changed time.Time
	// gap is the smoothed time between tokens in seconds; 0 if unknown.
	gap float64
	// failure is the smoothed share of failed attempts.
	failure float64
	// streak is the number of failures since the last success.
	streak int
	// samples is the number of attempts seen since the last change of step.
	samples int
	// last is when the last attempt ended.
	last time.Time
	// probed is when the upstream was last probed, probes how often since its
	// last attempt that went well.
	probed time.Time
	probes int
}

// Update takes the pool in force.
func (e *Ejector) Update(now time.Time, p *kingcuphook.Pool) {
	known := e.upstreams
	e.upstreams = make(map[string]*upstream, len(p.Upstreams()))
	for _, u := range p.Upstreams() {
		state := known[u.Address()]
		if state == nil {
			state = &upstream{changed: now}
		}
		e.upstreams[u.Address()] = state
	}
}

// Finished learns how an attempt ended and judges its upstream.
func (e *Ejector) Finished(now time.Time, address string, s kingcuphook.Sample) {
	u := e.upstreams[address]
	if u == nil || s.Cancelled && s.Tokens == 0 {
		return
	}
	u.learn(now, s, cmp.Or(e.Keep, defaultKeep))
	e.judge(now, u)
}

func (u *upstream) learn(now time.Time, s kingcuphook.Sample, keep float64) {
	u.last = now
	u.samples++
	failed := 0.0
	if s.Failed {
		failed = 1
		if !s.Answered {
			u.streak++
		}
	} else {
		u.streak = 0
		u.probes = 0
	}
	u.failure = keep*u.failure + (1-keep)*failed
	gap := s.TokenGap.Seconds()
	switch {
	case gap == 0:
	case u.gap == 0:
		u.gap = gap
	default:
		u.gap = keep*u.gap + (1-keep)*gap
	}
}

// judge moves the upstream by one step if its figures ask for it.
func (e *Ejector) judge(now time.Time, u *upstream) {
	if u.streak >= failureStreak {
		e.move(now, u, len(weights)-1)
		return
	}
	step := e.Step
	if step == 0 {
		step = defaultStep
	}
	if now.Sub(u.changed) < step {
		return
	}
	bad := e.bad(now, u)
	if bad && u.samples >= minSamples {
		e.move(now, u, u.step+1)
	}
	if !bad && u.step > 0 {
		e.move(now, u, u.step-1)
	}
}

// bad reports whether the upstream is far off the median of its pool.
func (e *Ejector) bad(now time.Time, u *upstream) bool {
	gap, failure := e.medians(now)
	slow := e.Slow
	if slow == 0 {
		slow = defaultSlow
	}
	if gap > 0 && u.gap > slow*gap {
		return true
	}
	return u.failure > failureShare && u.failure > failureFactor*failure
}

// medians returns the medians of the pool's figures.
func (e *Ejector) medians(now time.Time) (gap, failure float64) {
	e.gaps, e.failures = e.gaps[:0], e.failures[:0]
	for _, u := range e.upstreams {
		if u.last.IsZero() || now.Sub(u.last) > silence {
			continue
		}
		e.failures = append(e.failures, u.failure)
		if u.gap > 0 {
			e.gaps = append(e.gaps, u.gap)
		}
	}
	return median(e.gaps), median(e.failures)
}

func median(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[(len(x)-1)/2]
}

// move sets the step unless too much of the pool would be ejected.
func (e *Ejector) move(now time.Time, u *upstream, step int) {
	step = min(step, len(weights)-1)
	if step > u.step && weights[step] == 0 && !e.room() {
		step = len(weights) - 2
	}
	if step == u.step {
		return
	}
	u.step = step
	u.changed = now
	u.samples = 0
}

// room reports whether one more upstream may be ejected.
func (e *Ejector) room() bool {
	share := e.MaxShare
	if share == 0 {
		share = defaultMaxShare
	}
	ejected := 0
	for _, u := range e.upstreams {
		if weights[u.step] == 0 {
			ejected++
		}
	}
	return float64(ejected+1) <= share*float64(len(e.upstreams))
}

// Weight returns the share of its normal work that the upstream gets now, from
// 0 (ejected) to 1. An unknown upstream gets all of it.
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
		every = defaultProbe
	}
	every <<= min(u.probes, maxDoublings)
	if now.Sub(later(u.probed, u.changed)) < every {
		return false
	}
	u.probed = now
	u.probes++
	return true
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
