package throttler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minReportShare is the minimum demand that a router reports, as a share of
	// an equal part of the limit; unreported demand adds up to less than this
	// share of the limit.
	minReportShare = 0.04
	// hotShare is the minimum demand of the fleet for a limit to be reported at all,
	// as a share of the limit.
	hotShare = 0.5
	// maxReported bounds the number of rates reported.
	maxReported = 64
	// maxPeers bounds the number of peers tracked.
	maxPeers = 2048
	// rateTTLFactor is how long the rate of a peer is kept without an update, as a
	// multiple of the TTL.
	rateTTLFactor = 4
	// micro is the number of units of micros in one request per second.
	micro = 1e6
)

// peer is the state of one peer.
type peer struct {
	// rates is the number of limits for which a rate of the peer is kept.
	rates int
	// complete reports whether its last digest was not full and thus held all its
	// rates.
	complete bool
	// lastDigest is when its last digest arrived.
	lastDigest time.Time
}

// LocalRates returns the demands to report to peers, in descending order of the limits'
// utilization. A limit is still reported for twice the TTL after its demand fell,
// so that peers receive the lower demand.
func (t *Throttler) LocalRates(now time.Time) []Rate {
	var hot []*limit
	for _, l := range t.limits {
		if t.mustReport(now, l) {
			l.reportUntil = now.Add(2 * t.ttl())
		}
		if now.Before(l.reportUntil) {
			hot = append(hot, l)
		}
	}
	slices.SortFunc(hot, func(a, b *limit) int {
		if c := cmp.Compare(b.fleet/b.rate, a.fleet/a.rate); c != 0 {
			return c
		}
		return cmp.Compare(a.key, b.key)
	})
	hot = hot[:min(len(hot), maxReported)]
	rates := make([]Rate, len(hot))
	for i, l := range hot {
		rates[i] = Rate{Key: l.key, Rate: l.demand.rate(now)}
	}
	t.reported = len(rates)
	return rates
}

// UpdatePeer records the rates in a digest of a peer. Rates of limits without requests
// here are ignored.
func (t *Throttler) UpdatePeer(now time.Time, sender string, rates []Rate) {
	t.sweep(now)
	p := t.peer(sender)
	if p == nil {
		return
	}
	p.lastDigest = now
	p.complete = t.DigestRates == 0 || len(rates) < t.DigestRates
	for _, r := range rates {
		l := t.limits[r.Key]
		if l == nil {
			continue
		}
		if l.peerRates == nil {
			l.peerRates = make(map[string]peerRate)
		}
		if _, ok := l.peerRates[sender]; !ok {
			p.rates++
		}
		l.peerRates[sender] = peerRate{micros: int64(max(r.Rate, 0) * micro), at: now}
	}
}

// RemovePeer deletes the state of a peer that left the fleet.
func (t *Throttler) RemovePeer(sender string) {
	delete(t.peers, sender)
	for _, l := range t.limits {
		delete(l.peerRates, sender)
	}
}

// mustReport reports whether peers need this router's demand for l. A router reports
// its demand if it reaches hotShare of the limit when extrapolated to the whole fleet.
// If the fleet's demand exceeds the limit, such routers carry more than half of it.
// From their reports the others compute that the fleet's demand is at least hotShare
// of the limit, and report their own demand from minReportShare on.
func (t *Throttler) mustReport(now time.Time, l *limit) bool {
	extended := l.demand.rate(now) * float64(max(t.routers, 1))
	return extended >= hotShare*l.rate ||
		extended >= minReportShare*l.rate && t.fleetDemand(now, l) >= hotShare*l.rate
}

// fleetDemand returns the demand of the fleet: the known demand, extrapolated to
// rates that peers have not reported yet for lack of space in their digests, and
// to routers without a recent digest.
func (t *Throttler) fleetDemand(now time.Time, l *limit) float64 {
	var micros int64
	for name, reported := range l.peerRates {
		p := t.peers[name]
		if p == nil || now.Sub(p.lastDigest) > t.ttl() {
			continue
		}
		if !p.complete && p.rates < t.reported {
			micros += reported.micros * int64(t.reported) / int64(p.rates)
			continue
		}
		micros += reported.micros
	}
	known := l.demand.rate(now) + float64(micros)/micro
	return known * max(float64(t.routers)/float64(1+t.activePeers(now)), 1)
}

// activePeers returns the number of peers with a digest within the TTL.
func (t *Throttler) activePeers(now time.Time) int {
	n := 0
	for _, p := range t.peers {
		if now.Sub(p.lastDigest) <= t.ttl() {
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

// sweep deletes limits without recent requests, expired rates of peers, and
// peers without rates whose last digest is older than the TTL.
func (t *Throttler) sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(sweepInterval)
	for key, l := range t.limits {
		unused := now.Sub(l.demand.last) > idleTimeout
		for name, reported := range l.peerRates {
			if unused || now.Sub(reported.at) > rateTTLFactor*t.ttl() {
				delete(l.peerRates, name)
				t.removeRate(name)
			}
		}
		if unused {
			delete(t.limits, key)
		}
	}
	for name, p := range t.peers {
		if now.Sub(p.lastDigest) > t.ttl() && p.rates == 0 {
			delete(t.peers, name)
		}
	}
}

// removeRate decrements the number of rates kept for the peer.
func (t *Throttler) removeRate(sender string) {
	if p := t.peers[sender]; p != nil {
		p.rates--
	}
}
