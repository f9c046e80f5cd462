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
	// gapShare is the part of the tightest target for the gaps that the limit aims
	// at.
	gapShare = 0.82
	// gapStep is the part of the way that the limit goes for one sample, and
	// maxRoom bounds the way.
	gapStep = 0.25
	maxRoom = 0.5
	// moveEvery is the least time between two such steps.
	moveEvery = 200 * time.Millisecond
	// tokensTimed is the number of tokens between two measurements of the gap.
	tokensTimed = 8
	// fullKept is how long an upstream counts as full after the router used all
	// it was allowed.
	fullKept = time.Second
	// tightestKept is how long the tightest target is kept after its last request.
	tightestKept = 10 * time.Second
	// gapFollow weighs a new sample in the gap of the last attempts.
	gapFollow = 0.2
	// usualStep weighs a new sample in the usual delays.
	usualStep = 0.05
	// endedCount bounds the ended attempts remembered for late reports.
	endedCount = 128
)

// upstream is what is known of one upstream.
type upstream struct {
	// limit bounds the requests of all routers together; minLimit <= limit <= most.
	limit, most float64
	// running has the attempts of this router by the request's identifier.
	running map[string]*attempt
	// ended has the attempts that ended last.
	ended spanRing
	// fullAt is when the router last used all it was allowed.
	fullAt time.Time
	// reportMade is when the last report was made; zero without one.
	reportMade time.Time
	// reportLoad is the load it told, ownAtReport the part of this router then.
	reportLoad, ownAtReport int
	// dither is added before shares of slots are rounded down, 0 <= dither < 1.
	dither float64
	// usualFirst and usualGap are the usual delays, in seconds.
	usualFirst, usualGap float64
	lastShrink           time.Time
	// gap is the mean time between tokens of the last attempts, in seconds.
	gap float64
	// tightest is the tightest target for the gaps of the latest requests,
	// tightestAt when it was last seen; 0 without one.
	tightest   time.Duration
	tightestAt time.Time
	// lastMove is when the limit last followed the gap.
	lastMove time.Time
}

// attempt is a running request.
type attempt struct {
	started time.Time
	// token is the number of the last token that was timed, at when it came.
	token int
	at    time.Time
}

// span is the time during which one attempt ran.
type span struct{ started, ended time.Time }

// spanRing has the latest spans, the oldest overwritten first.
type spanRing struct {
	spans []span
	next  int
}

func newUpstream() *upstream {
	return &upstream{limit: defaultSlots, most: maxLimit, running: make(map[string]*attempt)}
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
	for _, a := range u.running {
		if !a.started.After(t) {
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

// learn adapts the limit to a finished attempt.
func (u *upstream) learn(now time.Time, r *kingcuphook.Request, s kingcuphook.Sample) {
	if s.Failed || s.FirstToken == 0 {
		return
	}
	u.tighten(now, r.TokenTarget())
	slow := u.isSlow(r, s)
	u.usualFirst = follow(u.usualFirst, s.FirstToken, usualStep)
	u.usualGap = follow(u.usualGap, s.TokenGap, usualStep)
	switch {
	case slow:
		u.shrink(now)
	case s.TokenGap > 0:
		u.observe(now, s.TokenGap)
	case u.wasFull(now):
		u.limit = min(u.limit+1/u.limit, u.most)
	}
}

// progress times the tokens of a running attempt.
func (u *upstream) progress(now time.Time, a *attempt, n int) {
	if a.token > 0 && n-a.token < tokensTimed {
		return
	}
	if a.token > 0 {
		u.observe(now, now.Sub(a.at)/time.Duration(n-a.token))
	}
	a.token = n
	a.at = now
}

// observe takes a mean time between tokens and moves the limit towards where the
// tightest target is just kept.
func (u *upstream) observe(now time.Time, gap time.Duration) {
	u.gap = follow(u.gap, gap, gapFollow)
	if now.Sub(u.lastMove) < moveEvery {
		return
	}
	u.lastMove = now
	if u.tightest == 0 {
		if u.wasFull(now) {
			u.limit = min(u.limit+1/u.limit, u.most)
		}
		return
	}
	room := gapShare*u.tightest.Seconds()/u.gap - 1
	if room > 0 && !u.wasFull(now) {
		return
	}
	u.limit *= 1 + gapStep*min(max(room, -maxRoom), maxRoom)
	u.limit = min(max(u.limit, minLimit), u.most)
}

func (u *upstream) wasFull(now time.Time) bool {
	return !u.fullAt.IsZero() && now.Sub(u.fullAt) <= fullKept
}

// tighten remembers the tightest target for the gaps among the latest requests.
func (u *upstream) tighten(now time.Time, target time.Duration) {
	if target == 0 {
		return
	}
	if u.tightest == 0 || target <= u.tightest || now.Sub(u.tightestAt) > tightestKept {
		u.tightest = target
		u.tightestAt = now
	}
}

// isSlow reports whether the first token came too late for the request, or far
// later than usual.
func (u *upstream) isSlow(r *kingcuphook.Request, s kingcuphook.Sample) bool {
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
func follow(usual float64, d time.Duration, step float64) float64 {
	if d <= 0 {
		return usual
	}
	if usual == 0 {
		return d.Seconds()
	}
	return math.FMA(step, d.Seconds()-usual, usual)
}

func (s *spanRing) add(v span) {
	if len(s.spans) < endedCount {
		s.spans = append(s.spans, v)
		return
	}
	s.spans[s.next] = v
	s.next = (s.next + 1) % endedCount
}
