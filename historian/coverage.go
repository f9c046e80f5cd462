package historian

import (
	"cmp"
	"slices"
	"time"
)

// RouterStatus is the last known revision of the tables on one router.
type RouterStatus struct {
	// Address identifies the router.
	Address string
	// Region is the region in which the router runs.
	Region string
	// Revision is the last current revision that the router reported.
	Revision int64
	// Seen is when the router reported it.
	Seen time.Time
}

// RegionCoverage describes on which routers of one region a revision, or a higher
// one, is current.
type RegionCoverage struct {
	Region string
	// InForce is the number of routers whose current revision is this or a higher one.
	InForce int
	// Behind are the addresses of the routers that recently reported a lower
	// revision, sorted.
	Behind []string
	// Unresponsive are the addresses of the routers that reported a lower revision
	// but nothing recently, sorted: they may have stopped or be unreachable.
	Unresponsive []string
}

// Done reports whether the revision is current on at least one router of the
// region, and on all except those in Unresponsive.
func (c RegionCoverage) Done() bool { return c.InForce > 0 && len(c.Behind) == 0 }

// Coverage returns for each region on which routers the revision is current,
// sorted by region. Routers with a lower revision whose last report is older than
// maxAge count as unresponsive.
func Coverage(now time.Time, revision int64, routers []RouterStatus, maxAge time.Duration) []RegionCoverage {
	byRegion := make(map[string]*RegionCoverage)
	for _, r := range routers {
		c := byRegion[r.Region]
		if c == nil {
			c = &RegionCoverage{Region: r.Region}
			byRegion[r.Region] = c
		}
		switch {
		case r.Revision >= revision:
			c.InForce++
		case now.Sub(r.Seen) > maxAge:
			c.Unresponsive = append(c.Unresponsive, r.Address)
		default:
			c.Behind = append(c.Behind, r.Address)
		}
	}
	out := make([]RegionCoverage, 0, len(byRegion))
	for _, c := range byRegion {
		slices.Sort(c.Behind)
		slices.Sort(c.Unresponsive)
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b RegionCoverage) int { return cmp.Compare(a.Region, b.Region) })
	return out
}
