package router

import (
	"context"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
)

const (
	// vmListInterval is the mean time between two reads of a short list of VMs. A
	// longer list is read less often, so that it costs a router vmListBytes a
	// second and the platform, together, vmListReads a second.
	vmListInterval = 1500 * time.Millisecond
	vmListBytes    = 512
	vmListReads    = 50
	// questionsPerSecond bounds the questions to upstreams of a small fleet. The
	// routers of a larger one share fleetQuestions a second, but each keeps
	// leastQuestions.
	questionsPerSecond = 4
	fleetQuestions     = 32
	leastQuestions     = 0.25
	// vmBytes is the size of one VM in the list.
	vmBytes = 44
	// vmListTimeout and questionTimeout bound one call.
	vmListTimeout   = 5 * time.Second
	questionTimeout = 2 * time.Second
)

// listVMs reads the platform's list now and then.
func (c *control) listVMs(ctx context.Context, now time.Time) {
	if now.Before(c.nextList) {
		return
	}
	interval := vmListInterval
	if c.joined {
		interval = max(interval,
			time.Duration(c.gossip.Count(now))*time.Second/vmListReads,
			time.Duration(c.listed)*vmBytes*time.Second/vmListBytes)
	}
	c.nextList = now.Add(interval/2 + time.Duration(c.rand.Int64N(int64(interval))))
	go func() {
		ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
		defer cancel()
		vms, err := c.router.platform.VMs(ctx)
		if err != nil {
			return
		}
		c.send(func(now time.Time) { c.takeVMs(now, vms) })
	}()
}

// takeVMs splits the list into routers and upstreams.
func (c *control) takeVMs(now time.Time, vms []kingcuphook.VM) {
	c.listed = len(vms)
	var routers []kingcuphook.VM
	left := c.leaving
	c.leaving = make(map[string]bool)
	for _, vm := range vms {
		u := c.upstreams[vm.Address()]
		if u == nil {
			routers = append(routers, vm)
			continue
		}
		if vm.State() == kingcuphook.VMStateLeaving {
			c.leaving[vm.Address()] = true
		}
	}
	c.gossip.SetHints(now, routers)
	if len(routers) == 0 || len(routers) == 1 && routers[0].Address() == c.gossip.Address {
		c.joined = true
	}
	for a := range c.leaving {
		if !left[a] {
			c.router.Log.Log(logger.UpstreamLeaving, "upstream", a, "source", "vm-list")
			c.takeReport(now, c.reportOf(a, now))
		}
	}
	for a := range left {
		if !c.leaving[a] && c.upstreams[a] != nil {
			c.takeReport(now, c.reportOf(a, now))
		}
	}
}

// reportOf returns the last report of an upstream, or an empty one.
func (c *control) reportOf(address string, now time.Time) kingcuphook.LoadReport {
	if l, ok := c.reports[address]; ok {
		return l
	}
	return kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: address, Made: now})
}

// reported takes a report that came with an answer.
func (c *control) reported(l kingcuphook.LoadReport) {
	c.send(func(now time.Time) {
		c.poll.RecordReport(now, l.Upstream())
		c.used[l.Upstream()] = true
		c.takeReport(now, l)
	})
}

// noticed takes what an upstream says of itself with an answer.
func (c *control) noticed(u *kingcuphook.Upstream, n kingcuphook.Notice) {
	if n.Rest() > 0 {
		c.router.Log.Log(logger.UpstreamRests, "upstream", u.Address(), "source", "answer", "rest-ms", n.Rest().Milliseconds())
		c.router.allocator.Pause(u.Program(), n.Rest())
	}
	if !n.Leaving() {
		return
	}
	c.send(func(now time.Time) {
		last := c.reportOf(u.Address(), now)
		if last.Leaving() || c.upstreams[u.Address()] == nil {
			return
		}
		c.router.Log.Log(logger.UpstreamLeaving, "upstream", u.Address(), "source", "answer")
		c.takeReport(now, asLeaving(last, now))
	})
}

// asLeaving returns a report that says besides that the upstream leaves.
func asLeaving(l kingcuphook.LoadReport, made time.Time) kingcuphook.LoadReport {
	return kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{
		Upstream:     l.Upstream(),
		Made:         made,
		Running:      l.Running(),
		Queued:       l.Queued(),
		QueuedTokens: l.QueuedTokens(),
		CachedTokens: l.CachedTokens(),
		Leaving:      true,
	})
}

// takeReport hands a report to the schedulers. An upstream that the list of VMs
// calls leaving is leaving whatever it says itself.
func (c *control) takeReport(_ time.Time, l kingcuphook.LoadReport) {
	if old, ok := c.reports[l.Upstream()]; ok && old.Made().After(l.Made()) {
		return
	}
	c.reports[l.Upstream()] = l
	if c.leaving[l.Upstream()] && !l.Leaving() {
		l = asLeaving(l, l.Made())
	}
	c.router.allocator.Report(l)
}

// ask asks the upstreams that are due for their load, and those that this router
// has used since for their cache events.
func (c *control) ask(ctx context.Context, now time.Time) {
	for _, address := range c.poll.Next(now) {
		u := c.upstreams[address]
		after := c.sequences[address]
		withEvents := c.used[address] && u.Kind() == kingcuphook.UpstreamKindEngine
		delete(c.used, address)
		go c.askOne(ctx, u, after, withEvents)
	}
}

func (c *control) askOne(ctx context.Context, u *kingcuphook.Upstream, after int64, withEvents bool) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	l, err := c.router.upstreams.Load(ctx, u)
	if err != nil {
		return
	}
	c.send(func(now time.Time) { c.takeReport(now, l) })
	if !withEvents {
		return
	}
	events, err := c.router.upstreams.Events(ctx, u, after)
	if err != nil || len(events) == 0 {
		return
	}
	c.send(func(time.Time) { c.takeEvents(u.Address(), events) })
}

func (c *control) takeEvents(address string, events []kingcuphook.CacheEvent) {
	for _, e := range events {
		if e.Sequence() <= c.sequences[address] {
			continue
		}
		c.sequences[address] = e.Sequence()
		c.router.allocator.Cached(e)
	}
}
