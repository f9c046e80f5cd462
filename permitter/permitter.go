// Package permitter keeps the rate limits that upstreams announce in their replies, over
// all routers. For each limited upstream one router, the issuer, holds a token bucket; it is
// the first by rendezvous hashing among the known routers. The others request permits from
// it, each of which allows one request within a short time. Apart from Run the package does
// no I/O and starts no timers: messages and the time are passed in, messages are returned.
package permitter

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// settleTime is how long a router that has started issues no permits, because it may
	// not know the other routers yet.
	settleTime = 3 * time.Second
	// maxLimits bounds the limited upstreams that are tracked.
	maxLimits = 4096
	// requestBytesPerSecond and requestBytesBurst bound the requests for permits that a
	// router sends, with the headers of their datagrams.
	requestBytesPerSecond = 1500
	requestBytesBurst     = 3000
)

// Permitter holds the rate limits of the upstreams for one router. Its exported fields are
// set before use. It is safe for concurrent use.
type Permitter struct {
	// Self is the address of this router, as the other routers know it.
	Self string
	// OnChange, if set, is called when the limit of an upstream changes. It must not block.
	OnChange func(Change)

	// count is the length of limits, which saves taking mu while there are none.
	count          atomic.Int64
	sent, withheld atomic.Int64

	mu sync.Mutex
	// limits has the limited upstreams, byKey the same by the keys used in messages.
	limits map[kingcuphook.Program]*limit
	byKey  map[uint64]*limit
	issuer issuer
	// routers are the addresses of all known routers, this one included, in order. Each
	// change increments generation.
	routers    []string
	generation int
	// started is when the routers were first set; stopping means that this router shuts
	// down. In both cases it issues no permits.
	started  time.Time
	stopping bool
	// peers has the routers that did not answer recent requests.
	peers    map[string]*peer
	sequence uint16
	budget   *rate.Limiter

	// due has a value when requests should be sent at once; wakeOnce guards its creation.
	due      chan struct{}
	wakeOnce sync.Once
}

var _ kingcuphook.PermitSource = (*Permitter)(nil)

// SetRouters sets the addresses of all other routers.
func (p *Permitter) SetRouters(now time.Time, others []string) {
	routers := append([]string{p.Self}, others...)
	slices.Sort(routers)
	routers = slices.Compact(routers)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.started.IsZero() {
		p.started = now
	}
	if slices.Equal(routers, p.routers) {
		return
	}
	p.routers = routers
	p.generation++
	for address := range p.peers {
		if !slices.Contains(routers, address) {
			delete(p.peers, address)
		}
	}
}

// Stop makes this router issue no more permits, before it shuts down.
func (p *Permitter) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
}

// Update forgets the limits of programs that are not in the tables.
func (p *Permitter) Update(t *kingcuphook.Tables) {
	if p.count.Load() == 0 {
		return
	}
	current := make(map[kingcuphook.Program]bool)
	for _, pool := range t.Pools() {
		for _, u := range pool.Upstreams() {
			current[u.Program()] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for program, l := range p.limits {
		if !current[program] {
			p.remove(l)
		}
	}
}

// Observe records the limit that an upstream announced in a reply, or that it announced
// none, and when the request was sent. What a reply to an earlier request announces may be
// older than what is known, so it neither changes nor ends a limit.
func (p *Permitter) Observe(now time.Time, program kingcuphook.Program, r kingcuphook.RateLimit, sentAt time.Time) {
	if !r.IsSet() && p.count.Load() == 0 {
		return
	}
	p.mu.Lock()
	change, changed := p.observe(now, program, r, sentAt)
	p.mu.Unlock()
	if !changed {
		return
	}
	p.notify([]Change{change})
	p.wake()
}

// observe is Observe while mu is held.
func (p *Permitter) observe(now time.Time, program kingcuphook.Program, r kingcuphook.RateLimit, sentAt time.Time) (Change, bool) {
	l := p.limits[program]
	if !r.IsSet() {
		if l != nil {
			l.observeUnlimited(sentAt)
		}
		return Change{}, false
	}
	kind := ChangeKindChanged
	if l == nil {
		if len(p.limits) >= maxLimits {
			return Change{}, false
		}
		l = p.add(program)
		kind = ChangeKindBegan
	}
	if !l.observe(now, r.PerSecond(), sentAt) {
		return Change{}, false
	}
	return p.changeOf(now, l, kind, SourceReply), true
}

func (p *Permitter) add(program kingcuphook.Program) *limit {
	if p.limits == nil {
		p.limits = make(map[kingcuphook.Program]*limit)
		p.byKey = make(map[uint64]*limit)
	}
	l := &limit{program: program, key: program.Key()}
	p.limits[program] = l
	p.byKey[l.key] = l
	p.count.Store(int64(len(p.limits)))
	return l
}

func (p *Permitter) remove(l *limit) {
	delete(p.limits, l.program)
	delete(p.byKey, l.key)
	p.count.Store(int64(len(p.limits)))
}

// State implements kingcuphook.PermitSource.
func (p *Permitter) State(now time.Time, program kingcuphook.Program, t kingcuphook.Tier) kingcuphook.PermitState {
	if p.count.Load() == 0 {
		return kingcuphook.PermitState{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[program]
	if l == nil {
		return kingcuphook.PermitState{}
	}
	l.expirePermits(now)
	return kingcuphook.PermitState{
		Limited:     true,
		Held:        len(l.permits),
		Expiring:    l.expiring(now),
		Requested:   l.request.pending,
		NextRequest: l.denialOf(t).retryAt,
		DeniedUntil: l.denialOf(t).until,
	}
}

// Acquire implements kingcuphook.PermitSource.
func (p *Permitter) Acquire(now time.Time, program kingcuphook.Program, t kingcuphook.Tier) bool {
	if p.count.Load() == 0 {
		return true
	}
	p.mu.Lock()
	l := p.limits[program]
	if l == nil {
		p.mu.Unlock()
		return true
	}
	change, ended := p.prepare(now, l, t)
	acquired := ended || l.takePermit()
	due := !ended && l.requestDue(now)
	p.mu.Unlock()
	if ended {
		p.notify([]Change{change})
	}
	if due {
		p.wake()
	}
	if acquired {
		p.sent.Add(1)
	} else {
		p.withheld.Add(1)
	}
	return acquired
}

// Offer implements kingcuphook.PermitSource.
func (p *Permitter) Offer(now time.Time, program kingcuphook.Program) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.limits[program]; l != nil && !now.Before(l.nextOffer) {
		l.offered = true
	}
}

// prepare records that a request needs a permit, and issues one if this router is the
// issuer. If the limit has ended, it returns the change. The caller holds mu.
func (p *Permitter) prepare(now time.Time, l *limit, t kingcuphook.Tier) (Change, bool) {
	l.expirePermits(now)
	l.need(t)
	if len(l.permits) > 0 {
		return Change{}, false
	}
	switch p.issuerOf(now, l) {
	case "":
		l.denial = newDenial(now, t, minRetry, minRetry)
	case p.Self:
		return p.issueToSelf(now, l)
	}
	return Change{}, false
}

// IsLimited reports whether a program has a rate limit.
func (p *Permitter) IsLimited(program kingcuphook.Program) bool {
	if p.count.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits[program] != nil
}

// Count returns the number of limited upstreams.
func (p *Permitter) Count() int { return int(p.count.Load()) }

// Sent returns the number of requests that were sent to limited upstreams.
func (p *Permitter) Sent() int64 { return p.sent.Load() }

// Withheld returns how often a limit kept a request from an upstream.
func (p *Permitter) Withheld() int64 { return p.withheld.Load() }

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
