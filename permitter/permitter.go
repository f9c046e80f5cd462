// Package permitter tracks the rate limits that upstreams announce in their replies.
package permitter

import (
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// ChangeKind is what happened to the limit of an upstream.
type ChangeKind string

// Values of ChangeKind.
const (
	ChangeKindBegan   ChangeKind = "began"
	ChangeKindChanged ChangeKind = "changed"
	ChangeKindEnded   ChangeKind = "ended"
)

// Change is a change of the limit of an upstream.
type Change struct {
	Kind ChangeKind
	// PerSecond is the new limit in requests per second; the last one if it ended.
	PerSecond float64
	// Age is the time since a reply last announced a limit.
	Age time.Duration
}

// Permitter holds the rate limits of the upstreams. It is safe for concurrent use.
type Permitter struct {
	mu sync.Mutex
	// limits has the limited upstreams.
	limits map[kingcuphook.Program]*limit
}

// limit is the rate limit of an upstream.
type limit struct {
	perSecond float64
	// announcedAt is when the last reply arrived that announced a limit.
	announcedAt time.Time
}

// Observe records the limit that an upstream announced in a reply, or that it announced
// none, and when the request was sent. It reports whether that changed the limit.
func (p *Permitter) Observe(now time.Time, program kingcuphook.Program, r kingcuphook.RateLimit, sentAt time.Time) (Change, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[program]
	switch {
	case l == nil && !r.IsSet():
		return Change{}, false
	case l == nil:
		if p.limits == nil {
			p.limits = make(map[kingcuphook.Program]*limit)
		}
		p.limits[program] = &limit{perSecond: r.PerSecond(), announcedAt: now}
		return Change{Kind: ChangeKindBegan, PerSecond: r.PerSecond()}, true
	case !r.IsSet() && sentAt.Before(l.announcedAt):
		// The upstream may have replied before it announced the limit.
		return Change{}, false
	case !r.IsSet():
		delete(p.limits, program)
		return Change{Kind: ChangeKindEnded, PerSecond: l.perSecond, Age: now.Sub(l.announcedAt)}, true
	}
	previous := *l
	*l = limit{perSecond: r.PerSecond(), announcedAt: now}
	return Change{Kind: ChangeKindChanged, PerSecond: r.PerSecond()}, previous.perSecond != r.PerSecond()
}

// Count returns the number of limited upstreams.
func (p *Permitter) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.limits)
}

// Sum returns the sum of all limits in requests per second.
func (p *Permitter) Sum() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0.0
	for _, l := range p.limits {
		sum += l.perSecond
	}
	return sum
}
