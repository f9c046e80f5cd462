// Package limiter bounds the work that one router puts on each upstream.
//
// The limit of an upstream is learned from first-token delays, token gaps and
// load reports. Routers that share an upstream don't talk about it: each takes
// a share of what the last report left free, such that the shares of all
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
	// maxLimit bounds the learned limit of an upstream whose slots are unknown.
	maxLimit = 512
	minLimit = 1
)

// headroom is the share of the limit that a tier leaves free, by tier index.
var headroom = [kingcuphook.TierCount]float64{0, 0.2, 0.4, 0.6, 0.7}

// Limiter is the limits of one pool at one router. It is used by one goroutine
// at a time.
type Limiter struct {
	// Rand rounds shares of slots while the place of the router among the others
	// is unknown; nil rounds to the nearest.
	Rand *rand.Rand
	// Routers is how many routers share the upstreams; 0 means 1.
	Routers int
	// StaleAfter is the age at which a report is no longer used; 0 means 5 s.
	StaleAfter time.Duration

	// place is the place of this router among all, counted from 1; 0 if unknown.
	place     int
	upstreams map[string]*upstream
}

var _ kingcuphook.Limiter = (*Limiter)(nil)

// SetRouters tells how many routers share the upstreams now.
func (l *Limiter) SetRouters(n int) { l.Routers = n }

// SetPlace tells how many routers share the upstreams and which of them this one
// is, from 0 to n-1 in an order that all routers agree on. Shares of a slot are
// then given to one router after the other.
func (l *Limiter) SetPlace(place, n int) {
	l.place = place + 1
	l.Routers = n
}

// Update takes the pool in force. Upstreams that are gone are forgotten once
// nothing runs there.
func (l *Limiter) Update(_ time.Time, p *kingcuphook.Pool) {
	wanted := make(map[string]bool, len(p.Upstreams()))
	for _, u := range p.Upstreams() {
		wanted[u.Address()] = true
		l.upstream(u.Address()).setSlots(u.Slots())
	}
	for address, u := range l.upstreams {
		if !wanted[address] && len(u.running) == 0 {
			delete(l.upstreams, address)
		}
	}
}

// Free implements kingcuphook.Limiter.
func (l *Limiter) Free(now time.Time, address string, t kingcuphook.Tier) int {
	u := l.upstream(address)
	return max(0, l.allowance(now, u, t)-len(u.running))
}

// Started implements kingcuphook.Limiter.
func (l *Limiter) Started(now time.Time, address string, r *kingcuphook.Request) {
	u := l.upstream(address)
	u.running[r.ID()] = &attempt{started: now}
	if len(u.running) >= l.allowance(now, u, r.Tier()) {
		u.fullAt = now
	}
}

// Progress takes that the n-th token of a running request has come.
func (l *Limiter) Progress(now time.Time, address string, r *kingcuphook.Request, n int) {
	u := l.upstreams[address]
	if u == nil || u.running[r.ID()] == nil {
		return
	}
	u.tighten(now, r.TokenTarget())
	u.progress(now, u.running[r.ID()], n)
}

// Finished implements kingcuphook.Limiter.
func (l *Limiter) Finished(now time.Time, address string, r *kingcuphook.Request, s kingcuphook.Sample) {
	u := l.upstream(address)
	a := u.running[r.ID()]
	if a == nil {
		return
	}
	delete(u.running, r.ID())
	u.ended.add(span{started: a.started, ended: now})
	u.learn(now, r, s)
}

// Report implements kingcuphook.Limiter. A report older than the last one is
// ignored.
func (l *Limiter) Report(now time.Time, report kingcuphook.LoadReport) {
	u := l.upstream(report.Upstream())
	if !report.Made().After(u.reportMade) {
		return
	}
	u.reportMade = report.Made()
	u.reportLoad = report.Running() + report.Queued()
	u.ownAtReport = u.ownAt(report.Made())
	u.dither = l.dither(report)
	u.learnReport(now, report)
}

// Limit returns the learned limit of all routers together.
func (l *Limiter) Limit(address string) float64 { return l.upstream(address).limit }

// Running returns the requests of this router that run on the upstream.
func (l *Limiter) Running(address string) int { return len(l.upstream(address).running) }

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
