package gossiper

import "time"

// Members returns this router and all members that are neither dead nor have left,
// sorted by address.
func (g *Gossiper) Members(now time.Time) []Member {
	g.start(now)
	members := make([]Member, 0, g.roster.alive)
	for _, m := range g.roster.byAddress {
		if m.entry.State.deadOrLeft() {
			continue
		}
		members = append(members, g.view(m))
	}
	return members
}

func (g *Gossiper) view(m *member) Member {
	l := g.locations[m.entry.Location]
	revision := m.revision
	if m == g.self {
		revision = g.revision
	}
	return Member{
		revision:  revision,
		lastHeard: m.lastHeard,
		address:   m.entry.Address,
		location:  l,
		state:     m.entry.State,
		reachable: g.reachable(l.Region),
	}
}

// WatchesStore reports whether this router is one of those in its data centre that
// watch the store. Routers may disagree for a few seconds, which is harmless.
func (g *Gossiper) WatchesStore(now time.Time) bool {
	g.start(now)
	_, rank := g.local()
	return rank < watchersPerDataCentre
}

// Count returns the number of members that are neither dead nor have left,
// including this router.
func (g *Gossiper) Count(now time.Time) int {
	g.start(now)
	return g.roster.alive
}

// reachable reports whether fewer than suspectFailures consecutive exchanges with
// the region have failed.
func (g *Gossiper) reachable(region string) bool {
	return g.failedRegions[region].count < suspectFailures
}
