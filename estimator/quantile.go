package estimator

import "math"

const (
	// initialStep and minStep are the first and the smallest step of a quantile
	// estimate, as logarithms: a few samples correct a prior that is far off, many of
	// them settle the estimate.
	initialStep = 0.5
	minStep     = 0.02
	// stepDecay is the factor by which each sample reduces the step.
	stepDecay = 0.93
)

// quantile estimates a quantile of positive samples of unknown scale.
type quantile struct {
	// level is the share of the samples that is below the quantile, 0 to 1.
	level float64
	// value is the estimate, step the logarithm of its next change.
	value, step float64
	// samples counts the samples added.
	samples int
}

func newQuantile(level, prior float64) quantile {
	return quantile{level: level, value: prior, step: initialStep}
}

// add takes a sample. One that is not positive counts as very small.
func (q *quantile) add(sample float64) {
	q.samples++
	if sample > q.value {
		q.value *= math.Exp(2 * q.step * q.level)
	} else {
		q.value *= math.Exp(-2 * q.step * (1 - q.level))
	}
	q.step = max(q.step*stepDecay, minStep)
}
