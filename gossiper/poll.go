package gossiper

import (
	"slices"
	"time"
)

// Limits of the consecutive rounds that are skipped because of pushes.
const (
	maxSkippedRounds = 3
	// maxSkippedRoundsFromPeer applies to a watcher that received the current
	// revision from a peer: it may have lost its connection to the store.
	maxSkippedRoundsFromPeer = 0
)

// expireInterval is the minimum time between two checks of all members.
const expireInterval = time.Second

// Poll returns the addresses to exchange digests with now. It must be called at
// least every 100 ms, and after SetRevision.
func (g *Gossiper) Poll(now time.Time) []string {
	g.start(now)
	g.detectSuspension(now)
	g.expire(now)
	targets := g.duePushes(now)
	if len(targets) > 0 {
		g.pushed = true
	}
	for _, a := range g.probes {
		if !slices.Contains(targets, a) {
			targets = append(targets, a)
		}
	}
	g.probes = nil
	if now.Before(g.nextRound) {
		return targets
	}
	interval := g.Interval
	if g.joining {
		interval = joinInterval
	}
	g.nextRound = now.Add(g.jitter(interval))
	if g.pushed && g.skipped < g.skipLimit(now) {
		g.pushed = false
		g.skipped++
		return targets
	}
	g.pushed = false
	g.skipped = 0
	g.rounds++
	if a := g.pick(); a != "" && !slices.Contains(targets, a) {
		targets = append(targets, a)
	}
	return targets
}

// skipLimit returns how many consecutive rounds may be skipped because of pushes.
func (g *Gossiper) skipLimit(now time.Time) int {
	switch {
	case g.joining:
		return 0
	case g.push.from != "" && g.WatchesStore(now):
		return maxSkippedRoundsFromPeer
	}
	return maxSkippedRounds
}

// detectSuspension detects that this router was suspended, so that the others could not
// answer it: failures are reset and the timeouts of suspected members extended.
// After more than half of TombstoneTTL its membership is stale and it joins again.
func (g *Gossiper) detectSuspension(now time.Time) {
	gap := now.Sub(g.lastPoll)
	g.lastPoll = now
	if gap < suspensionThreshold {
		return
	}
	g.lastSuccess = now
	for _, m := range g.members {
		m.failures = 0
		if m.entry.State == StateSuspect {
			m.since = m.since.Add(gap)
		}
	}
	if gap > g.TombstoneTTL/2 {
		g.Incarnation = g.self.entry.Incarnation + 1
		g.reset(now)
	}
}

// isolated reports whether no exchange has succeeded for isolationTimeout.
func (g *Gossiper) isolated(now time.Time) bool {
	return now.Sub(g.lastSuccess) > isolationTimeout
}

// expire declares suspected members dead after SuspectTimeout, removes tombstones
// after TombstoneTTL and checks the members of other regions with removeUnlisted.
// The tombstone of a member that is still on the platform's list is kept.
func (g *Gossiper) expire(now time.Time) {
	if now.Sub(g.lastExpire) < expireInterval {
		return
	}
	g.lastExpire = now
	isolated := g.isolated(now)
	for _, m := range g.members {
		age := now.Sub(m.since)
		switch {
		case m.entry.State.deadOrLeft():
			if _, listed := g.hints[m.entry.Address]; !listed && age > g.TombstoneTTL {
				g.remove(m)
			}
		case !g.maySuspect(m):
			g.removeUnlisted(m, now)
		case m.entry.State != StateSuspect:
		case isolated:
			m.since = now
		case age > g.SuspectTimeout:
			e := m.entry
			e.State = StateDead
			g.replace(m, e, now)
		case age > g.SuspectTimeout/2:
			// Its refutation may not have arrived here yet: contact it directly
			// before it is declared dead.
			g.probes = append(g.probes, m.entry.Address)
		}
	}
	slices.Sort(g.probes)
}

// removeUnlisted removes a member of another region if that region has been
// unreachable for TombstoneTTL and the member is not on the platform's list.
func (g *Gossiper) removeUnlisted(m *member, now time.Time) {
	f := g.failedRegions[g.locations[m.entry.Location].Region]
	if f.count < suspectFailures || now.Sub(f.since) < g.TombstoneTTL || len(g.hints) == 0 {
		return
	}
	if _, ok := g.hints[m.entry.Address]; !ok {
		g.remove(m)
	}
}

// maySuspect reports whether this router may suspect m. Only members of the same
// region may do so, so that a network partition between regions removes no members.
func (g *Gossiper) maySuspect(m *member) bool {
	return g.locations[m.entry.Location].Region == g.Location.Region
}

// ExchangeFailed records the failure of an exchange that this router started.
func (g *Gossiper) ExchangeFailed(now time.Time, address string) {
	g.start(now)
	m := g.members[address]
	if m == nil || m.entry.State.deadOrLeft() {
		return
	}
	m.failures++
	g.recoverPush(m)
	region := g.locations[m.entry.Location].Region
	if region != g.Location.Region {
		f := g.failedRegions[region]
		if f.count == 0 {
			f.since = now
		}
		f.count++
		g.failedRegions[region] = f
		return
	}
	if m.failures < suspectFailures {
		g.retryAddress = address
		return
	}
	if g.isolated(now) || m.entry.State != StateAlive {
		return
	}
	e := m.entry
	e.State = StateSuspect
	g.replace(m, e, now)
}

// recordSuccess records that a digest arrived from m and resets the failures of m
// and its region.
func (g *Gossiper) recordSuccess(m *member, now time.Time) {
	m.failures = 0
	g.lastSuccess = now
	delete(g.failedRegions, g.locations[m.entry.Location].Region)
	if g.retryAddress == m.entry.Address {
		g.retryAddress = ""
	}
}
