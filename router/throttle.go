package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gossiper"
	"github.com/kingcuphook/kingcuphook/throttler"
)

// throttle shares a Throttler between traffic and the control loop.
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

// rejected returns how many requests were over their rates.
func (t *throttle) rejected() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.throttler.Rejected()
}

// forget drops what was heard of a router that left.
func (t *throttle) forget(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.throttler.RemovePeer(address)
}

// tellRates gives the demands of this router to the next digests, and tells the
// throttler how large the fleet is.
func (c *control) tellRates(now time.Time) {
	t := c.router.throttle
	t.mu.Lock()
	t.throttler.SetRouters(max(c.gossip.Count(now), 1))
	told := t.throttler.LocalRates(now)
	t.mu.Unlock()
	rates := make([]gossiper.Rate, len(told))
	for i, r := range told {
		rates[i] = gossiper.Rate{Key: r.Key, Rate: r.Rate}
	}
	c.gossip.SetRates(rates)
}

// tellSuspects gives the suspects known here to the next digests.
func (c *control) tellSuspects(now time.Time) {
	c.gossip.SetSuspects(c.router.quarantine.Export(now, gossiper.MaxSuspectsBytes))
}

// learnRates takes the demands in a peer's digest.
func (c *control) learnRates(now time.Time, d *gossiper.Digest) {
	rates := make([]throttler.Rate, len(d.Rates))
	for i, r := range d.Rates {
		rates[i] = throttler.Rate{Key: r.Key, Rate: r.Rate}
	}
	t := c.router.throttle
	t.mu.Lock()
	defer t.mu.Unlock()
	t.throttler.UpdatePeer(now, d.Sender.Address, rates)
}
