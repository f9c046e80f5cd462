package selector

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Model of an upstream before anything is known of it.
const (
	// defaultFirstToken is the time to the first token of a cached prompt.
	defaultFirstToken = 40 * time.Millisecond
	// defaultTokenTime is the time to prefill one token.
	defaultTokenTime = 100 * time.Microsecond
	// minTokenTime bounds the learned time to prefill one token.
	minTokenTime = time.Microsecond
	// sampleDecay is the weight that the earlier samples keep at a new one.
	sampleDecay = 0.95
	// priorWeight is the number of samples that the defaults count for.
	priorWeight = 4
	// priorTokens is the prefill length around which the prior is spread.
	priorTokens = 1000
	// maxSent bounds the dispatches remembered after the last report.
	maxSent = 64
)

// sent is one dispatch of this router.
type sent struct {
	at     time.Time
	tokens int
}

// tracker is what a router knows of one upstream.
type tracker struct {
	upstream *kingcuphook.Upstream
	// id stands for the upstream in the prefix index; it may be used again
	// after the upstream has left, with a higher epoch.
	id uint32
	// seed is the hash of the address.
	seed uint64
	// epoch rises whenever the entries of the prefix index become doubtful.
	epoch uint32
	// born is the epoch at which id was given to this upstream.
	born uint32
	// sequence is that of the last cache event; 0 if none came.
	sequence int64
	// slots is the capacity hint, at least 1.
	slots int
	// own is the number of requests of this router on the upstream.
	own int
	// reported is the last report; others is how much of it was not ours.
	reported time.Time
	others   int
	leaving  bool
	// backlog is the number of prompt tokens waiting for prefill at drained.
	backlog float64
	drained time.Time
	// recent are the dispatches that a late report may not know of.
	recent []sent
	// flying has the prompt tokens in front of the first token of each running
	// request of this router when it was dispatched, by request.
	flying map[string]float64
	fit    fit
}

func newTracker(u *kingcuphook.Upstream, id, epoch uint32, seed uint64) *tracker {
	t := &tracker{upstream: u, id: id, epoch: epoch, born: epoch, seed: seed, slots: 1}
	t.recent = make([]sent, 0, maxSent)
	t.flying = make(map[string]float64)
	t.fit.reset()
	t.take(u)
	return t
}

// take follows a changed row of the pool.
func (t *tracker) take(u *kingcuphook.Upstream) {
	t.upstream = u
	t.slots = max(u.Slots(), 1)
}

// load returns the estimated number of requests on the upstream.
func (t *tracker) load() int { return t.own + t.others }

// waiting returns the prompt tokens still to be prefilled at now.
func (t *tracker) waiting(now time.Time) float64 {
	done := now.Sub(t.drained).Seconds() / t.fit.slope
	return max(t.backlog-done, 0)
}

// predict returns the time to the first token of a prompt with the given
// number of tokens to prefill.
func (t *tracker) predict(now time.Time, tokens int) time.Duration {
	seconds := t.fit.base + t.fit.slope*(t.waiting(now)+float64(tokens))
	return time.Duration(seconds * float64(time.Second))
}

func (t *tracker) started(now time.Time, id string, tokens int) {
	t.own++
	t.backlog = t.waiting(now) + float64(tokens)
	t.drained = now
	t.flying[id] = t.backlog
	if len(t.recent) == maxSent {
		t.recent = append(t.recent[:0], t.recent[1:]...)
	}
	t.recent = append(t.recent, sent{at: now, tokens: tokens})
}

func (t *tracker) finished(id string, s kingcuphook.Sample) {
	t.own = max(t.own-1, 0)
	tokens, ok := t.flying[id]
	delete(t.flying, id)
	if ok && s.FirstToken > 0 {
		t.fit.add(tokens, s.FirstToken.Seconds())
	}
}

// report replaces the estimate by the upstream's own figures and adds what this
// router has sent since they were made.
func (t *tracker) report(now time.Time, l kingcuphook.LoadReport) {
	if !l.Made().After(t.reported) {
		return
	}
	t.reported = l.Made()
	t.leaving = l.Leaving()
	t.forget(l.Made())
	t.others = max(l.Running()+l.Queued()-(t.own-len(t.recent)), 0)
	t.backlog = float64(l.QueuedTokens())
	t.drained = l.Made()
	for _, d := range t.recent {
		t.backlog = t.waiting(d.at) + float64(d.tokens)
		t.drained = d.at
	}
	t.backlog = t.waiting(now)
	t.drained = now
}

// forget drops the dispatches made until the given time.
func (t *tracker) forget(until time.Time) {
	n := 0
	for n < len(t.recent) && !t.recent[n].at.After(until) {
		n++
	}
	t.recent = append(t.recent[:0], t.recent[n:]...)
}

// fit is a straight line through weighted samples: seconds to the first token
// over tokens prefilled.
type fit struct {
	weight, sumX, sumY, sumXX, sumXY float64
	// base is in seconds, slope in seconds for one token; both above 0.
	base, slope float64
}

// reset starts from the default line.
func (f *fit) reset() {
	*f = fit{}
	base, slope := defaultFirstToken.Seconds(), defaultTokenTime.Seconds()
	for _, x := range []float64{0, 2 * priorTokens} {
		f.sum(x, base+slope*x, priorWeight/2)
	}
	f.solve()
}

func (f *fit) add(x, y float64) {
	f.weight *= sampleDecay
	f.sumX *= sampleDecay
	f.sumY *= sampleDecay
	f.sumXX *= sampleDecay
	f.sumXY *= sampleDecay
	f.sum(x, y, 1)
	f.solve()
}

func (f *fit) sum(x, y, weight float64) {
	f.weight += weight
	f.sumX += weight * x
	f.sumY += weight * y
	f.sumXX += weight * x * x
	f.sumXY += weight * x * y
}

func (f *fit) solve() {
	spread := f.weight*f.sumXX - f.sumX*f.sumX
	if spread > f.weight*f.weight {
		f.slope = (f.weight*f.sumXY - f.sumX*f.sumY) / spread
	}
	f.slope = max(f.slope, minTokenTime.Seconds())
	f.base = max((f.sumY-f.slope*f.sumX)/f.weight, minTokenTime.Seconds())
}
