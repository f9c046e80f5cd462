// Package permitter keeps the rate limits that upstreams announce in their replies, over
// all routers, and the number of requests that are open at upstreams which announce that they
// are brittle. For each limited upstream one router, the issuer, holds a token bucket; it is
// the first by rendezvous hashing among the known routers. The others request permits from
// it, each of which allows one request within a short time; for a brittle upstream they request
// places instead, each of which allows one request to be open. Apart from Run the package does
// no I/O and starts no timers: messages and the time are passed in, messages are returned.
package permitter

import (
	"maps"
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
	// Careful makes the router that has started use only a share of the slots of upstreams that
	// have not answered it yet. It requires that ObserveBrittleness is called for each answer.
	Careful bool
	// OnChange, if set, is called when the limit of an upstream changes. It must not block.
	OnChange func(Change)

	// OnPlacesChange, if set, is called when an upstream becomes brittle, or no longer is. It
	// must not block.
	OnPlacesChange func(PlacesChange)

	// count is the length of limits, which saves taking mu while there are none, and placesCount
	// that of places.
	count, placesCount atomic.Int64
	sent, withheld     atomic.Int64
	// caution means that this router may have just started, with Careful.
	caution atomic.Bool

	mu sync.Mutex
	// limits has the limited upstreams, byKey the same by the keys used in messages.
	limits map[kingcuphook.Program]*limit
	byKey  map[uint64]*limit
	issuer issuer
	// places has the brittle upstreams, placesByKey the same by the keys used in messages.
	places      map[kingcuphook.Program]*places
	placesByKey map[uint64]*places
	// running is the number of open requests by program.
	running map[kingcuphook.Program]int
	// malformed has the programs that announced something that can't be read.
	malformed map[kingcuphook.Program]bool
	// tables are the current tables; upstreams has those of them by key, nil if not needed yet.
	tables    *kingcuphook.Tables
	upstreams map[uint64]*kingcuphook.Upstream
	// outbox has the messages that the next call of Messages returns. granted means that this
	// router got places from its own issuer while a message was handled.
	outbox []Message
	// answered has the upstreams that have answered while caution is set.
	answered map[kingcuphook.Program]bool
	// refused counts the requests that brittle upstreams refused.
	refused int
	granted bool
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
	// placeSequence is the number of the last message about places.
	placeSequence uint16
	budget        *rate.Limiter

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
		p.caution.Store(p.Careful)
		// The messages of an earlier process at this address have other numbers.
		p.placeSequence = uint16(now.UnixMilli())
	}
	if slices.Equal(routers, p.routers) {
		return
	}
	p.issuer.welcome(p.routers, routers)
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

// Update records which programs are in the tables. Those that are not are forgotten after absentTTL,
// since they may return.
func (p *Permitter) Update(t *kingcuphook.Tables) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tables, p.upstreams = t, nil
	if len(p.limits) == 0 && len(p.places) == 0 && len(p.malformed) == 0 {
		return
	}
	for program, l := range p.limits {
		l.presence.update(t.Runs(program))
	}
	for program, l := range p.places {
		l.presence.update(t.Runs(program))
	}
	maps.DeleteFunc(p.malformed, func(program kingcuphook.Program, _ bool) bool { return !t.Runs(program) })
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
	if p.count.Load() == 0 && p.placesCount.Load() == 0 && !p.caution.Load() {
		return kingcuphook.PermitState{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cautious(now, program) {
		return p.cautiousState(program)
	}
	var ofPlaces kingcuphook.PermitState
	if l := p.places[program]; l != nil {
		ofPlaces = l.state(now, t)
	}
	l := p.limits[program]
	if l == nil {
		return ofPlaces
	}
	if ofPlaces.Bounded && ofPlaces.Held == 0 {
		return ofPlaces
	}
	l.expirePermits(now)
	state := l.state(now, t)
	if ofPlaces.Bounded {
		state.Bounded, state.Held = true, min(state.Held, ofPlaces.Held)
	}
	return state
}

// state returns what requests of a tier can get.
func (l *limit) state(now time.Time, t kingcuphook.Tier) kingcuphook.PermitState {
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
	p.mu.Lock()
	a := p.acquire(now, program, t)
	if a.acquired {
		if p.running == nil {
			p.running = make(map[kingcuphook.Program]int)
		}
		p.running[program]++
	}
	p.mu.Unlock()
	p.notify(a.changes)
	p.notifyPlaces(a.placesChanges)
	if a.due {
		p.wake()
	}
	if !a.limited {
		return a.acquired
	}
	if a.acquired {
		p.sent.Add(1)
	} else {
		p.withheld.Add(1)
	}
	return a.acquired
}

// acquisition is the result of Acquire, with what is to be done without mu.
type acquisition struct {
	// limited means that the upstream has a rate limit or is brittle, due that a message is.
	acquired, limited, due bool
	changes                []Change
	placesChanges          []PlacesChange
}

// acquire is Acquire while mu is held.
func (p *Permitter) acquire(now time.Time, program kingcuphook.Program, t kingcuphook.Tier) acquisition {
	a := acquisition{acquired: true}
	if p.cautious(now, program) {
		s := p.cautiousState(program)
		a.acquired = !s.Limited || s.Held > 0
		return a
	}
	l, bounded := p.limits[program], p.places[program]
	if l != nil {
		change, ended := p.prepare(now, l, t)
		if ended {
			a.changes = append(a.changes, change)
		}
		a.limited, a.acquired, a.due = true, ended || len(l.permits) > 0, !ended && l.requestDue(now)
	}
	if bounded != nil && a.acquired {
		a.limited = true
		a.acquired, a.placesChanges = p.acquirePlace(now, bounded, t)
		a.due = a.due || !a.acquired && bounded.askDue(now) || len(p.outbox) > 0
	}
	if l != nil && a.acquired {
		l.takePermit()
	}
	return a
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
	switch p.issuerOf(now, l.key, &l.ranking) {
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

// Brittle returns the number of brittle upstreams.
func (p *Permitter) Brittle() int { return int(p.placesCount.Load()) }

// Places returns the number of places at brittle upstreams that this router holds, and the number
// of requests that these refused.
func (p *Permitter) Places() (held, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.places {
		held += l.held
	}
	return held, p.refused
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
