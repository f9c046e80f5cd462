package measurer

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// result holds the figures of one run of one policy.
type result struct {
	// arrived, attained and completed count requests by class.
	arrived, attained, completed []int
	// goodput is the number of attained requests per second of the horizon.
	goodput float64
	// wasted is the share of engine time that contributed to no answer: all work of
	// requests that were shed, expired or failed and, of completed ones, the prefill
	// before the last attempt and the decoding of tokens that never reached the router.
	wasted float64
	// cachedShare is the share of cached tokens in all prompt tokens at the first
	// attempt.
	cachedShare float64
	// crossBytes counts the bytes sent between regions.
	crossBytes int
	// late is the share of the highest tier's requests that did not complete with the
	// first token within its target; slow is the share of those that did, but missed
	// the target of the time between tokens.
	late, slow float64
	// shed, expired and failed count requests, preempted counts preempted attempts.
	shed, expired, failed, preempted int
	// wait holds for each class the longest time from arrival to the first token.
	wait []time.Duration
}

// summarize computes the result of a finished run.
func (sim *simulation) summarize() result {
	n := len(sim.f.Classes)
	r := result{
		arrived: make([]int, n), attained: make([]int, n), completed: make([]int, n), wait: make([]time.Duration, n),
		crossBytes: sim.crossBytes,
	}
	var all, wasted time.Duration
	cached, prompt, attained := 0, 0, 0
	top, late, slow := 0, 0, 0
	for _, j := range sim.all {
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
			case j.metTarget():
				slow++
			default:
				late++
			}
		}
		work, lost := j.work()
		all += work
		wasted += lost
		cached += j.cachedTokens
		prompt += j.promptTokens
		r.preempted += j.preempted
		if j.firstTokenAt > 0 {
			r.wait[j.class] = max(r.wait[j.class], j.firstTokenAt-j.at)
		}
	}
	r.late, r.slow = ratio(float64(late), float64(top)), ratio(float64(slow), float64(top))
	r.goodput = float64(attained) / sim.f.Horizon.std().Seconds()
	r.wasted = ratio(wasted.Seconds(), all.Seconds())
	r.cachedShare = ratio(float64(cached), float64(prompt))
	return r
}

func (r *result) count(j *job) {
	switch j.state {
	case stateCompleted:
		r.completed[j.class]++
	case stateShed:
		r.shed++
	case stateExpired:
		r.expired++
	case stateFailed:
		r.failed++
	}
}

// ratio returns part divided by whole, or 0 if whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// attainment returns the share of a class's requests that attained their targets, or
// 1 if none arrived.
func (r *result) attainment(class int) float64 {
	if r.arrived[class] == 0 {
		return 1
	}
	return float64(r.attained[class]) / float64(r.arrived[class])
}

// served reports whether every class with arrivals had at least one complete answer.
func (r *result) served() bool {
	for i, n := range r.arrived {
		if n > 0 && r.completed[i] == 0 {
			return false
		}
	}
	return true
}
