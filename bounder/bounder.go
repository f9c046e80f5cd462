// Package bounder limits the requests on each upstream to the slots that the
// upstream registered. The load of other routers is known only from reports, so the
// limit may be exceeded for a moment. It suits pools whose upstreams have a short
// queue of their own for requests that routers send at the same time.
//
// All routers get the same reports. While a pool is busy, each router uses only its share
// of the slots that the last report shows as free, so that the routers together send no
// more than these before the next report.
package bounder

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/estimator"
)

// defaultSlots is the limit for an upstream that registered no slots.
const defaultSlots = 8

// maxInterval bounds the time between two reports that is taken into account: after a longer
// one, it is not known how many requests have ended.
const maxInterval = time.Second

// Bounder implements kingcuphook.Limiter for one pool. It must be used by one
// goroutine at a time.
type Bounder struct {
	// Seed differs between routers, so that each of them rounds other shares up.
	Seed uint64
	// Speeds holds the learned speed of each engine; nil means that all count as equally fast.
	Speeds *estimator.Speeds

	// routers is the number of routers that share the upstreams; 0 means 1.
	routers int
	usage   usage
	// waiting has the number of queued requests of the other routers by tier.
	waiting [kingcuphook.TierCount]int
	// portions has the parts of the free slots that are due to this router by tier, relative to
	// an equal part; 0 means that none is set.
	portions [kingcuphook.TierCount]float64
	// lowest is the lowest tier of the requests for the pool.
	lowest kingcuphook.Tier
	// slots and load are the sums of the slots and of the requests of all upstreams.
	slots, load int
	// own is the number of requests of this router.
	own int
	// reported is when the last report was made, interval the time since the one before.
	reported time.Time
	interval time.Duration
	// upstreams holds the limit and the load of each upstream by address.
	upstreams map[string]*upstream
	// outside has the addresses of those that are not in the pool.
	outside map[string]bool
	// pool is the last revision of the pool, order its upstreams, and next the index of the one that is
	// probably reported next.
	pool  *kingcuphook.Pool
	order []*upstream
	next  int
}

type upstream struct {
	// row is the row of the pool; nil outside the pool.
	row     *kingcuphook.Upstream
	slots   int
	program kingcuphook.Program
	// speed is its learned speed relative to the pool, as of speedAt; 0 means that none was taken over.
	speed   float64
	speedAt time.Time
	// ownRequests counts the requests of this router, ownAtReport those at the time of
	// the last report.
	ownRequests, ownAtReport int
	// otherRequests counts those of the other routers according to the last report.
	otherRequests int
	// reported is when the last report was made; zero if there was none.
	reported time.Time
	// hash is the hash of its address.
	hash uint64
}

var _ kingcuphook.Limiter = (*Bounder)(nil)

// SetWaiting sets how many requests of each tier are queued at the other routers.
func (b *Bounder) SetWaiting(n [kingcuphook.TierCount]int) { b.waiting = n }

// SetRouters sets how many routers share the upstreams.
func (b *Bounder) SetRouters(n int) { b.routers = n }

// Update applies the current revision of the pool. An upstream that is no longer
// in the pool is removed once no request of this router runs there.
func (b *Bounder) Update(_ time.Time, p *kingcuphook.Pool) {
	b.lowest = p.LowestTier()
	change, ok := p.ChangeSince(b.pool)
	if !ok {
		for _, u := range b.upstreams {
			u.row = nil
		}
		change = kingcuphook.PoolChange{Added: p.Upstreams()}
	}
	for _, row := range change.Removed {
		b.upstream(row.Address()).row = nil
		b.outside[row.Address()] = true
	}
	for _, row := range change.Added {
		b.upstream(row.Address()).update(row)
		delete(b.outside, row.Address())
	}
	if !ok {
		b.markOutside()
	}
	b.pool = p
	b.removeOutside()
	b.setOrder(p)
	b.sum()
}

// sum computes the sums over the upstreams.
func (b *Bounder) sum() {
	b.slots, b.load = 0, 0
	if len(b.order)+len(b.outside) != len(b.upstreams) {
		for _, u := range b.upstreams { // some are twice in the pool
			b.add(u)
		}
		return
	}
	for _, u := range b.order {
		b.add(u)
	}
	for address := range b.outside {
		b.add(b.upstreams[address])
	}
}

// add adds an upstream to the sums.
func (b *Bounder) add(u *upstream) {
	b.slots += u.limit()
	b.load += u.ownRequests + u.otherRequests
}

// markOutside finds the upstreams outside the pool.
func (b *Bounder) markOutside() {
	for address, u := range b.upstreams {
		if u.row == nil {
			b.outside[address] = true
		}
	}
}

// removeOutside removes the upstreams outside the pool on which no request of this router runs.
func (b *Bounder) removeOutside() {
	for address := range b.outside {
		if b.upstreams[address].ownRequests == 0 {
			delete(b.upstreams, address)
			delete(b.outside, address)
		}
	}
}

// setOrder sets the order in which upstreams are reported.
func (b *Bounder) setOrder(p *kingcuphook.Pool) {
	old, i := b.order, 0
	b.order, b.next = make([]*upstream, 0, len(p.Upstreams())), 0
	for _, row := range p.Upstreams() {
		for i < len(old) && old[i].row == nil {
			i++ // it has left the pool
		}
		if i < len(old) && old[i].row == row {
			b.order = append(b.order, old[i])
			i++
		} else {
			b.order = append(b.order, b.upstream(row.Address()))
		}
	}
}

// find returns the upstream with the address. Reports come in the order of the pool, so that the next
// upstream is found without a look-up.
func (b *Bounder) find(address string) *upstream {
	if b.next >= len(b.order) {
		b.next = 0
	}
	if b.next < len(b.order) && b.order[b.next].row.Address() == address {
		b.next++
		return b.order[b.next-1]
	}
	return b.upstream(address)
}

// Free implements kingcuphook.Limiter. It is never less for a higher tier than for a lower one,
// whatever portions are set, since requests of lower tiers would be served first otherwise.
func (b *Bounder) Free(_ time.Time, address string, t kingcuphook.Tier) int {
	u := b.upstream(address)
	free := b.free(u, t)
	if !t.Valid() || b.portions == [kingcuphook.TierCount]float64{} {
		return free
	}
	for lower := t + 1; lower <= kingcuphook.LowestTier; lower++ {
		free = max(free, b.free(u, lower))
	}
	return free
}

// free returns how many requests of the tier may be added by its own portion.
func (b *Bounder) free(u *upstream, t kingcuphook.Tier) int {
	limit := b.limitFor(t, u)
	free := u.vacant(limit)
	sharers := b.sharers()
	if sharers <= 1 {
		return free
	}
	return min(free, max(0, b.share(u, t, limit, sharers)-u.ownRequests))
}

// Vacant returns how many requests of the tier the upstream has room for by what is known
// of all routers, whatever the share of this one.
func (b *Bounder) Vacant(_ time.Time, address string, t kingcuphook.Tier) int {
	u := b.upstream(address)
	return u.vacant(b.limitFor(t, u))
}

// vacant returns how many more requests fit below the limit.
func (u *upstream) vacant(limit float64) int {
	return max(0, int(limit)-u.ownRequests-u.otherRequests)
}

// Started implements kingcuphook.Limiter.
func (b *Bounder) Started(now time.Time, address string, _ *kingcuphook.Request) {
	b.usage.add(now, 1)
	b.upstream(address).ownRequests++
	b.own++
	b.load++
}

// Finished implements kingcuphook.Limiter.
func (b *Bounder) Finished(now time.Time, address string, _ *kingcuphook.Request, _ kingcuphook.Sample) {
	b.usage.add(now, -1)
	b.upstream(address).ownRequests--
	b.own--
	b.load--
}

// Report implements kingcuphook.Limiter. The running requests in the report are
// those of the other routers.
func (b *Bounder) Report(now time.Time, r kingcuphook.LoadReport) {
	u := b.find(r.Upstream())
	b.load += r.Running() - u.otherRequests
	u.otherRequests = r.Running()
	if !r.Made().After(u.reported) {
		return
	}
	b.updateSpeed(now, u)
	b.observeInterval(r.Made())
	u.reported = r.Made()
	u.ownAtReport = u.ownRequests
}

// observeInterval records when a report was made; those of all upstreams have the same time.
func (b *Bounder) observeInterval(made time.Time) {
	if !b.reported.IsZero() && made.After(b.reported) {
		b.interval = min(made.Sub(b.reported), maxInterval)
	}
	b.reported = made
}

func (b *Bounder) upstream(address string) *upstream {
	if u := b.upstreams[address]; u != nil {
		return u
	}
	if b.upstreams == nil {
		b.upstreams = make(map[string]*upstream)
		b.outside = make(map[string]bool)
	}
	u := &upstream{hash: xxhash.Sum64String(address)}
	b.upstreams[address] = u
	b.outside[address] = true
	return u
}
