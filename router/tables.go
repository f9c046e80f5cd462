package router

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/follower"
	"github.com/kingcuphook/kingcuphook/logger"
)

// joinTimeout is how long a router waits for a first answer from a peer before it
// becomes ready without one.
const joinTimeout = 5 * time.Second

// applyTables passes a new revision of the tables to the schedulers and to the
// peer exchange.
func (c *control) applyTables(now time.Time) {
	s := c.router.follower.Current()
	source := c.tablesSource
	c.tablesSource = ""
	if s.Revision() == c.revision {
		return
	}
	c.revision = s.Revision()
	c.router.allocator.Update(s.Tables())
	c.router.permits.Update(s.Tables())
	c.gossip.SetRevision(now, s.Revision(), source)
	c.unannounced = true
	c.applyUpstreams(s.Tables())
}

// updateReadiness makes the router ready once it has tables and has joined its
// peers, because only then has it received their suspects and receives new ones.
// After joinTimeout it becomes ready without peers.
func (c *control) updateReadiness(now time.Time) {
	if c.startTime.IsZero() {
		c.startTime = now
	}
	if c.revision == 0 || !c.joined && now.Sub(c.startTime) < joinTimeout || c.router.stopping.Started() {
		return
	}
	if c.router.ready.CompareAndSwap(false, true) {
		c.router.Log.Log(logger.Ready, "revision", c.revision)
	}
}

func (c *control) applyUpstreams(t *kingcuphook.Tables) {
	c.upstreams = make(map[string]*kingcuphook.Upstream)
	var addresses []string
	for _, p := range t.Pools() {
		for _, u := range p.Upstreams() {
			if c.upstreams[u.Address()] == nil {
				addresses = append(addresses, u.Address())
			}
			c.upstreams[u.Address()] = u
		}
	}
	c.poller.Update(addresses)
	for a := range c.reports {
		if c.upstreams[a] == nil {
			delete(c.reports, a)
			delete(c.lastSequences, a)
			delete(c.usedSincePoll, a)
		}
	}
}

// isWatcher reports whether this router is one of those that watch the store for
// their data centre, as of the last published view.
func (c *control) isWatcher() bool { return c.view.Load().isWatcher }

// currentTables returns the newest tables that this router has. The second result
// is true if a reachable router of every known region has reported a revision and
// no router has reported a higher one than this.
func (c *control) currentTables() (*differ.Snapshot, bool) {
	s := c.router.follower.Current()
	reported := make(map[string]bool)
	for _, m := range c.view.Load().members {
		if m.Revision() > s.Revision() {
			return s, false
		}
		reported[m.Region()] = reported[m.Region()] || m.Revision() > 0 && m.Reachable()
	}
	for _, ok := range reported {
		if !ok {
			return s, false
		}
	}
	return s, true
}

// tablesEvent logs an event of the follower and has the control loop apply the
// tables.
func (c *control) tablesEvent(e follower.Event) {
	log := c.router.Log
	switch e.Kind {
	case follower.EventApplied:
		log.Log(logger.TablesApplied, "revision", e.CurrentRevision, "source", e.Source)
	case follower.EventForked:
		log.Log(logger.TablesForked, "revision", e.CurrentRevision, "source", e.Source)
	case follower.EventStoreOlder:
		log.Log(logger.TablesOlder, "in-force", e.CurrentRevision, "store", e.ReceivedRevision)
	case follower.EventRejected:
		log.Log(logger.TablesRejected, "in-force", e.CurrentRevision, "source", e.Source, "error", e.Err)
	case follower.EventStoreFailed:
		log.Log(logger.StoreUnavailable, "error", e.Err)
	case follower.EventStoreRecovered:
		log.Log(logger.StoreAvailable)
	}
	c.send(c.applyTables)
}
