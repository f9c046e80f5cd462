package router

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/exchanger"
	"github.com/kingcuphook/kingcuphook/gossiper"
	"github.com/kingcuphook/kingcuphook/logger"
)

const (
	// pullTimeout bounds a pull of the tables.
	pullTimeout = 10 * time.Second
	// pullTries and pullPause say how a pull that failed is repeated.
	pullTries = 3
	pullPause = 500 * time.Millisecond
)

// maxShared bounds the peers that are told of a new suspect at once.
const maxShared = 16

// share tells peers of the suspects known here, those of the own data centre
// first, and returns when they know. The others learn from the exchanges.
func (c *control) share(ctx context.Context) {
	var g errgroup.Group
	err := c.call(ctx, func(now time.Time) {
		c.tellSuspects(now)
		for _, address := range c.nearest(now, maxShared) {
			payload, err := exchanger.Encode(c.gossip.Request(now, address))
			if err != nil {
				continue
			}
			g.Go(func() error {
				c.exchangeOne(ctx, address, payload)
				return nil
			})
		}
	})
	if err == nil {
		_ = g.Wait()
	}
}

// nearest returns at most n other routers, those of the own data centre first,
// then those of the own region.
func (c *control) nearest(now time.Time, n int) []string {
	node := c.router.Settings.Node
	distance := func(m gossiper.Member) int {
		switch {
		case m.DataCentre() == node.DataCentre:
			return 0
		case m.Region() == node.Region:
			return 1
		default:
			return 2
		}
	}
	members := c.gossip.Members(now)
	c.rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b gossiper.Member) int { return distance(a) - distance(b) })
	var nearest []string
	for _, m := range members {
		if m.Address() != c.gossip.Address && len(nearest) < n {
			nearest = append(nearest, m.Address())
		}
	}
	return nearest
}

// exchange begins the exchanges that are due.
func (c *control) exchange(ctx context.Context, now time.Time) {
	for _, address := range c.gossip.Poll(now) {
		payload, err := exchanger.Encode(c.gossip.Request(now, address))
		if err != nil {
			c.router.Log.Log(logger.PeerFailed, "peer", address, "error", err)
			continue
		}
		go c.exchangeOne(ctx, address, payload)
	}
}

func (c *control) exchangeOne(ctx context.Context, address string, payload []byte) {
	answer, err := c.router.links.Exchange(ctx, address, payload)
	if err != nil {
		c.router.Log.Log(logger.PeerFailed, "peer", address, "error", err)
		c.send(func(now time.Time) { c.gossip.ExchangeFailed(now, address) })
		return
	}
	d, err := exchanger.Decode(answer)
	if err != nil {
		c.router.Log.Log(logger.PeerFailed, "peer", address, "error", err)
		return
	}
	c.send(func(now time.Time) { c.merge(ctx, now, d) })
}

// Exchange implements exchanger.Handler.
func (c *control) Exchange(ctx context.Context, payload []byte) ([]byte, error) {
	d, err := exchanger.Decode(payload)
	if err != nil {
		return nil, err
	}
	var reply *gossiper.Digest
	err = c.call(ctx, func(now time.Time) {
		c.merge(ctx, now, d)
		reply = c.gossip.Reply(now, d)
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", kingcuphook.ErrUnavailable, err)
	}
	return exchanger.Encode(reply)
}

// Pull implements exchanger.Handler.
func (c *control) Pull(_ context.Context, revision int64) ([]byte, error) {
	payload, err := c.router.follower.Update(revision)
	if err != nil {
		return nil, err
	}
	if payload == nil {
		return nil, fmt.Errorf("router: nothing newer than revision %d: %w", revision, kingcuphook.ErrNotFound)
	}
	return payload, nil
}

// changes returns the encoded changes after a revision, for a digest.
func (c *control) changes(after int64, limit int) []byte {
	payload, err := c.router.follower.Update(after)
	if err != nil || len(payload) > limit {
		return nil
	}
	return payload
}

// merge takes a peer's digest, and its tables if they are newer.
func (c *control) merge(ctx context.Context, now time.Time, d *gossiper.Digest) {
	peer := d.Sender.Address
	c.joined = true
	behind, err := c.gossip.Merge(now, d)
	if err != nil {
		c.router.Log.Log(logger.PeerFailed, "peer", peer, "error", err)
		return
	}
	c.learnRates(now, d)
	if err := c.router.quarantine.Import(now, d.Suspects); err != nil {
		c.router.Log.Log(logger.PeerFailed, "peer", peer, "error", err)
	}
	if !behind {
		return
	}
	if len(d.Changes) > 0 && d.ChangesAfter <= c.revision {
		if c.router.follower.ApplyUpdate(peer, d.Changes) == nil {
			c.source = peer
			c.takeTables(now)
			return
		}
	}
	if c.pulling {
		return
	}
	c.pulling = true
	revision := c.revision
	go func() {
		c.pullAgain(context.WithoutCancel(ctx), peer, revision)
		c.send(func(now time.Time) {
			c.pulling = false
			c.source = peer
			c.takeTables(now)
		})
	}()
}

// pullAgain pulls the tables of a peer, again if that fails.
func (c *control) pullAgain(ctx context.Context, peer string, revision int64) {
	for n := range pullTries {
		if n > 0 {
			time.Sleep(pullPause)
		}
		if c.pull(ctx, peer, revision) {
			return
		}
	}
}

// pull brings the tables of a peer into force, and reports false if it must be
// tried again.
func (c *control) pull(ctx context.Context, peer string, revision int64) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	payload, err := c.router.links.Pull(ctx, peer, revision)
	if errors.Is(err, kingcuphook.ErrNotFound) {
		return true
	}
	if err != nil {
		c.router.Log.Log(logger.PeerFailed, "peer", peer, "error", err)
		return false
	}
	err = c.router.follower.ApplyUpdate(peer, payload)
	if errors.Is(err, kingcuphook.ErrConflict) && revision > 0 {
		return c.pull(ctx, peer, 0)
	}
	if err != nil {
		c.router.Log.Log(logger.PeerFailed, "peer", peer, "error", err)
	}
	return true
}
