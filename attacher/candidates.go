package attacher

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/leaser"
)

const (
	// rankedRouters is the number of routers that are ranked: the candidates, and those that become candidates
	// if they are lost. These send their counts at the shortest interval.
	rankedRouters = 6
	// silencesPerLease is how many times in a time-to-live of the lease a candidate may be found silent. Ranked
	// routers send their counts each usageInterval (0.5 s), so that with a lease of 3 s three of them are
	// unanswered then.
	silencesPerLease = 2
)

// candidates ranks the known routers for the lease on the duties. Those that are draining, or that leave the
// counts of this router unanswered, come last. It is safe for concurrent use.
type candidates struct {
	a *Attacher

	// mu guards the fields below.
	mu      sync.Mutex
	silence leaser.Silence
	// ranked are the first routers by rank; they were found with the other fields.
	ranked          []netip.Addr
	known, draining *map[netip.Addr]bool
	silent          []string
}

func newCandidates(a *Attacher) *candidates {
	return &candidates{a: a, silence: leaser.Silence{After: a.Settings.LeaseTTL() / silencesPerLease}}
}

// asked records that routers were sent counts, which they answer.
func (c *candidates) asked(now time.Time, routers []netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range routers {
		if r != c.a.Settings.Address() {
			c.silence.Asked(now, r.String())
		}
	}
}

// heard records a datagram of a router.
func (c *candidates) heard(now time.Time, from netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silence.Heard(now, from.String())
}

// candidates returns the candidates by position.
func (c *candidates) candidates(now time.Time) []netip.Addr {
	ranked := c.rank(now)
	return ranked[:min(len(ranked), leaser.Candidates)]
}

// position returns the position of this router among the candidates, or leaser.NotCandidate.
func (c *candidates) position(now time.Time) int {
	return slices.Index(c.candidates(now), c.a.Settings.Address())
}

// isRanked reports whether this router is a candidate or one of the next.
func (c *candidates) isRanked(now time.Time) bool {
	return slices.Contains(c.rank(now), c.a.Settings.Address())
}

// rank returns the first routers by rank; the caller must not modify the list. A router doesn't pass over
// itself: as long as it holds the lease, the others only read that.
func (c *candidates) rank(now time.Time) []netip.Addr {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, draining, silent := c.a.control.known.Load(), c.a.control.draining.Load(), c.silence.Silent(now)
	if c.ranked != nil && known == c.known && draining == c.draining && slices.Equal(silent, c.silent) {
		return c.ranked
	}
	c.known, c.draining, c.silent = known, draining, silent
	self := c.a.Settings.Address()
	routers := c.a.control.routers()
	members := make(map[string]netip.Addr, len(routers))
	names := make([]string, 0, len(routers))
	for _, a := range routers {
		name := a.String()
		names = append(names, name)
		members[name] = a
	}
	c.silence.Retain(func(m string) bool { return members[m].IsValid() })
	c.ranked = make([]netip.Addr, 0, rankedRouters)
	for _, m := range leaser.Rank(kingcuphook.DutyLeaseKey, names, rankedRouters, func(m string) bool {
		isDraining := draining != nil && (*draining)[members[m]]
		return members[m] != self && (isDraining || slices.Contains(silent, m))
	}) {
		c.ranked = append(c.ranked, members[m])
	}
	return c.ranked
}
