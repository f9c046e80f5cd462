// Package poller decides which upstreams are asked for their load and cache
// events, and when, so that the cost for a router does not grow with the number
// of upstreams.
package poller

import (
	"container/heap"
	"time"
)

// Defaults of Poller.
const (
	defaultRate     = 4
	defaultInterval = time.Second
	// maxBurst bounds what is asked at once after a pause.
	maxBurst = 8
)

// Poller picks the upstreams whose last report is oldest. It is used by one
// goroutine at a time; time is passed in and never falls.
type Poller struct {
	// Rate bounds the questions a second; 0 means 4.
	Rate float64
	// Interval is the least time between two questions to one upstream; 0 means
	// 1 s.
	Interval time.Duration

	// byAddress has every upstream; queue has the same in order of heard.
	byAddress map[string]*target
	queue     targets
	// credit is how many questions may be asked, as of refilled.
	credit   float64
	refilled time.Time
}

type target struct {
	address string
	// heard is when the upstream was last asked or reported by itself.
	heard time.Time
	index int
}

// Update takes the addresses of the upstreams in force.
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

// Heard tells that an upstream reported by itself; it need not be asked soon.
func (p *Poller) Heard(now time.Time, address string) {
	t := p.byAddress[address]
	if t == nil {
		return
	}
	t.heard = now
	heap.Fix(&p.queue, t.index)
}

// Next returns the upstreams to be asked now.
func (p *Poller) Next(now time.Time) []string {
	p.refill(now)
	interval := p.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	var due []string
	for p.credit >= 1 && len(p.queue) > 0 && now.Sub(p.queue[0].heard) >= interval {
		t := p.queue[0]
		t.heard = now
		heap.Fix(&p.queue, 0)
		due = append(due, t.address)
		p.credit--
	}
	return due
}

func (p *Poller) refill(now time.Time) {
	rate := p.Rate
	if rate == 0 {
		rate = defaultRate
	}
	if p.refilled.IsZero() {
		p.credit = maxBurst
	}
	p.credit = min(p.credit+rate*now.Sub(p.refilled).Seconds(), maxBurst)
	p.refilled = now
}

// targets is a heap, the upstream heard of longest ago first.
type targets []*target

func (t targets) Len() int           { return len(t) }
func (t targets) Less(i, j int) bool { return t[i].heard.Before(t[j].heard) }

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
