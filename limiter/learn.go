package limiter

import (
	"math"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// decreaseFactor is the multiplicative decrease of the limit on overload.
	decreaseFactor = 0.9
	// decreaseInterval is the minimum interval between two such decreases, so that
	// samples of the same slow period count once.
	decreaseInterval = time.Second
	// queuedGain is the smoothing factor by which the limit approaches the number of
	// running requests of an upstream that reports a queue.
	queuedGain = 0.25
	// slowFactor is the multiple of its average above which a delay counts as
	// overload if the request has no target for it.
	slowFactor = 2.5
	// firstTokenShare is the share of the first-token target above which the time to
	// the first token counts as overload.
	firstTokenShare = 0.8
	// gapTargetShare is the time between tokens that the limit aims at, as a
	// share of the tightest target.
	gapTargetShare = 0.82
	// gapGain is the gain of the adjustment to the time between tokens, and
	// maxGapError bounds the relative error that one adjustment takes into
	// account.
	gapGain     = 0.25
	maxGapError = 0.5
	// adjustInterval is the minimum interval between two such adjustments.
	adjustInterval = 200 * time.Millisecond
	// minTokensPerSample is the minimum number of tokens between two measurements
	// of the time between tokens.
	minTokensPerSample = 8
	// fullTTL is how long an upstream counts as full after the router used its
	// whole allowance.
	fullTTL = time.Second
	// tightestTTL is how long the tightest target holds after a request last had
	// it.
	tightestTTL = 10 * time.Second
	// recentWeight is the weight of a new sample in the recent time between tokens.
	recentWeight = 0.2
	// averageWeight is the weight of a new sample in the long-term averages.
	averageWeight = 0.05
	// maxEnded bounds the ended attempts that are kept to interpret late reports.
	maxEnded = 128
)

// upstream is the state of one upstream.
type upstream struct {
	// limit bounds the requests of all routers together; minLimit <= limit <=
	// ceiling.
	limit, ceiling float64
	// inFlight holds the attempts of this router in flight by request identifier.
	inFlight map[string]*attempt
	// ended holds the attempts that ended last.
	ended spanRing
	// fullAt is when the router last used its whole allowance.
	fullAt time.Time
	// reportedAt is when the last report was made; zero if there is none.
	reportedAt time.Time
	// reportLoad is the number of running and queued requests in that report and
	// ownAtReport the number that this router had in flight at that time.
	reportLoad, ownAtReport int
	// dither is added to shares before they are rounded down, 0 <= dither < 1.
	dither float64
	// avgFirstToken and avgTokenGap are long-term moving averages of the time to
	// the first token and between tokens, in seconds; 0 without samples.
	avgFirstToken, avgTokenGap float64
	lastDecrease               time.Time
	// recentGap is a moving average of the recent time between tokens, in seconds.
	recentGap float64
	// tightestTarget is the tightest target of recent requests for the time between
	// tokens, 0 if there is none; tightestTargetAt is when a request last had it.
	tightestTarget   time.Duration
	tightestTargetAt time.Time
	// lastAdjust is when the limit was last adjusted to the time between tokens.
	lastAdjust time.Time
}

// attempt is a request in flight.
type attempt struct {
	started time.Time
	// token is the number of the last token that was timed; at is when it arrived.
	token int
	at    time.Time
}

// span is the time during which one attempt was in flight.
type span struct{ started, ended time.Time }

// spanRing is a ring buffer of the latest spans.
type spanRing struct {
	spans []span
	next  int
}

func newUpstream() *upstream {
	return &upstream{limit: defaultSlots, ceiling: maxLimit, inFlight: make(map[string]*attempt)}
}

// setSlots applies the configured number of slots, at which the limit starts and
// which it never exceeds; 0 or less means unknown. A changed number resets the
// limit.
func (u *upstream) setSlots(n int) {
	if n <= 0 {
		u.ceiling = maxLimit
		return
	}
	if u.ceiling != float64(n) {
		u.limit = float64(n)
	}
	u.ceiling = float64(n)
}

// ownAt returns how many requests of this router were in flight at t.
func (u *upstream) ownAt(t time.Time) int {
	n := 0
	for _, a := range u.inFlight {
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

// observeSample adjusts the limit to the sample of a finished attempt. It ignores
// failed attempts and those without a first token.
func (u *upstream) observeSample(now time.Time, r *kingcuphook.Request, s kingcuphook.Sample) {
	if s.Failed || s.FirstToken == 0 {
		return
	}
	u.updateTightest(now, r.TokenTarget())
	slow := u.isSlow(r, s)
	u.avgFirstToken = ewma(u.avgFirstToken, s.FirstToken, averageWeight)
	u.avgTokenGap = ewma(u.avgTokenGap, s.TokenGap, averageWeight)
	switch {
	case slow:
		u.decrease(now)
	case s.TokenGap > 0:
		u.observeGap(now, s.TokenGap)
	case u.wasFull(now):
		u.limit = min(u.limit+1/u.limit, u.ceiling)
	}
}

// progress measures the time between tokens of an attempt in flight, of which the
// n-th token has arrived.
func (u *upstream) progress(now time.Time, a *attempt, n int) {
	if a.token > 0 && n-a.token < minTokensPerSample {
		return
	}
	if a.token > 0 {
		u.observeGap(now, now.Sub(a.at)/time.Duration(n-a.token))
	}
	a.token = n
	a.at = now
}

// observeGap adds a sample of the time between tokens and adjusts the limit so that
// the time between tokens approaches a share of the tightest target. Without a
// target it increases the limit additively. It increases the limit only if the
// upstream was recently full.
func (u *upstream) observeGap(now time.Time, gap time.Duration) {
	u.recentGap = ewma(u.recentGap, gap, recentWeight)
	if now.Sub(u.lastAdjust) < adjustInterval {
		return
	}
	u.lastAdjust = now
	if u.tightestTarget == 0 {
		if u.wasFull(now) {
			u.limit = min(u.limit+1/u.limit, u.ceiling)
		}
		return
	}
	gapError := gapTargetShare*u.tightestTarget.Seconds()/u.recentGap - 1
	if gapError > 0 && !u.wasFull(now) {
		return
	}
	u.limit *= 1 + gapGain*min(max(gapError, -maxGapError), maxGapError)
	u.limit = min(max(u.limit, minLimit), u.ceiling)
}

func (u *upstream) wasFull(now time.Time) bool {
	return !u.fullAt.IsZero() && now.Sub(u.fullAt) <= fullTTL
}

// updateTightest updates the tightest target for the time between tokens. A
// looser target replaces it once no request has had it for tightestTTL.
func (u *upstream) updateTightest(now time.Time, target time.Duration) {
	if target == 0 {
		return
	}
	if u.tightestTarget == 0 || target <= u.tightestTarget || now.Sub(u.tightestTargetAt) > tightestTTL {
		u.tightestTarget = target
		u.tightestTargetAt = now
	}
}

// isSlow reports whether the sample shows overload: the time to the first token
// uses up too much of the request's target, or a delay without a target is far
// above its average.
func (u *upstream) isSlow(r *kingcuphook.Request, s kingcuphook.Sample) bool {
	if r.TokenTarget() == 0 && u.avgTokenGap > 0 && s.TokenGap.Seconds() > slowFactor*u.avgTokenGap {
		return true
	}
	if r.Target() > 0 {
		return s.FirstToken.Seconds() > firstTokenShare*r.Target().Seconds()
	}
	return u.avgFirstToken > 0 && s.FirstToken.Seconds() > slowFactor*u.avgFirstToken
}

func (u *upstream) decrease(now time.Time) {
	if now.Sub(u.lastDecrease) < decreaseInterval {
		return
	}
	u.lastDecrease = now
	u.limit = max(u.limit*decreaseFactor, minLimit)
}

// observeReport lowers the limit towards the number of running requests if the
// upstream reports a queue.
func (u *upstream) observeReport(_ time.Time, report kingcuphook.LoadReport) {
	running := float64(report.Running())
	if report.Queued() == 0 || running >= u.limit {
		return
	}
	u.limit = max(u.limit+queuedGain*(running-u.limit), minLimit)
}

// ewma adds a sample to an exponentially weighted moving average in seconds,
// where 0 means no samples yet. It ignores samples that are not positive.
func ewma(average float64, sample time.Duration, weight float64) float64 {
	if sample <= 0 {
		return average
	}
	if average == 0 {
		return sample.Seconds()
	}
	return math.FMA(weight, sample.Seconds()-average, average)
}

func (s *spanRing) add(v span) {
	if len(s.spans) < maxEnded {
		s.spans = append(s.spans, v)
		return
	}
	s.spans[s.next] = v
	s.next = (s.next + 1) % maxEnded
}
