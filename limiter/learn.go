package limiter

import (
	"math"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// shrinkFactor is applied to the limit when an upstream is overloaded.
	shrinkFactor = 0.9
	// shrinkPause is the least time between two such steps, so that one slow
	// moment counts once.
	shrinkPause = time.Second
	// queuedStep is the part of the way by which the limit follows the running
	// requests of an upstream that reports a queue.
	queuedStep = 0.25
	// slowFactor is how far above its usual value a delay counts as overload when
	// the request has no target.
	slowFactor = 2.5
	// targetShare is the part of the first-token target that an upstream may use
	// up.
	targetShare = 0.8
	// usualStep weighs a new sample in the usual delays.
	usualStep = 0.05
	// endedCount bounds the ended attempts remembered for late reports.
	endedCount = 512
)

// upstream is what is known of one upstream.
type upstream struct {
	// limit bounds the requests of all routers together; minLimit <= limit <= most.
	limit, most float64
	// running has when each request of this router was started.
	running map[string]time.Time
	// ended has the attempts that ended last.
	ended spanRing
	// lastUse is when a request was last started.
	lastUse time.Time
	// reportMade is when the last report was made; zero without one.
	reportMade time.Time
	// reportLoad is the load it told, ownAtReport the part of this router then.
	reportLoad, ownAtReport int
	// dither is added before shares of slots are rounded down, 0 <= dither < 1.
	dither float64
	// usualFirst and usualGap are the usual delays, in seconds.
	usualFirst, usualGap float64
	lastShrink           time.Time
}

// span is the time during which one attempt ran.
type span struct{ started, ended time.Time }

// spanRing has the latest spans, the oldest overwritten first.
type spanRing struct {
	spans []span
	next  int
}

func newUpstream() *upstream {
	return &upstream{limit: defaultSlots, most: maxLimit, running: make(map[string]time.Time)}
}

// setSlots takes the operator's hint: the limit starts there and never passes it.
func (u *upstream) setSlots(n int) {
	if n <= 0 {
		u.most = maxLimit
		return
	}
	if u.most != float64(n) {
		u.limit = float64(n)
	}
	u.most = float64(n)
}

// ownAt returns how many requests of this router ran at t.
func (u *upstream) ownAt(t time.Time) int {
	n := 0
	for _, started := range u.running {
		if !started.After(t) {
			n++
		}
	}
	for _, s := range u.ended.spans {
		if !s.started.After(t) && s.ended.After(t) {
			n++
		}
	}
	return n
}

// learn adapts the limit to a finished attempt. Full says that the router used
// all it was allowed.
func (u *upstream) learn(now time.Time, r *kingcuphook.Request, s kingcuphook.Sample, full bool) {
	if s.Failed || s.FirstToken == 0 {
		return
	}
	slow := u.isSlow(r, s)
	u.usualFirst = follow(u.usualFirst, s.FirstToken)
	u.usualGap = follow(u.usualGap, s.TokenGap)
	switch {
	case slow:
		u.shrink(now)
	case full:
		u.limit = min(u.limit+1/u.limit, u.most)
	}
}

func (u *upstream) isSlow(r *kingcuphook.Request, s kingcuphook.Sample) bool {
	if r.TokenTarget() > 0 && s.TokenGap > r.TokenTarget() {
		return true
	}
	if r.TokenTarget() == 0 && u.usualGap > 0 && s.TokenGap.Seconds() > slowFactor*u.usualGap {
		return true
	}
	if r.Target() > 0 {
		return s.FirstToken.Seconds() > targetShare*r.Target().Seconds()
	}
	return u.usualFirst > 0 && s.FirstToken.Seconds() > slowFactor*u.usualFirst
}

func (u *upstream) shrink(now time.Time) {
	if now.Sub(u.lastShrink) < shrinkPause {
		return
	}
	u.lastShrink = now
	u.limit = max(u.limit*shrinkFactor, minLimit)
}

// learnReport moves the limit towards what the upstream really runs while it
// reports a queue.
func (u *upstream) learnReport(_ time.Time, report kingcuphook.LoadReport) {
	running := float64(report.Running())
	if report.Queued() == 0 || running >= u.limit {
		return
	}
	u.limit = max(u.limit+queuedStep*(running-u.limit), minLimit)
}

// follow returns the usual value after a sample of d; 0 stands for none yet.
func follow(usual float64, d time.Duration) float64 {
	if d <= 0 {
		return usual
	}
	if usual == 0 {
		return d.Seconds()
	}
	return math.FMA(usualStep, d.Seconds()-usual, usual)
}

func (s *spanRing) add(v span) {
	if len(s.spans) < endedCount {
		s.spans = append(s.spans, v)
		return
	}
	s.spans[s.next] = v
	s.next = (s.next + 1) % endedCount
}
