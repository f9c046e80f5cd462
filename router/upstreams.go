package router

import (
	"context"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
)

const (
	// vmListInterval is the mean time between two reads of a short list of VMs. A
	// router that has joined its peers reads a longer list less often, and so does
	// one of a larger fleet, so that on average it reads at most
	// vmListBytesPerSecond and all routers together cause at most
	// vmListReadsPerSecond.
	vmListInterval       = 1500 * time.Millisecond
	vmListBytesPerSecond = 512
	vmListReadsPerSecond = 50
	// maxPollsPerSecond limits how many load reports one router requests from
	// upstreams. The routers of a large fleet share fleetPollsPerSecond, but each
	// makes at least minPollsPerSecond.
	maxPollsPerSecond   = 4
	fleetPollsPerSecond = 32
	minPollsPerSecond   = 0.25
	// vmBytes is the approximate encoded size of one VM in the list.
	vmBytes = 44
	// vmListTimeout limits one read of the list of VMs; pollTimeout limits the
	// polling of one upstream.
	vmListTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
)

// listVMs starts a read of the platform's list of VMs when one is due.
func (c *control) listVMs(ctx context.Context, now time.Time) {
	if now.Before(c.nextVMList) {
		return
	}
	interval := vmListInterval
	if c.joined {
		interval = max(interval,
			time.Duration(c.gossip.Count(now))*time.Second/vmListReadsPerSecond,
			time.Duration(c.vmCount)*vmBytes*time.Second/vmListBytesPerSecond)
	}
	c.nextVMList = now.Add(interval/2 + time.Duration(c.rand.Int64N(int64(interval))))
	go func() {
		ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
		defer cancel()
		vms, err := c.router.platform.VMs(ctx)
		if err != nil {
			return
		}
		c.send(func(now time.Time) { c.applyVMs(now, vms) })
	}()
}

// applyVMs splits the list of VMs into routers, which become hints for finding
// peers, and upstreams. It records which upstreams are leaving and passes changes
// of that to the schedulers.
func (c *control) applyVMs(now time.Time, vms []kingcuphook.VM) {
	c.vmCount = len(vms)
	var routers []kingcuphook.VM
	previous := c.leaving
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
		if !previous[a] {
			c.router.Log.Log(logger.UpstreamLeaving, "upstream", a, "source", "vm-list")
			c.recordReport(now, c.reportOf(a, now))
		}
	}
	for a := range previous {
		if !c.leaving[a] && c.upstreams[a] != nil {
			c.recordReport(now, c.reportOf(a, now))
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

// onReport records a load report that came with an answer, which postpones the
// next poll of its upstream.
func (c *control) onReport(l kingcuphook.LoadReport) {
	c.send(func(now time.Time) {
		c.poller.RecordReport(now, l.Upstream())
		c.usedSincePoll[l.Upstream()] = true
		c.recordReport(now, l)
	})
}

// onNotice handles the notice that an upstream sent with an answer to a request that was
// sent at sentAt: a rate limit, a pause in new work, or that the upstream is leaving.
func (c *control) onNotice(u *kingcuphook.Upstream, n kingcuphook.Notice, sentAt time.Time) {
	c.router.permits.Observe(time.Now(), u.Program(), n.RateLimit(), sentAt)
	if n.Pause() > 0 {
		c.router.Log.Log(logger.UpstreamPaused, "upstream", u.Address(), "source", "answer", "rest-ms", n.Pause().Milliseconds())
		c.router.allocator.Pause(u.Program(), n.Pause())
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
		c.recordReport(now, asLeaving(last, now))
	})
}

// asLeaving returns a copy of l with the given time that marks the upstream as
// leaving.
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

// recordReport passes a report to the schedulers unless a newer one is recorded.
// An upstream that is leaving according to the list of VMs is marked as leaving
// whatever its report states.
func (c *control) recordReport(_ time.Time, l kingcuphook.LoadReport) {
	if old, ok := c.reports[l.Upstream()]; ok && old.Made().After(l.Made()) {
		return
	}
	c.reports[l.Upstream()] = l
	if c.leaving[l.Upstream()] && !l.Leaving() {
		l = asLeaving(l, l.Made())
	}
	c.router.allocator.Report(l)
}

// pollUpstreams requests load reports from the upstreams that are due, and cache
// events from those engines that have answered this router since the last poll. An
// upstream with a rate limit is not polled; it can report its load with its answers.
func (c *control) pollUpstreams(ctx context.Context, now time.Time) {
	for _, address := range c.poller.Next(now) {
		u := c.upstreams[address]
		if c.router.permits.IsLimited(u.Program()) {
			continue
		}
		after := c.lastSequences[address]
		withEvents := c.usedSincePoll[address] && u.Kind() == kingcuphook.UpstreamKindEngine
		delete(c.usedSincePoll, address)
		go c.pollUpstream(ctx, u, after, withEvents)
	}
}

func (c *control) pollUpstream(ctx context.Context, u *kingcuphook.Upstream, after int64, withEvents bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	l, err := c.router.upstreams.Load(ctx, u)
	if err != nil {
		return
	}
	c.send(func(now time.Time) { c.recordReport(now, l) })
	if !withEvents {
		return
	}
	events, err := c.router.upstreams.Events(ctx, u, after)
	if err != nil || len(events) == 0 {
		return
	}
	c.send(func(time.Time) { c.applyCacheEvents(u.Address(), events) })
}

func (c *control) applyCacheEvents(address string, events []kingcuphook.CacheEvent) {
	for _, e := range events {
		if e.Sequence() <= c.lastSequences[address] {
			continue
		}
		c.lastSequences[address] = e.Sequence()
		c.router.allocator.Cached(e)
	}
}
