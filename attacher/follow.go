package attacher

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/delegator"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/pauser"
	"github.com/kingcuphook/kingcuphook/watcher"
)

const (
	// minWatchWait and maxWatchWait bound how long the store holds a watch call without a
	// change.
	minWatchWait = 2 * time.Second
	maxWatchWait = 15 * time.Second
	// watchWaitPerRouter is how much each router that follows the store adds to the
	// longest such time. With more of them, each call may be held longer: if their
	// connections are dead, one of the routers still detects it soon, and the newer
	// revision in its digests makes the others request the changes that they missed.
	watchWaitPerRouter = 600 * time.Millisecond
	// minBatchDelay and maxBatchDelay bound the delay between a change and the next watch
	// call, in which further changes are batched. batchDelayPerRouter is how much each router
	// that follows the store adds to it.
	minBatchDelay       = 300 * time.Millisecond
	maxBatchDelay       = 1200 * time.Millisecond
	batchDelayPerRouter = 8 * time.Millisecond
	// minRetryLimit and maxRetryLimit bound the upper limit of the retry delay while the
	// store is unavailable. All routers retry then, and one that succeeds serves its
	// data centre.
	minRetryLimit = 1200 * time.Millisecond
	maxRetryLimit = 8 * time.Second
	// minDiscovery and maxDiscovery bound how long a starting router waits to discover
	// others before it decides whether to follow the store. The discovery ends once no
	// new router was seen for discoveryQuiet, which is checked each discoveryPoll.
	minDiscovery   = 700 * time.Millisecond
	maxDiscovery   = 3 * time.Second
	discoveryQuiet = 500 * time.Millisecond
	discoveryPoll  = 100 * time.Millisecond
	// minFollow is the shortest time for which a router follows the store once it
	// has started to, and followJitter the bound of a random addition to it.
	minFollow    = 2 * time.Second
	followJitter = time.Second
	// roleInterval is how often a router that follows the store checks whether it
	// still has to.
	roleInterval = 500 * time.Millisecond
	// pullWait is how long a delegate holds a request before it answers that there
	// are no changes.
	pullWait = time.Second
	// pullRetryDelay is the delay after a failed request to a delegate.
	pullRetryDelay = 50 * time.Millisecond
)

// role is the way in which a router gets the changes of the store.
type role struct {
	// follows is true if this router follows the store itself.
	follows bool
	// delegates are the other routers of the data centre that follow the store.
	delegates []netip.Addr
	// revision is the store revision that this router has, pullAfter the one after which
	// it needs updates from peers.
	revision, pullAfter int64
	// joined is when a new router was last seen.
	joined time.Time
}

// follow passes changes of the store to the control loop until ctx ends. It gets them
// from the store itself, or from the delegates of the data centre, which follow it. If
// no delegate answers, it follows the store itself.
func (a *Attacher) follow(ctx context.Context) {
	// Routers start with random delegates to balance the load between them.
	next := rand.N(delegator.Count)
	failed := 0
	a.discover(ctx)
	for ctx.Err() == nil {
		r := a.control.role(ctx)
		if r.follows || failed >= len(r.delegates) {
			a.followStore(ctx, r)
			failed = 0
			continue
		}
		if a.pullFrom(ctx, r, r.delegates[next%len(r.delegates)]) {
			failed = 0
			continue
		}
		next++
		failed++
		pauser.Pause(ctx, pullRetryDelay)
	}
}

// discover reads the store once and waits until the other routers are discovered.
func (a *Attacher) discover(ctx context.Context) {
	begun := time.Now()
	reading, read := context.WithDeadline(ctx, begun.Add(maxDiscovery))
	defer read()
	w := &watcher.Watcher{Store: a.store, OnEvent: func(e watcher.Event) {
		a.control.handleStoreEvent(e)
		if e.Kind == watcher.EventSnapshot {
			read()
		}
	}}
	w.Run(reading)
	for pauser.Pause(ctx, discoveryPoll) {
		now := time.Now()
		quiet := now.Sub(begun) >= minDiscovery && now.Sub(a.control.role(ctx).joined) >= discoveryQuiet
		if quiet || now.Sub(begun) >= maxDiscovery {
			return
		}
	}
}

// followStore follows the store until this router no longer has to or ctx ends.
func (a *Attacher) followStore(ctx context.Context, r role) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// One watch of all keys is cheaper than several with prefixes, because the store
	// has few keys that routers don't need.
	w := &watcher.Watcher{
		Store: a.store, OnEvent: a.control.handleStoreEvent, After: r.revision,
		WatchWait: a.watchWait, BatchDelay: a.batchDelay, MaxRetryDelay: a.maxRetryDelay,
	}
	a.Log.Log(logger.StoreWatchStarted, "delegate", r.follows, "delegates", len(r.delegates), "revision", r.revision)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	begun := time.Now()
	least := begun.Add(minFollow + rand.N(followJitter))
	ticker := time.NewTicker(roleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			if now.Before(least) || a.control.role(ctx).follows {
				continue
			}
			cancel()
			<-done
			a.Log.Log(logger.StoreWatchStopped, "followed-ms", now.Sub(begun).Milliseconds())
			return
		}
	}
}

// pullFrom requests changes from a delegate, which holds the request until there are
// some, and reports whether the delegate answered.
func (a *Attacher) pullFrom(ctx context.Context, r role, delegate netip.Addr) bool {
	address := a.Settings.PeerAddressOf(delegate)
	payload, err := a.control.pull.Pull(ctx, address, r.pullAfter, pullWait)
	if ctx.Err() != nil {
		return false
	}
	a.control.do(ctx, func(now time.Time) { a.control.handlePulled(now, address, payload, err) })
	return err == nil || errors.Is(err, kingcuphook.ErrNotFound)
}

// handlePulled handles the answer of a delegate.
func (c *control) handlePulled(now time.Time, peer string, payload []byte, err error) {
	if err != nil && !errors.Is(err, kingcuphook.ErrNotFound) {
		c.a.Log.Log(logger.PeerFailed, "peer", peer, "error", err)
		return
	}
	c.storeAvailable(now)
	if err == nil {
		c.importFrom(now, peer, payload)
	}
}

// role returns the current role of this router, and that of one without delegates if ctx has
// ended.
func (c *control) role(ctx context.Context) role {
	var r role
	done := c.do(ctx, func(now time.Time) {
		r = role{follows: c.delegator.Follows(now), revision: c.store.Revision(), pullAfter: c.pullAfter(), joined: c.peers.joined}
		for _, a := range c.delegator.Delegates(now) {
			if a != c.self {
				r.delegates = append(r.delegates, a)
			}
		}
	})
	if !done {
		return role{}
	}
	return r
}

// countFollowing returns about how many routers follow the store.
func (a *Attacher) countFollowing() int64 {
	return min(a.routers.Load(), int64(delegator.Count*len(a.Settings.Regions())))
}

// batchDelay returns the delay between a change and the next watch call, in which
// further changes are batched.
func (a *Attacher) batchDelay() time.Duration {
	return min(minBatchDelay+time.Duration(a.countFollowing())*batchDelayPerRouter, maxBatchDelay)
}

// watchWait returns how long the store may hold the next watch call without a change.
// It is random, because all routers get a change at the same time. With equal waits,
// their next watch calls would also end at the same time.
func (a *Attacher) watchWait() time.Duration {
	most := min(max(time.Duration(a.countFollowing())*watchWaitPerRouter, 2*minWatchWait), maxWatchWait)
	return minWatchWait + rand.N(most-minWatchWait)
}

// maxRetryDelay returns the upper limit of the retry delay of a watch.
func (a *Attacher) maxRetryDelay() time.Duration {
	share := float64(a.routers.Load()) / float64(max(a.countFollowing(), 1))
	return min(max(minRetryLimit, time.Duration(share*float64(minRetryLimit))), maxRetryLimit)
}
