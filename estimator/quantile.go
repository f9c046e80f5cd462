package estimator

import "math"

const (
	// stepFirst and stepLast are the first and the smallest move of a quantile, as
	// logarithms: a few samples cover a wide prior, many of them settle it.
	stepFirst = 0.5
	stepLast  = 0.02
	// stepDecay is the part of the move that is left after each sample.
	stepDecay = 0.93
)

// quantile follows a quantile of positive samples whose scale is not known.
type quantile struct {
	// share is the part of the samples that is below the quantile, 0 to 1.
	share float64
	// value is the estimate, step the size of its next move.
	value, step float64
	// samples counts what was added.
	samples int
}

func newQuantile(share, prior float64) quantile {
	return quantile{share: share, value: prior, step: stepFirst}
}

// add takes a sample; one that is not positive counts as very small.
func (q *quantile) add(sample float64) {
	q.samples++
	if sample > q.value {
		q.value *= math.Exp(2 * q.step * q.share)
	} else {
		q.value *= math.Exp(-2 * q.step * (1 - q.share))
	}
	q.step = max(q.step*stepDecay, stepLast)
}
