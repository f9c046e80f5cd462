package gossiper

import (
	"slices"
	"time"
)

// Numbers of rounds in a row that pushes may stand in for.
const (
	maxSkipped = 3
	// maxSkippedCutOff holds for a watcher that learned the latest revision from
	// a peer: it may have lost the store.
	maxSkippedCutOff = 0
)

// expirePause separates two looks at all members.
const expirePause = time.Second

// Poll returns the addresses to exchange digests with now. It is called at
// least every 100 ms, and after SetRevision.
func (g *Gossiper) Poll(now time.Time) []string {
	g.start(now)
	g.wake(now)
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
	if now.Before(g.nextTick) {
		return targets
	}
	interval := g.Interval
	if g.joining {
		interval = joinInterval
	}
	g.nextTick = now.Add(g.jitter(interval))
	if g.pushed && g.skipped < g.maxSkipped(now) {
		g.pushed = false
		g.skipped++
		return targets
	}
	g.pushed = false
	g.skipped = 0
	g.ticks++
	if a := g.pick(); a != "" && !slices.Contains(targets, a) {
		targets = append(targets, a)
	}
	return targets
}

// maxSkipped returns how many rounds in a row pushes may stand in for.
func (g *Gossiper) maxSkipped(now time.Time) int {
	switch {
	case g.joining:
		return 0
	case g.push.from != "" && g.Watches(now):
		return maxSkippedCutOff
	}
	return maxSkipped
}

// wake notices a pause of this router: others had no chance to answer it. After
// a long one its knowledge is stale, and it joins again.
func (g *Gossiper) wake(now time.Time) {
	gap := now.Sub(g.lastPoll)
	g.lastPoll = now
	if gap < pauseLimit {
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

// isolated reports whether this router reaches nobody.
func (g *Gossiper) isolated(now time.Time) bool {
	return now.Sub(g.lastSuccess) > isolationTimeout
}

// expire ends the time of suspects and of tombstones. The tombstone of a member
// that the platform still lists is kept.
func (g *Gossiper) expire(now time.Time) {
	if now.Sub(g.lastExpire) < expirePause {
		return
	}
	g.lastExpire = now
	isolated := g.isolated(now)
	for _, m := range g.members {
		age := now.Sub(m.since)
		switch {
		case m.entry.State.gone():
			if _, listed := g.hints[m.entry.Address]; !listed && age > g.TombstoneTTL {
				g.remove(m)
			}
		case !g.judges(m):
			g.forget(m, now)
		case m.entry.State != StateSuspect:
		case isolated:
			m.since = now
		case age > g.SuspectTimeout:
			e := m.entry
			e.State = StateDead
			g.replace(m, e, now)
		case age > g.SuspectTimeout/2:
			// Its answer may not have come this far: ask it before it is removed.
			g.probes = append(g.probes, m.entry.Address)
		}
	}
	slices.Sort(g.probes)
}

// forget drops a member of an unreachable region that the platform's list no
// longer has.
func (g *Gossiper) forget(m *member, now time.Time) {
	f := g.failedRegions[g.locations[m.entry.Location].Region]
	if f.count < suspectFailures || now.Sub(f.since) < g.TombstoneTTL || len(g.hints) == 0 {
		return
	}
	if _, ok := g.hints[m.entry.Address]; !ok {
		g.remove(m)
	}
}

// judges reports whether this router may suspect m: only members of its own
// region may, so that a cut between regions removes nobody.
func (g *Gossiper) judges(m *member) bool {
	return g.locations[m.entry.Location].Region == g.Location.Region
}

// Failed takes the failure of an exchange that this router began.
func (g *Gossiper) Failed(now time.Time, address string) {
	g.start(now)
	m := g.members[address]
	if m == nil || m.entry.State.gone() {
		return
	}
	m.failures++
	g.bypass(m)
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
		g.retry = address
		return
	}
	if g.isolated(now) || m.entry.State != StateAlive {
		return
	}
	e := m.entry
	e.State = StateSuspect
	g.replace(m, e, now)
}

// succeeded takes a digest from m as a sign of life.
func (g *Gossiper) succeeded(m *member, now time.Time) {
	m.failures = 0
	g.lastSuccess = now
	delete(g.failedRegions, g.locations[m.entry.Location].Region)
	if g.retry == m.entry.Address {
		g.retry = ""
	}
}
