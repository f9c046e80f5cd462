package throttler

import (
	"math"
	"time"
)

const (
	minWindow = 5 * time.Second
	maxWindow = 2 * time.Minute
	// windowEvents is how many requests at the rate of the limit the window of a
	// meter spans, so that low rates are measured over a longer time.
	windowEvents = 20
)

// meter measures events a second over a window that fades exponentially.
type meter struct {
	window time.Duration
	count  float64
	// first and last are when the first and the last event came.
	first, last time.Time
}

func (m *meter) add(now time.Time) {
	if m.first.IsZero() {
		m.first = now
	}
	m.count = m.faded(now) + 1
	m.last = now
}

// rate returns the events a second. While the meter is younger than its window,
// the time since the first event is taken in its place.
func (m *meter) rate(now time.Time) float64 {
	if m.first.IsZero() {
		return 0
	}
	w := m.window.Seconds()
	age := now.Sub(m.first).Seconds()
	span := w * -math.Expm1(-max(age, minWindow.Seconds())/w)
	return m.faded(now) / span
}

func (m *meter) faded(now time.Time) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.count * math.Exp(-now.Sub(m.last).Seconds()/m.window.Seconds())
}

func windowOf(perSecond float64) time.Duration {
	w := time.Duration(windowEvents / perSecond * float64(time.Second))
	return min(max(w, minWindow), maxWindow)
}
