// Package tallier counts the load of a router on each upstream, and derives load
// reports about the other routers from the sum over all routers.
package tallier

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Tally is an allocator that counts the acquired slots of one router by upstream. Its
// exported field is set before use. It is safe for concurrent use.
type Tally struct {
	// Next is the allocator whose slots are counted; never nil.
	Next kingcuphook.Allocator

	mu sync.Mutex
	// own has the loads of this router.
	own Loads
}

var _ kingcuphook.Allocator = (*Tally)(nil)

// Acquire implements kingcuphook.Allocator.
func (t *Tally) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	queue := WaitingKey(r.Pool(), r.Tier())
	t.add(queue, 1, 0)
	s, err := t.Next.Acquire(ctx, r, excluded)
	t.add(queue, -1, 0)
	if err != nil {
		return nil, err
	}
	c := s.Choice()
	counted := &slot{Slot: s, tally: t, key: KeyOf(c.Upstream), prefillTokens: c.UncachedTokens}
	t.add(counted.key, 1, counted.prefillTokens)
	return counted, nil
}

// add changes the load of an upstream by the given differences.
func (t *Tally) add(k Key, running, prefillTokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.own == nil {
		t.own = make(Loads)
	}
	l := t.own[k]
	l.Running += running
	l.PrefillTokens += prefillTokens
	t.own[k] = l
	if l == (Load{}) {
		delete(t.own, k)
	}
}

// slot is a counted slot. It is used by one goroutine.
type slot struct {
	kingcuphook.Slot

	tally *Tally
	key   Key
	// prefillTokens is the number of prompt tokens still to be prefilled.
	prefillTokens int
}

// Progress implements kingcuphook.Slot. The first token shows that the prefill is
// complete.
func (s *slot) Progress(n int) {
	s.finishPrefill(0)
	s.Slot.Progress(n)
}

// Release implements kingcuphook.Slot.
func (s *slot) Release(sample kingcuphook.Sample) {
	s.finishPrefill(-1)
	s.Slot.Release(sample)
}

// finishPrefill ends the prefill, and changes the number of running requests by the
// given difference.
func (s *slot) finishPrefill(running int) {
	if s.prefillTokens != 0 || running != 0 {
		s.tally.add(s.key, running, -s.prefillTokens)
	}
	s.prefillTokens = 0
}

// Own returns a copy of the loads of this router.
func (t *Tally) Own() Loads {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.own)
}

// Sum is the sum of the loads of all routers, as last received.
type Sum struct {
	// Loads are the loads of all routers in the sum, this one included; Own is the part
	// of them that belongs to this router. Several sums may refer to the same maps, which must not be changed.
	Loads, Own Loads
	// Change numbers the versions of Loads: two sums with equal numbers have equal Loads.
	Change int64
	// Included is the number of routers in the sum, this one included and so at least
	// 1; Routers is the number of routers in the fleet.
	Included, Routers int
	// Made is when this router received or computed the sum, by its own clock.
	Made time.Time
}

// Waiting returns how many requests of each tier are queued for the pool at the other routers.
func (s Sum) Waiting(pool string) [kingcuphook.TierCount]int {
	var n [kingcuphook.TierCount]int
	for i := range n {
		key := WaitingKey(pool, kingcuphook.HighestTier+kingcuphook.Tier(i))
		n[i] = max(s.Loads[key].Running-s.Own[key].Running, 0)
	}
	return n
}

// maxScale limits the factor by which a sum over some of the routers is scaled up.
const maxScale = 1.5

// Reports returns the load of the other routers on each upstream of the tables. Routers
// that are missing in the sum are assumed to have the average load of the others, but
// the load is scaled up by at most maxScale.
func (s Sum) Reports(tables *kingcuphook.Tables) []kingcuphook.LoadReport {
	return s.AppendReports(make([]kingcuphook.LoadReport, 0, tables.ProgramCount()), tables)
}

// AppendReports appends the Reports to dst.
func (s Sum) AppendReports(dst []kingcuphook.LoadReport, tables *kingcuphook.Tables) []kingcuphook.LoadReport {
	scale := s.scale()
	for _, p := range tables.Pools() {
		for _, u := range p.Upstreams() {
			running, tokens := s.others(KeyOf(u), scale)
			f := kingcuphook.LoadReportFields{
				Upstream:     u.Address(),
				Made:         s.Made,
				Running:      running,
				QueuedTokens: tokens,
				Leaving:      u.Leaving(),
			}
			if p.KVMemory().Capacity > 0 {
				f.HeldRequests, f.HeldTokens = s.others(HeldKey(u), scale)
			}
			dst = append(dst, kingcuphook.NewLoadReport(f))
		}
	}
	return dst
}

// others returns the requests and tokens of the other routers in the entry of a key, scaled up.
func (s Sum) others(k Key, scale float64) (requests, tokens int) {
	l, own := s.Loads[k], s.Own[k]
	requests = int(float64(max(l.Running-own.Running, 0))*scale + 0.5)
	tokens = int(float64(max(l.PrefillTokens-own.PrefillTokens, 0)) * scale)
	return requests, tokens
}

// Equal reports whether both sums give the same reports for the same tables. It may be false although they do.
func (s Sum) Equal(other Sum) bool {
	return s.Change == other.Change && s.Made.Equal(other.Made) && s.scale() == other.scale() && maps.Equal(s.Own, other.Own)
}

// scale returns the factor by which the loads of the other routers are scaled up for those missing in the sum.
func (s Sum) scale() float64 {
	if s.Included > 1 && s.Routers > s.Included {
		return min(float64(s.Routers-1)/float64(s.Included-1), maxScale)
	}
	return 1
}
