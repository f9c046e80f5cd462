package locator

import (
	"cmp"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

// Costs that choices are compared by. The unit is the worth of an answer in time.
const (
	// regionPrice and centrePrice stand for a KiB on the way to another region
	// and to another data centre.
	regionPrice = 0.006
	centrePrice = 0.0015
	// rereadPrice stands for a token of a shared part that is read though another
	// upstream has it.
	rereadPrice = 0.00037
	// crowdCost is what a crowd of streams on an upstream means for one more,
	// longCost the same beside long prompts, whose reading slows all streams down.
	// Both grow with the square of the streams.
	crowdCost = 0.4
	longCost  = 2.0
	// fullCost is added where all slots are taken; it begins at fullFrom of them
	// and grows with the square.
	fullCost = 0.7
	fullFrom = 0.92
	// serviceCost is the same on plain services.
	serviceCost = 0.04
	// failureCost is added after a failure and fades within failureFade.
	failureCost = 0.6
	failureFade = 2 * time.Second
	// disturbCost is what a long prompt on a quiet upstream costs the streams
	// there, for 1,000 tokens to be read.
	disturbCost = 0.15
	// noiseCost is what a stream with a tight pause pays on an upstream that reads
	// long prompts, and backlogCost what it pays for 1,000 tokens that wait there.
	noiseCost   = 0.15
	backlogCost = 0.02
)

// weight is what the choice of an upstream costs.
type weight struct {
	// cost is what choices are compared by, tie decides between equal ones.
	cost float64
	tie  uint64
	// first is the predicted time to the first token.
	first time.Duration
	// uncached is the number of prompt tokens to be read.
	uncached int
}

func (w weight) less(v weight) bool {
	return cmp.Or(cmp.Compare(w.cost, v.cost), cmp.Compare(w.tie, v.tie)) < 0
}

func (l *Locator) weigh(q *query, u *upstream) weight {
	w := weight{tie: hasher.Mix(u.seed ^ q.tie)}
	known, cached := q.common, max(q.common, int(q.homes.has(u)*float64(q.shared)))
	if u.keeps(q) {
		known, cached = q.shared, q.shared
	}
	prompt := q.request.PromptTokens()
	w.uncached = max(prompt-max(known, int(u.warmth(q.now)*float64(cached))), 0)
	w.first = u.delay + time.Duration(q.first+float64(w.uncached+u.backlog())*q.tokenTime)
	late := float64(w.first) / q.target
	w.cost = late*late + u.price*q.kibs + u.penalty(q.now)
	if u.row.Kind() == kingcuphook.UpstreamKindService {
		w.cost += float64(u.load()) * serviceCost
		return w
	}
	w.cost += u.crowding(q) + float64(max(q.shared-cached, 0))*rereadPrice + u.disturbance(q, w.uncached)
	return w
}

// disturbance returns what long prompts and streams with tight pauses cost one
// another.
func (u *upstream) disturbance(q *query, uncached int) float64 {
	r := q.request
	switch {
	case u.quiet && uncached >= longPrompt:
		return float64(uncached) / 1000 * disturbCost
	case !r.Stream() || r.TokenTarget() == 0 || r.TokenTarget() >= tightPause:
		return 0
	case u.quiet:
		return float64(u.backlog()) / 1000 * backlogCost
	default:
		return noiseCost + float64(u.backlog())/1000*backlogCost
	}
}

// crowding returns what the requests that run on the upstream mean for one more.
func (u *upstream) crowding(q *query) float64 {
	streams := float64(u.load()) / q.crowd[u.group()]
	cost := crowdCost * streams * streams
	if q.long {
		cost = longCost * streams * streams
	}
	full := float64(u.load()) / float64(max(u.row.Slots(), 1))
	over := max(full-fullFrom, 0) / (1 - fullFrom)
	return cost + fullCost*over*over
}

// distance returns the round trip to an upstream and what a KiB counts for on the
// way there and back.
func (l *Locator) distance(u *kingcuphook.Upstream) (delay time.Duration, price float64) {
	delay, price = assumedCentreDelay, 0
	switch {
	case u.Region() != l.Region:
		delay, price = assumedRegionDelay, regionPrice
	case u.DataCentre() != l.DataCentre:
		price = centrePrice
	default:
		delay = 0
	}
	if l.RoundTrip != nil {
		if learned := l.RoundTrip(u.DataCentre()); learned > 0 {
			delay = learned
		}
	}
	return delay, price
}

// Round trips that are assumed before a connection has shown them.
const (
	assumedRegionDelay = 50 * time.Millisecond
	assumedCentreDelay = 2 * time.Millisecond
)

// penalty returns what a failure of late counts for.
func (u *upstream) penalty(now time.Time) float64 {
	if u.failures == 0 {
		return 0
	}
	age := now.Sub(u.failed)
	if age >= failureFade {
		return 0
	}
	left := 1 - age.Seconds()/failureFade.Seconds()
	return left * failureCost * float64(min(u.failures, 4))
}

// keeps reports whether the upstream is known to have read the shared part of the
// prompt lately.
func (u *upstream) keeps(q *query) bool {
	if q.part == 0 {
		return false
	}
	used, ok := u.kept[q.part]
	return ok && q.now.Sub(used) < keptFor
}
