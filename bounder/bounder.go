// Package bounder bounds the requests on each upstream by the slots that the
// upstream registered, as far as routers know of one another. It answers pools
// whose upstreams queue a little by themselves: what routers send at the same
// moment waits there.
package bounder

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// defaultSlots is the bound of an upstream that registered no slots.
const defaultSlots = 8

// Bounder implements kingcuphook.Limiter for one pool. It is used by one
// goroutine at a time.
type Bounder struct {
	// upstreams has the bound and the load of each address.
	upstreams map[string]*upstream
}

type upstream struct {
	slots int
	// running counts the requests of this router.
	running int
	// others counts those of the other routers, as last heard.
	others int
}

var _ kingcuphook.Limiter = (*Bounder)(nil)

// Update takes the pool in force. An upstream that is gone is forgotten once
// nothing of this router runs there.
func (b *Bounder) Update(_ time.Time, p *kingcuphook.Pool) {
	wanted := make(map[string]bool, len(p.Upstreams()))
	for _, u := range p.Upstreams() {
		wanted[u.Address()] = true
		b.upstream(u.Address()).slots = u.Slots()
	}
	for address, u := range b.upstreams {
		if !wanted[address] && u.running == 0 {
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
	return max(0, slots-u.running-u.others)
}

// Started implements kingcuphook.Limiter.
func (b *Bounder) Started(_ time.Time, address string, _ *kingcuphook.Request) {
	b.upstream(address).running++
}

// Finished implements kingcuphook.Limiter.
func (b *Bounder) Finished(_ time.Time, address string, _ *kingcuphook.Request, _ kingcuphook.Sample) {
	b.upstream(address).running--
}

// Report implements kingcuphook.Limiter. The report tells what the other routers
// have on the upstream.
func (b *Bounder) Report(_ time.Time, r kingcuphook.LoadReport) {
	b.upstream(r.Upstream()).others = r.Running()
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
