package estimator

const (
	// slopeSamples is the number of samples of an upstream from which its deviations count.
	slopeSamples = 8
	// slopeKept is the factor by which each sample reduces the weight of the earlier ones.
	slopeKept = 0.999
	// slopePrior is the weight of the prior, a slope of 0, in squared streams.
	slopePrior = 100
	// maxSlope bounds the slope, and maxSlopeDeviation the deviations of the logarithm of a
	// gap: a larger one is a change of the speed.
	maxSlope          = 0.05
	maxSlopeDeviation = 0.4
)

// LoadSlope learns by how much the logarithm of the gap between events grows with each stream
// beside it. Each upstream is compared with itself only, because the fast ones have more
// streams. Its zero value is ready for use.
type LoadSlope struct {
	xx, xy float64
}

// LoadMeans holds the averages of one upstream for LoadSlope. Its zero value is ready for use.
type LoadMeans struct {
	streams, gap mean
}

// Observe records the logarithm of a gap and the number of streams at that time.
func (s *LoadSlope) Observe(m *LoadMeans, streams, gap float64) {
	dx, dy := streams-m.streams.value, gap-m.gap.value
	m.streams.add(streams)
	m.gap.add(gap)
	if m.gap.samples <= slopeSamples {
		return
	}
	dy = min(max(dy, -maxSlopeDeviation), maxSlopeDeviation)
	s.xx = s.xx*slopeKept + dx*dx
	s.xy = s.xy*slopeKept + dx*dy
}

// Value returns the slope.
func (s *LoadSlope) Value() float64 {
	return min(max(s.xy/(s.xx+slopePrior), 0), maxSlope)
}
