package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook/platform/standin"
	"github.com/kingcuphook/kingcuphook/transporter"
)

// rateLimits are the values with which upstreams announce rate limits. Some of them are no
// limit.
var rateLimits = []string{"4", "1", "0.5", "0.1", "30", "0", "1000000", "many", "-1", "1e300"}

// maxLimitChanges is how often a limit changes while it holds.
const maxLimitChanges = 3

// limitFault returns a fault in which an upstream announces a rate limit, which may change
// several times, and then none. It lasts longer than other faults, so that these overlap it.
func (env *environment) limitFault(i int, rng *rand.Rand, duration time.Duration) fault {
	u := env.upstream(i)
	values := make([]string, 1+rng.IntN(maxLimitChanges))
	for n := range values {
		values[n] = rateLimits[rng.IntN(len(rateLimits))]
	}
	duration *= time.Duration(2 + len(values))
	begin := func() {
		for n, value := range values {
			if n > 0 {
				time.Sleep(duration / time.Duration(len(values)))
			}
			u.limit(value)
		}
	}
	return fault{fmt.Sprintf("%s limits its rate to %q", u.name, values), duration / time.Duration(len(values)), begin, func() { u.limit("") }}
}

// limitPeriod is a time in which an upstream announced one limit.
type limitPeriod struct {
	perSecond  float64
	begin, end time.Time
}

// limit makes the upstream announce a rate limit, or none if the value is empty.
func (u *upstream) limit(value string) {
	now := time.Now()
	u.limitMu.Lock()
	defer u.limitMu.Unlock()
	if n := len(u.limits); n > 0 && u.limits[n-1].end.IsZero() {
		u.limits[n-1].end = now
	}
	if l := transporter.RateLimit([]string{value}); l.IsSet() {
		u.limits = append(u.limits, limitPeriod{perSecond: l.PerSecond(), begin: now})
	}
	u.SetRateLimit(value)
}

// exceededLimits describes the limits that the routers together exceeded.
func (env *environment) exceededLimits(u *upstream) []string {
	u.limitMu.Lock()
	defer u.limitMu.Unlock()
	var exceeded []string
	for _, p := range u.limits {
		times := env.countedCalls(u, p)
		if most, allowed := standin.MostCalls(times), standin.AllowedCalls(p.perSecond); most > allowed {
			exceeded = append(exceeded, fmt.Sprintf("%s received %d calls in %v, %d are allowed with its limit of %v a second announced at %s",
				u.name, most, standin.RateLimitWindow, allowed, p.perSecond, p.begin.Format("05.000")))
		}
	}
	return exceeded
}

// countedCalls returns the arrival times of the calls in a period that count against its
// limit: those of routers that had passed on a reply with the limit for long enough, and were
// neither stopped nor paused.
func (env *environment) countedCalls(u *upstream, p limitPeriod) []time.Time {
	runs := slices.Concat(u.Runs(), u.Rejected())
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	told := make(map[*router]time.Time)
	var times []time.Time
	for _, run := range runs {
		call := env.soak.calls.byID(run.ID)
		if call == nil || run.At.Before(p.begin) || !p.end.IsZero() && run.At.After(p.end) {
			continue
		}
		at, known := told[call.router]
		switch {
		case call.router.interruptedAt(run.At):
			delete(told, call.router)
		case !known && run.RateLimit != "":
			told[call.router] = run.At
		case known && run.At.Sub(at) >= standin.RateLimitDelay:
			times = append(times, run.At)
		}
	}
	return times
}
