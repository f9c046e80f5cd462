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
	// watchLeast and watchMost bound how long a watch is held without a change.
	watchLeast = 2 * time.Second
	watchMost  = 15 * time.Second
	// watchPerRouter is the part of the longest wait for each router that follows
	// the store: however many they are, one of them soon finds that its connection is
	// dead, and tells the others what it missed.
	watchPerRouter = 600 * time.Millisecond
	// restLeast and restMost bound how long changes are gathered; restPerRouter is
	// the part of it for each router that follows the store.
	restLeast     = 300 * time.Millisecond
	restMost      = 1200 * time.Millisecond
	restPerRouter = 8 * time.Millisecond
	// retryLeast and retryMost bound the longest wait between two trials while the
	// store can't be followed. All routers try then, and one that succeeds serves
	// its data centre.
	retryLeast = 1200 * time.Millisecond
	retryMost  = 8 * time.Second
	// settleLeast and settleMost bound how long a router that has started waits for
	// what others say before it knows whether it should follow the store. It has
	// settled once no other router was new to it for settleQuiet.
	settleLeast = 700 * time.Millisecond
	settleMost  = 3 * time.Second
	settleQuiet = 500 * time.Millisecond
	settlePoll  = 100 * time.Millisecond
	// followLeast is how long a router follows the store at least once it has begun,
	// and followSpread what is added by chance.
	followLeast  = 2 * time.Second
	followSpread = time.Second
	// roleInterval is how often a router that follows the store looks whether it is
	// still one that should.
	roleInterval = 500 * time.Millisecond
	// listenWait is how long a delegate waits for news before it answers that there
	// are none.
	listenWait = time.Second
	// listenPause is the wait after a delegate could not be asked.
	listenPause = 50 * time.Millisecond
)

// role is what a router has to do to know what stands in the store.
type role struct {
	// follows says that it follows the store itself.
	follows bool
	// delegates are the routers that follow it for the data centre.
	delegates []netip.Addr
	// revision is what this router knows of the store, wanted from which on it wants
	// news of a peer.
	revision, wanted int64
	// joined is when another router was new to it last.
	joined time.Time
}

// follow feeds the control loop with what stands in the store: from the store
// itself, or from the routers that follow it for the data centre.
func (a *Attacher) follow(ctx context.Context) {
	// Routers start with different delegates, so that each serves as many.
	next := rand.N(delegator.Count)
	failed := 0
	a.settle(ctx)
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
		pauser.Pause(ctx, listenPause)
	}
}

// settle reads the store once and waits until the other routers are known.
func (a *Attacher) settle(ctx context.Context) {
	begun := time.Now()
	reading, read := context.WithDeadline(ctx, begun.Add(settleMost))
	defer read()
	w := &watcher.Watcher{Store: a.store, OnEvent: func(e watcher.Event) {
		a.control.take(e)
		if e.Kind == watcher.EventSnapshot {
			read()
		}
	}}
	w.Run(reading)
	for pauser.Pause(ctx, settlePoll) {
		now := time.Now()
		quiet := now.Sub(begun) >= settleLeast && now.Sub(a.control.role(ctx).joined) >= settleQuiet
		if quiet || now.Sub(begun) >= settleMost {
			return
		}
	}
}

// followStore follows the store until this router no longer has to.
func (a *Attacher) followStore(ctx context.Context, r role) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The store has few keys that are not for routers, so that one watch of all
	// costs the least.
	w := &watcher.Watcher{
		Store: a.store, OnEvent: a.control.take, After: r.revision,
		Wait: a.watchWait, Rest: a.watchRest, RetryMost: a.watchRetry,
	}
	a.Log.Log(logger.StoreWatchStarted, "delegate", r.follows, "delegates", len(r.delegates), "revision", r.revision)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	begun := time.Now()
	least := begun.Add(followLeast + rand.N(followSpread))
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

// pullFrom waits for news at a delegate and reports whether it could be asked.
func (a *Attacher) pullFrom(ctx context.Context, r role, delegate netip.Addr) bool {
	address := a.Settings.PeerAddressOf(delegate)
	payload, err := a.control.pull.Pull(ctx, address, r.wanted, listenWait)
	if ctx.Err() != nil {
		return false
	}
	a.control.do(ctx, func(now time.Time) { a.control.listened(now, address, payload, err) })
	return err == nil || errors.Is(err, kingcuphook.ErrNotFound)
}

// listened takes the answer of a delegate.
func (c *control) listened(now time.Time, peer string, payload []byte, err error) {
	if err != nil && !errors.Is(err, kingcuphook.ErrNotFound) {
		c.a.Log.Log(logger.PeerFailed, "peer", peer, "error", err)
		return
	}
	c.found(now)
	if err == nil {
		c.importFrom(now, peer, payload)
	}
}

// role returns what this router has to do now.
func (c *control) role(ctx context.Context) role {
	var r role
	c.do(ctx, func(now time.Time) {
		r = role{follows: c.delegator.Follows(now), revision: c.store.Revision(), wanted: c.wanted(), joined: c.peers.joined}
		for _, a := range c.delegator.Delegates(now) {
			if a != c.self {
				r.delegates = append(r.delegates, a)
			}
		}
	})
	return r
}

// watchers returns how many routers follow the store.
func (a *Attacher) watchers() int64 {
	return min(a.routers.Load(), int64(delegator.Count*len(a.Settings.Regions())))
}

// watchRest returns how long changes are gathered before they are asked for again.
func (a *Attacher) watchRest() time.Duration {
	return min(restLeast+time.Duration(a.watchers())*restPerRouter, restMost)
}

// watchWait returns how long the next watch is held without a change. It differs
// between routers, which all see a change at the same time.
func (a *Attacher) watchWait() time.Duration {
	most := min(max(time.Duration(a.watchers())*watchPerRouter, 2*watchLeast), watchMost)
	return watchLeast + rand.N(most-watchLeast)
}

// watchRetry returns the longest wait between two trials to follow the store.
func (a *Attacher) watchRetry() time.Duration {
	share := float64(a.routers.Load()) / float64(max(a.watchers(), 1))
	return min(max(retryLeast, time.Duration(share*float64(retryLeast))), retryMost)
}
