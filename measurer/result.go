package measurer

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// result is what one run of one policy gave.
type result struct {
	// arrived, attained and whole count requests by class.
	arrived, attained, whole []int
	// goodput is attained requests a second over the horizon.
	goodput float64
	// wasted is the share of engine time spent on what no caller could use.
	wasted float64
	// hit is the share of prompt tokens found cached at the first attempt.
	hit float64
	// crossBytes counts bytes moved between regions.
	crossBytes int
	// late and slow are the shares of the highest tier's requests that missed the
	// target of the first token, and that kept it but missed that of the gaps.
	late, slow float64
	// shed, gone, failed and preempted count requests.
	shed, gone, failed, preempted int
	// wait is by class the longest time from arrival to the first token.
	wait []time.Duration
}

// tally sums up a finished run.
func (w *world) tally() result {
	n := len(w.f.Classes)
	r := result{
		arrived: make([]int, n), attained: make([]int, n), whole: make([]int, n), wait: make([]time.Duration, n),
		crossBytes: w.crossBytes,
	}
	var all, wasted time.Duration
	hit, prompt, attained := 0, 0, 0
	top, late, slow := 0, 0, 0
	for _, j := range w.all {
		r.arrived[j.class]++
		r.count(j)
		if j.attained() {
			r.attained[j.class]++
			attained++
		}
		if j.request.Tier() == kingcuphook.HighestTier {
			top++
			switch {
			case j.attained():
			case j.punctual():
				slow++
			default:
				late++
			}
		}
		work, lost := j.work()
		all += work
		wasted += lost
		hit += j.hit
		prompt += j.prompt
		r.preempted += j.preempted
		if j.first > 0 {
			r.wait[j.class] = max(r.wait[j.class], j.first-j.at)
		}
	}
	r.late, r.slow = share(float64(late), float64(top)), share(float64(slow), float64(top))
	r.goodput = float64(attained) / w.f.Horizon.std().Seconds()
	r.wasted = share(wasted.Seconds(), all.Seconds())
	r.hit = share(float64(hit), float64(prompt))
	return r
}

func (r *result) count(j *job) {
	switch j.state {
	case stateWhole:
		r.whole[j.class]++
	case stateShed:
		r.shed++
	case stateGone:
		r.gone++
	case stateFailed:
		r.failed++
	}
}

// share returns part of whole, 0 if there is no whole.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// attainment returns the share of a class that attained its targets; 1 if none
// arrived.
func (r *result) attainment(class int) float64 {
	if r.arrived[class] == 0 {
		return 1
	}
	return float64(r.attained[class]) / float64(r.arrived[class])
}

// served reports whether every class that had arrivals had whole answers.
func (r *result) served() bool {
	for i, n := range r.arrived {
		if n > 0 && r.whole[i] == 0 {
			return false
		}
	}
	return true
}
