package router

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/follower"
	"github.com/kingcuphook/kingcuphook/logger"
)

// joinTimeout is how long a router without an answer of any peer waits before it
// is ready.
const joinTimeout = 5 * time.Second

// takeTables hands the tables in force to the schedulers and to the peers.
func (c *control) takeTables(now time.Time) {
	s := c.router.follower.Current()
	source := c.source
	c.source = ""
	if s.Revision() == c.revision {
		return
	}
	c.revision = s.Revision()
	c.router.allocator.Update(s.Tables())
	c.gossip.SetRevision(now, s.Revision(), source)
	c.untold = true
	c.takeUpstreams(s.Tables())
}

// becomeReady makes the router ready once it has tables and has joined its
// peers: it then knows of their suspects, and they tell it of new ones.
func (c *control) becomeReady(now time.Time) {
	if c.begun.IsZero() {
		c.begun = now
	}
	if c.revision == 0 || !c.joined && now.Sub(c.begun) < joinTimeout || c.router.stopping.Load() {
		return
	}
	if c.router.ready.CompareAndSwap(false, true) {
		c.router.Log.Log(logger.Ready, "revision", c.revision)
	}
}

func (c *control) takeUpstreams(t *kingcuphook.Tables) {
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
	c.poll.Update(addresses)
	for a := range c.reports {
		if c.upstreams[a] == nil {
			delete(c.reports, a)
			delete(c.sequences, a)
			delete(c.used, a)
		}
	}
}

// watches reports whether this router watches the store.
func (c *control) watches() bool { return c.view.Load().watches }

// inForce returns the newest state of the tables known here, and whether a
// router of every region has told its revision and none told a higher one.
func (c *control) inForce() (*differ.Snapshot, bool) {
	s := c.router.follower.Current()
	heard := make(map[string]bool)
	for _, m := range c.view.Load().members {
		if m.Revision() > s.Revision() {
			return s, false
		}
		heard[m.Region()] = heard[m.Region()] || m.Revision() > 0 && m.Reachable()
	}
	for _, h := range heard {
		if !h {
			return s, false
		}
	}
	return s, true
}

// tablesEvent logs what happens to the tables.
func (c *control) tablesEvent(e follower.Event) {
	log := c.router.Log
	switch e.Kind {
	case follower.EventApplied:
		log.Log(logger.TablesApplied, "revision", e.InForce, "source", e.Source)
	case follower.EventForked:
		log.Log(logger.TablesForked, "revision", e.InForce, "source", e.Source)
	case follower.EventStoreOlder:
		log.Log(logger.TablesOlder, "in-force", e.InForce, "store", e.Seen)
	case follower.EventRefused:
		log.Log(logger.TablesRejected, "in-force", e.InForce, "source", e.Source, "error", e.Err)
	case follower.EventStoreFailed:
		log.Log(logger.StoreUnavailable, "error", e.Err)
	case follower.EventStoreBack:
		log.Log(logger.StoreAvailable)
	}
	c.send(c.takeTables)
}
