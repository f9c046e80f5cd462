package throttler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// tellFrom is the share of an equal part of the limit from which a router
	// tells its demand; what is not told adds up to less than this share of the
	// limit.
	tellFrom = 0.04
	// hotFrom is the share of the limit from which the demand of the fleet is
	// told at all.
	hotFrom = 0.5
	// maxTold bounds the limits that are told.
	maxTold = 64
	// maxPeers bounds the peers remembered.
	maxPeers = 2048
	// keepFactor is how many times the TTL the rate of a peer is held while the
	// peer is heard.
	keepFactor = 4
	// micro is the number of units of toldRate in one request a second.
	micro = 1e6
)

// peer is what was heard of one peer.
type peer struct {
	// rates is the number of limits of which its rate is held.
	rates int
	// whole says that its last digest had room to spare.
	whole bool
	// at is when it was heard last.
	at time.Time
}

// Tell returns the demands that peers must know, the most used limits first. A
// limit is told for a while after it has cooled down, so that peers learn of it.
func (t *Throttler) Tell(now time.Time) []Rate {
	var hot []*limit
	for _, l := range t.limits {
		if t.mustTell(now, l) {
			l.tellUntil = now.Add(2 * t.ttl())
		}
		if now.Before(l.tellUntil) {
			hot = append(hot, l)
		}
	}
	slices.SortFunc(hot, func(a, b *limit) int {
		if c := cmp.Compare(b.fleet/b.rate, a.fleet/a.rate); c != 0 {
			return c
		}
		return cmp.Compare(a.key, b.key)
	})
	hot = hot[:min(len(hot), maxTold)]
	rates := make([]Rate, len(hot))
	for i, l := range hot {
		rates[i] = Rate{Key: l.key, Rate: l.demand.rate(now)}
	}
	t.told = len(rates)
	return rates
}

// Learn takes the rates of a peer's digest.
func (t *Throttler) Learn(now time.Time, sender string, rates []Rate) {
	t.sweep(now)
	p := t.peer(sender)
	if p == nil {
		return
	}
	p.at = now
	p.whole = t.DigestRates == 0 || len(rates) < t.DigestRates
	for _, r := range rates {
		l := t.limits[r.Key]
		if l == nil {
			continue
		}
		if l.told == nil {
			l.told = make(map[string]toldRate)
		}
		if _, ok := l.told[sender]; !ok {
			p.rates++
		}
		l.told[sender] = toldRate{micros: int64(max(r.Rate, 0) * micro), at: now}
	}
}

// Forget drops what was heard of a peer that left the fleet.
func (t *Throttler) Forget(sender string) {
	delete(t.peers, sender)
	for _, l := range t.limits {
		delete(l.told, sender)
	}
}

// mustTell reports whether peers need to know this router's demand for l. If the
// demand of the fleet is over the limit, the routers whose own demand extended to
// all is hot carry more than half of it, so that the others learn that it is hot.
func (t *Throttler) mustTell(now time.Time, l *limit) bool {
	extended := l.demand.rate(now) * float64(max(t.routers, 1))
	return extended >= hotFrom*l.rate ||
		extended >= tellFrom*l.rate && t.estimate(now, l) >= hotFrom*l.rate
}

// estimate returns the demand of the fleet: what is known of it, extended to the
// limits that peers had no room to tell and to the routers not heard of.
func (t *Throttler) estimate(now time.Time, l *limit) float64 {
	var micros int64
	for name, told := range l.told {
		p := t.peers[name]
		if p == nil || now.Sub(p.at) > t.ttl() {
			continue
		}
		if !p.whole && p.rates < t.told {
			micros += told.micros * int64(t.told) / int64(p.rates)
			continue
		}
		micros += told.micros
	}
	known := l.demand.rate(now) + float64(micros)/micro
	return known * max(float64(t.routers)/float64(1+t.heard(now)), 1)
}

// heard returns how many peers were heard of lately.
func (t *Throttler) heard(now time.Time) int {
	n := 0
	for _, p := range t.peers {
		if now.Sub(p.at) <= t.ttl() {
			n++
		}
	}
	return n
}

func (t *Throttler) peer(sender string) *peer {
	if p := t.peers[sender]; p != nil {
		return p
	}
	if len(t.peers) >= maxPeers {
		return nil
	}
	if t.peers == nil {
		t.peers = make(map[string]*peer)
	}
	p := &peer{}
	t.peers[sender] = p
	return p
}

// sweep forgets limits without requests and what peers told too long ago.
func (t *Throttler) sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(sweepEvery)
	for key, l := range t.limits {
		unused := now.Sub(l.demand.last) > idleAfter
		for name, told := range l.told {
			if unused || now.Sub(told.at) > keepFactor*t.ttl() {
				delete(l.told, name)
				t.drop(name)
			}
		}
		if unused {
			delete(t.limits, key)
		}
	}
	for name, p := range t.peers {
		if now.Sub(p.at) > t.ttl() && p.rates == 0 {
			delete(t.peers, name)
		}
	}
}

// drop counts that a rate of the peer is no longer held.
func (t *Throttler) drop(sender string) {
	if p := t.peers[sender]; p != nil {
		p.rates--
	}
}
