// Package limiter implements adaptive concurrency limits for the requests that
// one router sends to each upstream.
//
// The limit of an upstream adapts to time to first token, time between tokens and
// load reports. Routers that share an upstream don't coordinate: each uses a share
// of the capacity that the last load report left free, and the shares of all
// routers add up to the limit.
package limiter

import (
	"math/rand/v2"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	defaultSlots      = 8
	defaultStaleAfter = 5 * time.Second
	// maxLimit bounds the limit of an upstream whose number of slots is unknown.
	maxLimit = 512
	minLimit = 1
)

// headroom is the share of the limit that requests of a tier leave free, by tier
// index.
var headroom = [kingcuphook.DeclaredTierCount]float64{0, 0.2, 0.4, 0.6, 0.7}

// Limiter holds the concurrency limits of one pool at one router. It is not safe
// for concurrent use.
type Limiter struct {
	// Rand provides randomized rounding of fractional shares while the index of the
	// router is unknown; nil rounds to the nearest integer.
	Rand *rand.Rand
	// Routers is the number of routers that share the upstreams; 0 means 1.
	Routers int
	// StaleAfter is the age above which a load report is ignored; 0 means 5 s.
	StaleAfter time.Duration

	// rank is the index of this router among all routers plus 1; 0 if unknown.
	rank      int
	upstreams map[string]*upstream
}

var _ kingcuphook.Limiter = (*Limiter)(nil)

// SetRouters sets the number of routers that share the upstreams.
func (l *Limiter) SetRouters(n int) { l.Routers = n }

// SetRouterIndex sets the number of routers that share the upstreams and the index
// of this one, from 0 to n-1 in an order that is the same on all routers. The
// fractional parts of the shares then rotate among the routers.
func (l *Limiter) SetRouterIndex(index, n int) {
	l.rank = index + 1
	l.Routers = n
}

// Update applies the current pool. The state of a removed upstream is deleted by
// the first update at which this router has no requests in flight there.
func (l *Limiter) Update(_ time.Time, p *kingcuphook.Pool) {
	wanted := make(map[string]bool, len(p.Upstreams()))
	for _, u := range p.Upstreams() {
		wanted[u.Address()] = true
		l.upstream(u.Address()).setSlots(u.Slots())
	}
	for address, u := range l.upstreams {
		if !wanted[address] && len(u.inFlight) == 0 {
			delete(l.upstreams, address)
		}
	}
}

// Free implements kingcuphook.Limiter.
func (l *Limiter) Free(now time.Time, address string, t kingcuphook.Tier) int {
	u := l.upstream(address)
	return max(0, l.allowance(now, u, t)-len(u.inFlight))
}

// Started implements kingcuphook.Limiter.
func (l *Limiter) Started(now time.Time, address string, r *kingcuphook.Request) {
	u := l.upstream(address)
	u.inFlight[r.ID()] = &attempt{started: now}
	if len(u.inFlight) >= l.allowance(now, u, r.Tier()) {
		u.fullAt = now
	}
}

// Progress records the arrival of the n-th token of a request in flight.
func (l *Limiter) Progress(now time.Time, address string, r *kingcuphook.Request, n int) {
	u := l.upstreams[address]
	if u == nil || u.inFlight[r.ID()] == nil {
		return
	}
	u.updateTightest(now, r.TokenTarget())
	u.progress(now, u.inFlight[r.ID()], n)
}

// Finished implements kingcuphook.Limiter.
func (l *Limiter) Finished(now time.Time, address string, r *kingcuphook.Request, s kingcuphook.Sample) {
	u := l.upstream(address)
	a := u.inFlight[r.ID()]
	if a == nil {
		return
	}
	delete(u.inFlight, r.ID())
	u.ended.add(span{started: a.started, ended: now})
	u.observeSample(now, r, s)
}

// Report implements kingcuphook.Limiter. Reports that are not newer than the last
// one are ignored.
func (l *Limiter) Report(now time.Time, report kingcuphook.LoadReport) {
	u := l.upstream(report.Upstream())
	if !report.Made().After(u.reportedAt) {
		return
	}
	u.reportedAt = report.Made()
	u.reportLoad = report.Running() + report.Queued()
	u.ownAtReport = u.ownAt(report.Made())
	u.dither = l.dither(report)
	u.observeReport(now, report)
}

// Limit returns the current limit of the upstream, which all routers share.
func (l *Limiter) Limit(address string) float64 { return l.upstream(address).limit }

// InFlight returns the number of requests that this router has in flight on the
// upstream.
func (l *Limiter) InFlight(address string) int { return len(l.upstream(address).inFlight) }

func (l *Limiter) upstream(address string) *upstream {
	if u := l.upstreams[address]; u != nil {
		return u
	}
	if l.upstreams == nil {
		l.upstreams = make(map[string]*upstream)
	}
	u := newUpstream()
	l.upstreams[address] = u
	return u
}

func (l *Limiter) routers() int { return max(l.Routers, 1) }

func (l *Limiter) staleAfter() time.Duration {
	if l.StaleAfter > 0 {
		return l.StaleAfter
	}
	return defaultStaleAfter
}
