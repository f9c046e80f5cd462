package throttler

import (
	"math"
	"time"
)

const (
	minWindow = 5 * time.Second
	maxWindow = 2 * time.Minute
	// windowEvents is the number of requests at the rate of the limit that the
	// window of a meter spans, so that low rates are measured over a longer time.
	windowEvents = 20
)

// meter measures events per second with exponential decay. Its window is the time
// constant.
type meter struct {
	window time.Duration
	count  float64
	// first and last are the times of the first and the last event.
	first, last time.Time
}

func (m *meter) add(now time.Time) {
	if m.first.IsZero() {
		m.first = now
	}
	m.count = m.decayed(now) + 1
	m.last = now
}

// rate returns the events per second. It corrects for the decay having started
// only with the first event, of which the age counts as at least minWindow.
func (m *meter) rate(now time.Time) float64 {
	if m.first.IsZero() {
		return 0
	}
	w := m.window.Seconds()
	age := now.Sub(m.first).Seconds()
	span := w * -math.Expm1(-max(age, minWindow.Seconds())/w)
	return m.decayed(now) / span
}

func (m *meter) decayed(now time.Time) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.count * math.Exp(-now.Sub(m.last).Seconds()/m.window.Seconds())
}

func windowFor(perSecond float64) time.Duration {
	w := time.Duration(windowEvents / perSecond * float64(time.Second))
	return min(max(w, minWindow), maxWindow)
}
