package attacher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/estimator"
	"github.com/kingcuphook/kingcuphook/gatherer"
)

// speeds holds the learned speeds of the upstreams by pool. It is safe for concurrent use.
type speeds struct {
	mu     sync.Mutex
	byPool map[string]*estimator.Speeds
	// exchangedAt is when samples were last exchanged, arrived when those of the other routers that
	// were last taken over arrived. Only the control loop uses them.
	exchangedAt time.Time
	arrived     map[gatherer.SpeedList]time.Time
	// lists has the list of each pool. Only the control loop uses it.
	lists map[string]poolList
}

// poolList is the identity of the upstreams of a pool.
type poolList struct {
	programs []kingcuphook.Program
	list     gatherer.SpeedList
}

// listOf returns the identity of the upstreams of a pool. It is a hash of all of them, and so is computed only if
// they have changed.
func (s *speeds) listOf(pool string, programs []kingcuphook.Program) gatherer.SpeedList {
	l, ok := s.lists[pool]
	if ok && slices.Equal(l.programs, programs) {
		return l.list
	}
	if s.lists == nil || len(s.lists) >= maxSpeedLists {
		s.lists = make(map[string]poolList)
	}
	l = poolList{programs: programs, list: gatherer.SpeedListOf(pool, programs)}
	s.lists[pool] = l
	return l.list
}

// ofPool returns the speeds of a pool.
func (s *speeds) ofPool(pool string) *estimator.Speeds {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byPool == nil {
		s.byPool = make(map[string]*estimator.Speeds)
	}
	if s.byPool[pool] == nil {
		s.byPool[pool] = &estimator.Speeds{}
	}
	return s.byPool[pool]
}

// all returns the speeds by pool.
func (s *speeds) all() map[string]*estimator.Speeds {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.byPool)
}

// uneven returns how many upstreams differ from the mean of their pool.
func (s *speeds) uneven() int {
	n := 0
	for _, p := range s.all() {
		n += p.Uneven()
	}
	return n
}

// exchangeSpeeds sends the samples of this router if it is time to, and takes over those of the
// others.
func (a *Attacher) exchangeSpeeds(ctx context.Context) {
	pools := a.speeds.all()
	a.control.do(ctx, func(now time.Time) {
		g := &a.control.loads
		if !g.SpeedsDue(now) && now.Sub(a.speeds.exchangedAt) < speedsInterval {
			return
		}
		a.speeds.exchangedAt = now
		own := make(map[gatherer.SpeedList][]estimator.SpeedSamples)
		for _, name := range slices.Sorted(maps.Keys(pools)) {
			programs, samples := pools[name].Own(now)
			list := a.speeds.listOf(name, programs)
			own[list] = samples
			a.speeds.takeOver(now, g, pools[name], programs, list)
		}
		if g.SpeedsDue(now) {
			a.control.sendAll(g.TickSpeeds(now, own, a.control.peers.byDataCentre()))
		}
	})
}

// takeOver passes the samples of the other routers to the speeds of a pool, once.
func (s *speeds) takeOver(now time.Time, g *gatherer.Gatherer, pool *estimator.Speeds, programs []kingcuphook.Program, list gatherer.SpeedList) {
	samples, at, ok := g.SharedSpeeds(now, list)
	if !ok || s.arrived[list].Equal(at) {
		return
	}
	if s.arrived == nil || len(s.arrived) > maxSpeedLists {
		s.arrived = make(map[gatherer.SpeedList]time.Time)
	}
	s.arrived[list] = at
	pool.SetShared(at, programs, samples)
}

// speedsInterval is how often the samples of other routers are taken over.
const speedsInterval = time.Second

// maxSpeedLists bounds the lists of upstreams for which the arrival of samples is kept.
const maxSpeedLists = 64
