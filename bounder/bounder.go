// Package bounder limits the requests on each upstream to the slots that the
// upstream registered. The load of other routers is known only from reports, so the
// limit may be exceeded for a moment. It suits pools whose upstreams have a short
// queue of their own for requests that routers send at the same time.
package bounder

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// defaultSlots is the limit for an upstream that registered no slots.
const defaultSlots = 8

// Bounder implements kingcuphook.Limiter for one pool. It must be used by one
// goroutine at a time.
type Bounder struct {
	// upstreams holds the limit and the load of each upstream by address.
	upstreams map[string]*upstream
}

type upstream struct {
	slots int
	// ownRequests counts the requests of this router.
	ownRequests int
	// otherRequests counts those of the other routers according to the last report.
	otherRequests int
}

var _ kingcuphook.Limiter = (*Bounder)(nil)

// Update applies the current revision of the pool. An upstream that is no longer
// in the pool is removed once no request of this router runs there.
func (b *Bounder) Update(_ time.Time, p *kingcuphook.Pool) {
	wanted := make(map[string]bool, len(p.Upstreams()))
	for _, u := range p.Upstreams() {
		wanted[u.Address()] = true
		b.upstream(u.Address()).slots = u.Slots()
	}
	for address, u := range b.upstreams {
		if !wanted[address] && u.ownRequests == 0 {
			delete(b.upstreams, address)
		}
	}
}

// Free implements kingcuphook.Limiter.
func (b *Bounder) Free(_ time.Time, address string, _ kingcuphook.Tier) int {
	u := b.upstream(address)
	slots := u.slots
	if slots == 0 {
		slots = defaultSlots
	}
	return max(0, slots-u.ownRequests-u.otherRequests)
}

// Started implements kingcuphook.Limiter.
func (b *Bounder) Started(_ time.Time, address string, _ *kingcuphook.Request) {
	b.upstream(address).ownRequests++
}

// Finished implements kingcuphook.Limiter.
func (b *Bounder) Finished(_ time.Time, address string, _ *kingcuphook.Request, _ kingcuphook.Sample) {
	b.upstream(address).ownRequests--
}

// Report implements kingcuphook.Limiter. The running requests in the report are
// those of the other routers.
func (b *Bounder) Report(_ time.Time, r kingcuphook.LoadReport) {
	b.upstream(r.Upstream()).otherRequests = r.Running()
}

func (b *Bounder) upstream(address string) *upstream {
	if u := b.upstreams[address]; u != nil {
		return u
	}
	if b.upstreams == nil {
		b.upstreams = make(map[string]*upstream)
	}
	u := &upstream{}
	b.upstreams[address] = u
	return u
}
