package measurer

import (
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// order is the order in which a baseline dispatches requests.
type order string

// Values of order.
const (
	orderArrival order = "arrival"
	orderTier    order = "tier"
)

// queuedRequest is a request in the queue of a baseline, with the addresses of
// the upstreams that it must not be sent to.
type queuedRequest struct {
	request  *kingcuphook.Request
	excluded []string
}

// baseline is a simple kingcuphook.Scheduler to compare the policy with. It uses
// the upstreams of its own region only, and neither load reports nor cache events.
type baseline struct {
	region string
	order  order
	// roundRobin selects the upstreams in rotation; otherwise the upstream with the
	// fewest requests in flight from this router is selected.
	roundRobin bool
	// limit is the largest number of requests that this router has in flight at one
	// upstream; 0 means no limit.
	limit int

	upstreams []*kingcuphook.Upstream
	inflight  map[string]int
	offset    int
	queue     []queuedRequest
}

var _ kingcuphook.Scheduler = (*baseline)(nil)

// Update implements kingcuphook.Scheduler.
func (b *baseline) Update(_ time.Time, p *kingcuphook.Pool) {
	b.upstreams = nil
	for _, u := range p.Upstreams() {
		if u.Region() == b.region && !u.Leaving() {
			b.upstreams = append(b.upstreams, u)
		}
	}
	b.inflight = make(map[string]int)
}

// Offer implements kingcuphook.Scheduler.
func (b *baseline) Offer(now time.Time, r *kingcuphook.Request) []kingcuphook.Shed {
	return b.Requeue(now, r, nil)
}

// Requeue implements kingcuphook.Scheduler.
func (b *baseline) Requeue(_ time.Time, r *kingcuphook.Request, excluded []string) []kingcuphook.Shed {
	at := len(b.queue)
	for at > 0 && b.before(r, b.queue[at-1].request) {
		at--
	}
	b.queue = slices.Insert(b.queue, at, queuedRequest{request: r, excluded: excluded})
	return nil
}

func (b *baseline) before(x, y *kingcuphook.Request) bool {
	if b.order == orderTier && x.Tier() != y.Tier() {
		return x.Tier() < y.Tier()
	}
	return x.Arrived().Before(y.Arrived())
}

// Cancel implements kingcuphook.Scheduler.
func (b *baseline) Cancel(_ time.Time, id string) bool {
	n := len(b.queue)
	b.queue = slices.DeleteFunc(b.queue, func(w queuedRequest) bool { return w.request.ID() == id })
	return len(b.queue) < n
}

// Assign implements kingcuphook.Scheduler.
func (b *baseline) Assign(now time.Time) ([]kingcuphook.Assignment, []kingcuphook.Shed) {
	var shed []kingcuphook.Shed
	for len(b.queue) > 0 {
		w := b.queue[0]
		if !now.Before(w.request.Deadline()) {
			b.queue = b.queue[1:]
			shed = append(shed, kingcuphook.NewShed(w.request, fmt.Errorf("measurer: %w", kingcuphook.ErrDeadline), 0))
			continue
		}
		u := b.choose(w.excluded)
		if u == nil {
			return nil, shed
		}
		b.queue = b.queue[1:]
		b.inflight[u.Address()]++
		a := kingcuphook.Assignment{Request: w.request, Choice: kingcuphook.Choice{Upstream: u, UncachedTokens: w.request.PromptTokens()}}
		return []kingcuphook.Assignment{a}, shed
	}
	return nil, shed
}

func (b *baseline) choose(excluded []string) *kingcuphook.Upstream {
	var best *kingcuphook.Upstream
	b.offset++
	for i := range b.upstreams {
		u := b.upstreams[(b.offset+i)%len(b.upstreams)]
		n := b.inflight[u.Address()]
		if slices.Contains(excluded, u.Address()) || b.limit > 0 && n >= b.limit {
			continue
		}
		if b.roundRobin {
			return u
		}
		if best == nil || n < b.inflight[best.Address()] {
			best = u
		}
	}
	return best
}

// Progress implements kingcuphook.Scheduler.
func (b *baseline) Progress(time.Time, string, *kingcuphook.Request, int) {}

// Finished implements kingcuphook.Scheduler.
func (b *baseline) Finished(_ time.Time, upstream string, _ *kingcuphook.Request, _ kingcuphook.Sample) {
	b.inflight[upstream]--
}

// Report implements kingcuphook.Scheduler.
func (b *baseline) Report(time.Time, kingcuphook.LoadReport) {}

// Cached implements kingcuphook.Scheduler.
func (b *baseline) Cached(time.Time, kingcuphook.CacheEvent) {}

// Wake implements kingcuphook.Scheduler.
func (b *baseline) Wake(time.Time) time.Time { return time.Time{} }

// Explain implements kingcuphook.Scheduler.
func (b *baseline) Explain(_ time.Time, _ *kingcuphook.Request, dst []kingcuphook.Candidate) []kingcuphook.Candidate {
	return dst
}

// Len implements kingcuphook.Scheduler.
func (b *baseline) Len() int { return len(b.queue) }
