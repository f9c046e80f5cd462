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
	// pullTimeout limits one pull of the tables from a peer.
	pullTimeout = 10 * time.Second
	// pullAttempts and pullRetryDelay control the retries of a failed pull.
	pullAttempts   = 3
	pullRetryDelay = 500 * time.Millisecond
)

// maxSuspectPeers limits how many peers receive changed suspects and quarantines
// immediately.
const maxSuspectPeers = 16

// shareSuspects sends the suspects and quarantines to the nearest peers and waits for
// these exchanges. Other routers receive them with the regular exchanges.
func (c *control) shareSuspects(ctx context.Context) {
	var g errgroup.Group
	err := c.call(ctx, func(now time.Time) {
		c.publishSuspects(now)
		for _, address := range c.nearest(now, maxSuspectPeers) {
			payload, err := exchanger.Encode(c.gossip.Request(now, address))
			if err != nil {
				continue
			}
			g.Go(func() error {
				c.exchangeWith(ctx, address, payload)
				return nil
			})
		}
	})
	if err == nil {
		_ = g.Wait()
	}
}

// nearest returns at most n other routers: first those in the same data centre,
// then those in the same region, then the rest, in random order within each group.
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

// exchange starts the exchanges with peers that are due.
func (c *control) exchange(ctx context.Context, now time.Time) {
	for _, address := range c.gossip.Poll(now) {
		payload, err := exchanger.Encode(c.gossip.Request(now, address))
		if err != nil {
			c.router.Log.Log(logger.PeerFailed, "peer", address, "error", err)
			continue
		}
		go c.exchangeWith(ctx, address, payload)
	}
}

func (c *control) exchangeWith(ctx context.Context, address string, payload []byte) {
	answer, err := c.router.peerClient.Exchange(ctx, address, payload)
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
	c.send(func(now time.Time) { c.mergeDigest(ctx, now, d) })
}

// Exchange implements exchanger.Handler.
func (c *control) Exchange(ctx context.Context, payload []byte) ([]byte, error) {
	d, err := exchanger.Decode(payload)
	if err != nil {
		return nil, err
	}
	var reply *gossiper.Digest
	err = c.call(ctx, func(now time.Time) {
		c.mergeDigest(ctx, now, d)
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

// changes returns the encoded changes of the tables after a revision, for a
// digest, or nil if they exceed limit bytes or can't be encoded.
func (c *control) changes(after int64, limit int) []byte {
	payload, err := c.router.follower.Update(after)
	if err != nil || len(payload) > limit {
		return nil
	}
	return payload
}

// mergeDigest merges a peer's digest and, if the peer has newer tables, applies
// the changes in the digest or pulls the tables from the peer.
func (c *control) mergeDigest(ctx context.Context, now time.Time, d *gossiper.Digest) {
	peer := d.Sender.Address
	c.joined = true
	behind, err := c.gossip.Merge(now, d)
	if err != nil {
		c.router.Log.Log(logger.PeerFailed, "peer", peer, "error", err)
		return
	}
	c.recordPeerRates(now, d)
	if err := c.router.quarantine.Import(now, d.Suspects); err != nil {
		c.router.Log.Log(logger.PeerFailed, "peer", peer, "error", err)
	}
	if len(d.Parts) > 0 {
		if err := c.router.isolator.Import(now, d.Parts); err != nil {
			c.router.Log.Log(logger.PeerFailed, "peer", peer, "error", err)
		}
	}
	if !behind {
		return
	}
	if len(d.Changes) > 0 && d.ChangesAfter <= c.revision {
		if c.router.follower.ApplyUpdate(peer, d.Changes) == nil {
			c.tablesSource = peer
			c.applyTables(now)
			return
		}
	}
	if c.pulling {
		return
	}
	c.pulling = true
	revision := c.revision
	go func() {
		c.pullWithRetry(context.WithoutCancel(ctx), peer, revision)
		c.send(func(now time.Time) {
			c.pulling = false
			c.tablesSource = peer
			c.applyTables(now)
		})
	}()
}

// pullWithRetry pulls the tables of a peer, with at most pullAttempts attempts.
func (c *control) pullWithRetry(ctx context.Context, peer string, revision int64) {
	for n := range pullAttempts {
		if n > 0 {
			time.Sleep(pullRetryDelay)
		}
		if c.pull(ctx, peer, revision) {
			return
		}
	}
}

// pull fetches the changes after a revision from a peer and passes them to the
// follower. If they conflict with the local tables it fetches the full tables. It
// returns false if the attempt should be repeated.
func (c *control) pull(ctx context.Context, peer string, revision int64) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	payload, err := c.router.peerClient.Pull(ctx, peer, revision)
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
