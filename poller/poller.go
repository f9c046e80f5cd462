// Package poller schedules the polls of upstreams for their load and cache events. The
// rate is bounded, so that the cost for a process does not grow with the number of
// upstreams.
package poller

import (
	"container/heap"
	"time"
)

// Defaults of Poller.
const (
	defaultRate     = 4
	defaultInterval = time.Second
	// maxBurst bounds the number of polls at once after an idle period.
	maxBurst = 8
)

// Poller selects the upstreams whose last report is oldest. It is used by one goroutine
// at a time; the times passed in must not decrease.
type Poller struct {
	// Rate bounds the polls per second; 0 means 4.
	Rate float64
	// Interval is the minimum time between two polls of one upstream; 0 means 1 s.
	Interval time.Duration

	// byAddress holds all upstreams; queue holds the same ones as a heap ordered by
	// lastContact.
	byAddress map[string]*target
	queue     targets
	// tokens is the number of polls that the rate limit allowed at refilledAt.
	tokens     float64
	refilledAt time.Time
}

// target is the state of one upstream.
type target struct {
	address string
	// lastContact is when the upstream was last polled or reported by itself.
	lastContact time.Time
	// index is the position in the heap.
	index int
}

// Update sets the addresses of the current upstreams.
func (p *Poller) Update(addresses []string) {
	wanted := make(map[string]bool, len(addresses))
	if p.byAddress == nil {
		p.byAddress = make(map[string]*target)
	}
	for _, a := range addresses {
		wanted[a] = true
		if p.byAddress[a] == nil {
			t := &target{address: a}
			p.byAddress[a] = t
			heap.Push(&p.queue, t)
		}
	}
	for a, t := range p.byAddress {
		if !wanted[a] {
			heap.Remove(&p.queue, t.index)
			delete(p.byAddress, a)
		}
	}
}

// RecordReport records that an upstream reported by itself, which postpones its next poll.
func (p *Poller) RecordReport(now time.Time, address string) {
	t := p.byAddress[address]
	if t == nil {
		return
	}
	t.lastContact = now
	heap.Fix(&p.queue, t.index)
}

// Next returns the upstreams to poll now and counts them as polled.
func (p *Poller) Next(now time.Time) []string {
	p.refill(now)
	interval := p.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	var due []string
	for p.tokens >= 1 && len(p.queue) > 0 && now.Sub(p.queue[0].lastContact) >= interval {
		t := p.queue[0]
		t.lastContact = now
		heap.Fix(&p.queue, 0)
		due = append(due, t.address)
		p.tokens--
	}
	return due
}

func (p *Poller) refill(now time.Time) {
	rate := p.Rate
	if rate == 0 {
		rate = defaultRate
	}
	if p.refilledAt.IsZero() {
		p.tokens = maxBurst
	}
	p.tokens = min(p.tokens+rate*now.Sub(p.refilledAt).Seconds(), maxBurst)
	p.refilledAt = now
}

// targets is a heap with the upstream that was contacted least recently first.
type targets []*target

func (t targets) Len() int           { return len(t) }
func (t targets) Less(i, j int) bool { return t[i].lastContact.Before(t[j].lastContact) }

func (t targets) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *targets) Push(x any) {
	e, ok := x.(*target)
	if !ok {
		return
	}
	e.index = len(*t)
	*t = append(*t, e)
}

// Pop implements heap.Interface.
func (t *targets) Pop() any {
	old := *t
	e := old[len(old)-1]
	*t = old[:len(old)-1]
	return e
}
