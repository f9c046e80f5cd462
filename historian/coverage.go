package historian

import (
	"cmp"
	"slices"
	"time"
)

// RouterStatus is what is known of the tables on one router.
type RouterStatus struct {
	// Address identifies the router.
	Address string
	// Region is where the router runs.
	Region string
	// Revision is the revision that was in force there.
	Revision int64
	// Seen is when the router said so.
	Seen time.Time
}

// RegionCoverage says how far a revision is in force in one region.
type RegionCoverage struct {
	// Region is the region.
	Region string
	// InForce is the number of routers with the revision or a higher one.
	InForce int
	// Behind are the routers that have said a lower revision lately, in order.
	Behind []string
	// Silent are the lower ones not heard of for a while, in order: they may be
	// gone, or cut off.
	Silent []string
}

// Done reports whether the revision is in force on every router of the region
// that is heard of, and on at least one.
func (c RegionCoverage) Done() bool { return c.InForce > 0 && len(c.Behind) == 0 }

// Coverage tells for each region how far the revision is in force, in order of
// region. Routers not heard of for longer than maxAge count as silent.
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
			c.Silent = append(c.Silent, r.Address)
		default:
			c.Behind = append(c.Behind, r.Address)
		}
	}
	out := make([]RegionCoverage, 0, len(byRegion))
	for _, c := range byRegion {
		slices.Sort(c.Behind)
		slices.Sort(c.Silent)
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b RegionCoverage) int { return cmp.Compare(a.Region, b.Region) })
	return out
}
