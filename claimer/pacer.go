package claimer

import "time"

// burst is the number of writes of a shard that may follow each other after a
// rest.
const burst = 3

// moveCost is what a write that follows a conflict takes out of the credit, so
// that conflicts do not add to the rate of writes without bound.
const moveCost = 0.5

const (
	// leastConflictWait bounds the wait after a conflict from below.
	leastConflictWait = 20 * time.Millisecond
	// spacing is the period of a slow store, in times of a write.
	spacing = 8
	// mostPeriod bounds the period of a slow store.
	mostPeriod = time.Second
	// smoothing is the weight of the newest write in the mean time of a write.
	smoothing = 0.2
)

// pacer spaces the writes of a shard. Under load they come at a fixed period, so
// that routers whose writes do not meet once do not meet later either. The
// slower the store, the longer the period: a write that takes longer meets more
// others.
type pacer struct {
	// interval is the shortest period.
	interval time.Duration

	// took is the mean time of a write.
	took time.Duration
	// credit is the number of writes allowed at once as of last; from -moveCost to
	// burst.
	credit float64
	// last is when credit was brought up to date; zero before the first write.
	last time.Time
}

// period returns the time between two writes under load.
func (p *pacer) period() time.Duration {
	return max(p.interval, min(spacing*p.took, mostPeriod))
}

// conflictWait returns the longest wait after a conflict.
func (p *pacer) conflictWait() time.Duration {
	return max(leastConflictWait, spacing*p.took/2)
}

// observe learns the time that a write took.
func (p *pacer) observe(took time.Duration) {
	if p.took == 0 {
		p.took = took
	}
	p.took += time.Duration(smoothing * float64(took-p.took))
}

// wait returns how long to wait before the next write.
func (p *pacer) wait(now time.Time) time.Duration {
	credit := p.at(now)
	if credit >= 1 {
		return 0
	}
	return time.Duration((1 - credit) * float64(p.period()))
}

// wrote takes a write out of the credit.
func (p *pacer) wrote(now time.Time) {
	p.credit = max(p.at(now)-1, 0)
	p.last = now
}

// moved starts a new period at a write that follows a conflict.
func (p *pacer) moved(now time.Time) {
	p.credit = -moveCost
	p.last = now
}

func (p *pacer) at(now time.Time) float64 {
	if p.last.IsZero() {
		return burst
	}
	return min(p.credit+float64(now.Sub(p.last))/float64(p.period()), burst)
}
