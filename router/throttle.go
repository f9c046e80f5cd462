package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gossiper"
	"github.com/kingcuphook/kingcuphook/throttler"
)

// throttle guards a Throttler that request handlers and the control loop share.
type throttle struct {
	mu        sync.Mutex
	throttler *throttler.Throttler
}

func newThrottle(r *rand.Rand) *throttle {
	return &throttle{throttler: &throttler.Throttler{Rand: r, DigestRates: gossiper.MaxRates}}
}

// Allow implements server.Throttle.
func (t *throttle) Allow(route *kingcuphook.Route, organisation string) (bool, time.Duration) {
	var buf [2]throttler.Limit
	limits := throttler.LimitsOf(buf[:0], route, organisation)
	if len(limits) == 0 {
		return true, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.throttler.Allow(time.Now(), limits)
}

// Preview implements server.ThrottlePreviewer.
func (t *throttle) Preview(route *kingcuphook.Route, organisation string) (bool, time.Duration) {
	limits := throttler.LimitsOf(nil, route, organisation)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.throttler.Preview(time.Now(), limits)
}

// rejected returns how many requests exceeded their rate limits.
func (t *throttle) rejected() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.throttler.Rejected()
}

// removePeer drops the rates received from a router that has left.
func (t *throttle) removePeer(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.throttler.RemovePeer(address)
}

// publishRates puts the demand rates of this router into the next digests and
// updates the size of the fleet in the throttler.
func (c *control) publishRates(now time.Time) {
	t := c.router.throttle
	t.mu.Lock()
	t.throttler.SetRouters(max(c.gossip.Count(now), 1))
	demands := t.throttler.LocalRates(now)
	t.mu.Unlock()
	rates := make([]gossiper.Rate, len(demands))
	for i, r := range demands {
		rates[i] = gossiper.Rate{Key: r.Key, Rate: r.Rate}
	}
	c.gossip.SetRates(rates)
}

// publishSuspects puts the suspects and quarantines of this router, of bodies and of prompt
// parts, into the next digests.
func (c *control) publishSuspects(now time.Time) {
	c.gossip.SetSuspects(c.router.quarantine.Export(now, gossiper.MaxSuspectsBytes))
	parts, _ := c.router.isolator.Export(now, gossiper.MaxPartsBytes)
	c.gossip.SetParts(parts)
}

// recordPeerRates records the demand rates from a peer's digest.
func (c *control) recordPeerRates(now time.Time, d *gossiper.Digest) {
	rates := make([]throttler.Rate, len(d.Rates))
	for i, r := range d.Rates {
		rates[i] = throttler.Rate{Key: r.Key, Rate: r.Rate}
	}
	t := c.router.throttle
	t.mu.Lock()
	defer t.mu.Unlock()
	t.throttler.UpdatePeer(now, d.Sender.Address, rates)
}
