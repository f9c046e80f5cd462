package permitter

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// cautionTime is how long a router that has started uses only its share of the slots of the
// upstreams that have not answered it yet, since they may be brittle.
const cautionTime = 1500 * time.Millisecond

// cautious reports whether this router has just started and the upstream, which may be brittle,
// has not answered it. The caller holds mu.
func (p *Permitter) cautious(now time.Time, program kingcuphook.Program) bool {
	if !p.caution.Load() {
		return false
	}
	if now.Sub(p.started) >= cautionTime {
		p.caution.Store(false)
		p.answered = nil
		return false
	}
	return p.places[program] == nil && !p.answered[program]
}

// recordAnswer records that an upstream has answered this router. The caller holds mu.
func (p *Permitter) recordAnswer(program kingcuphook.Program) {
	if !p.caution.Load() {
		return
	}
	if p.answered == nil {
		p.answered = make(map[kingcuphook.Program]bool)
	}
	p.answered[program] = true
}

// cautiousState returns what requests to an upstream that has not answered yet can get: the
// slots are shared by all routers in the order of rendezvous hashing. The caller holds mu.
func (p *Permitter) cautiousState(program kingcuphook.Program) kingcuphook.PermitState {
	s := kingcuphook.PermitState{Limited: true, Bounded: true, NextRequest: p.started.Add(cautionTime)}
	u := p.upstreamByKey(program.Key())
	if u == nil || u.Slots() == 0 || len(p.routers) == 0 {
		return kingcuphook.PermitState{}
	}
	share := u.Slots() / len(p.routers)
	if p.position(program.Key()) < u.Slots()%len(p.routers) {
		share++
	}
	s.Held = max(share-p.running[program], 0)
	return s
}

// position returns the position of this router among all by rendezvous hashing of a key.
func (p *Permitter) position(key uint64) int {
	position, own := 0, score(key, p.Self)
	for _, address := range p.routers {
		if score(key, address) > own {
			position++
		}
	}
	return position
}
