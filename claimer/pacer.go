package claimer

import "time"

// burst is the maximum credit: the number of writes of a shard that may follow
// each other at once after an idle period.
const burst = 3

// conflictDebt is the negative credit set by a write that follows a conflict, so
// that conflicts do not increase the rate of writes without bound.
const conflictDebt = 0.5

const (
	// minConflictWait is the lower bound of the longest wait after a conflict.
	minConflictWait = 20 * time.Millisecond
	// periodFactor is the ratio of the period to the mean write time for a slow
	// store.
	periodFactor = 8
	// maxPeriod bounds the period for a slow store.
	maxPeriod = time.Second
	// smoothing is the weight of the newest write in the mean write time.
	smoothing = 0.2
)

// pacer limits the rate of the writes of a shard with a token bucket. Under load,
// writes have a fixed period, so that routers whose writes do not collide once do
// not collide later either. The slower the store, the longer the period, since
// longer writes collide with more others.
type pacer struct {
	// interval is the shortest period.
	interval time.Duration

	// writeTime is the moving average of the duration of a write.
	writeTime time.Duration
	// credit is the number of writes allowed at once as of last, from -conflictDebt
	// to burst.
	credit float64
	// last is when credit was last updated; zero before the first write.
	last time.Time
}

// period returns the time between two writes under load.
func (p *pacer) period() time.Duration {
	return max(p.interval, min(periodFactor*p.writeTime, maxPeriod))
}

// conflictWait returns the longest wait after a conflict.
func (p *pacer) conflictWait() time.Duration {
	return max(minConflictWait, periodFactor*p.writeTime/2)
}

// observe adds the duration of a write to the moving average.
func (p *pacer) observe(took time.Duration) {
	if p.writeTime == 0 {
		p.writeTime = took
	}
	p.writeTime += time.Duration(smoothing * float64(took-p.writeTime))
}

// wait returns how long to wait before the next write.
func (p *pacer) wait(now time.Time) time.Duration {
	credit := p.creditAt(now)
	if credit >= 1 {
		return 0
	}
	return time.Duration((1 - credit) * float64(p.period()))
}

// wrote takes one write from the credit.
func (p *pacer) wrote(now time.Time) {
	p.credit = max(p.creditAt(now)-1, 0)
	p.last = now
}

// wroteAfterConflict starts a new period at a write that follows a conflict.
func (p *pacer) wroteAfterConflict(now time.Time) {
	p.credit = -conflictDebt
	p.last = now
}

func (p *pacer) creditAt(now time.Time) float64 {
	if p.last.IsZero() {
		return burst
	}
	return min(p.credit+float64(now.Sub(p.last))/float64(p.period()), burst)
}
