package autoscaler

import (
	"math"
	"time"
)

const (
	// peakTime and meanTime are the times over which a short peak and the sustained demand are averaged.
	peakTime = time.Second
	meanTime = 30 * time.Second
	// fewSamplesTime is the least time that a sustained demand is averaged over, so that the first
	// requests after a start don't count as sustained.
	fewSamplesTime = 10 * time.Second
	// peakHeadroom is the need relative to a short peak, burstHeadroom that relative to the sustained
	// demand: one class of several may rise to three times its load before new upstreams serve.
	peakHeadroom  = 1.3
	burstHeadroom = 1.75
	// backlogShare is the mean prefill work of an upstream relative to the shortest target. Work counts until
	// the first event arrives, and the learned time of a token has the waits of others in it, so that the
	// work that is left is about a quarter of it.
	backlogShare = 2.0
	// usedShare is the share of the slots that may be used on average, tightShare that in a pool with a target
	// below tightTarget: each stream makes the events of the others slower long before slots are short.
	usedShare   = 0.7
	tightShare  = 0.4
	tightTarget = 500 * time.Millisecond
	// assumedTarget is the target of a pool whose routes declare none.
	assumedTarget = time.Second
	// maxSampleGap is the longest time between two samples of continuous observation.
	maxSampleGap = 3 * time.Second
	// shrinkFrom is the need, relative to the one in force, from which it is lowered, shrinkStep the
	// most by which it is lowered at once, which bounds the effect of a wrong estimate.
	shrinkFrom = 0.9
	shrinkStep = 0.75
)

// demand keeps the demand of the last minute, in upstreams that are fully used.
type demand struct {
	samples []sample
	// since is when continuous observation began; zero before the first demand.
	since time.Time
	// needs has the recent needs.
	needs []sample
}

type sample struct {
	at    time.Time
	value float64
}

// add adds a sample. Samples without any demand don't count: a pool whose traffic hasn't begun keeps its size.
// Those that lack a part of the demand raise the need, but don't count as observation.
func (d *demand) add(now time.Time, value float64, isWhole bool) {
	if value <= 0 && d.since.IsZero() {
		return
	}
	if n := len(d.samples); n == 0 || now.Sub(d.samples[n-1].at) > maxSampleGap {
		d.since = now
		d.samples = d.samples[:0]
	}
	if !isWhole {
		d.since = now
	}
	d.samples = append(expire(d.samples, now.Add(-meanTime)), sample{now, value})
	need := max(peakHeadroom*d.peak(now), burstHeadroom*d.mean(now))
	d.needs = append(expire(d.needs, now.Add(-shrinkDelay)), sample{now, need})
}

// expire removes the samples before a time.
func expire(s []sample, before time.Time) []sample {
	i := 0
	for i < len(s) && s[i].at.Before(before) {
		i++
	}
	return append(s[:0], s[i:]...)
}

// peak returns the mean of the samples of the last peakTime.
func (d *demand) peak(now time.Time) float64 {
	sum, n := 0.0, 0
	for _, s := range d.samples {
		if now.Sub(s.at) < peakTime {
			sum += s.value
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// mean returns the mean of the samples of the last meanTime.
func (d *demand) mean(now time.Time) float64 {
	sum := 0.0
	for _, s := range d.samples {
		sum += s.value
	}
	observed := now.Sub(d.samples[0].at)
	return sum / float64(len(d.samples)) * min(1, observed.Seconds()/fewSamplesTime.Seconds())
}

// need returns the largest need of the last minute.
func (d *demand) need() int {
	largest := 0.0
	for _, s := range d.needs {
		largest = max(largest, s.value)
	}
	return int(math.Ceil(largest))
}

// isComplete reports whether the demand of a whole minute up to now is known.
func (d *demand) isComplete(now time.Time) bool {
	n := len(d.samples)
	return n > 0 && now.Sub(d.samples[n-1].at) <= maxSampleGap && now.Sub(d.since) >= shrinkDelay
}

// level is the need in force: it rises at once and falls slowly.
type level struct {
	need int
	// changedAt is when it last changed.
	changedAt time.Time
}

// setSizing raises the level to the size of the pool that the holder found.
func (l *level) setSizing(now time.Time, n int) {
	if n > l.need {
		l.need, l.changedAt = n, now
	}
}

// update reports whether the level has changed.
func (l *level) update(now time.Time, d *demand, most int) bool {
	need := min(d.need(), most)
	isLower := float64(need) <= shrinkFrom*float64(l.need)
	switch {
	case need > l.need:
		l.need = need
	case isLower && d.isComplete(now) && now.Sub(l.changedAt) >= shrinkDelay:
		l.need = max(need, int(math.Ceil(shrinkStep*float64(l.need))))
	default:
		return false
	}
	l.changedAt = now
	return true
}
