package claimer

import "time"

// burst is the number of writes of a shard that may follow each other after a
// rest.
const burst = 3

// moveCost is what a write that follows a conflict takes out of the credit, so
// that conflicts do not add to the rate of writes without bound.
const moveCost = 0.5

// pacer spaces the writes of a shard. Under load they come at a fixed period, so
// that routers whose writes do not meet once do not meet later either.
type pacer struct {
	interval time.Duration
	// credit is the number of writes allowed at once as of last; from -moveCost to
	// burst.
	credit float64
	// last is when credit was brought up to date; zero before the first write.
	last time.Time
}

// wait returns how long to wait before the next write.
func (p *pacer) wait(now time.Time) time.Duration {
	credit := p.at(now)
	if credit >= 1 {
		return 0
	}
	return time.Duration((1 - credit) * float64(p.interval))
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
	return min(p.credit+float64(now.Sub(p.last))/float64(p.interval), burst)
}
