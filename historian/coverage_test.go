package historian

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A router with a lower revision is behind or unresponsive, depending on the age of
// its report; the age doesn't matter for one with the revision or a higher one.
func TestCoverageByRegion(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	got := Coverage(now, 7, []RouterStatus{
		{Address: "a", Region: "cairo", Revision: 7, Seen: now},
		{Address: "b", Region: "cairo", Revision: 8, Seen: now.Add(-time.Hour)},
		{Address: "c", Region: "alex", Revision: 6, Seen: now},
		{Address: "d", Region: "alex", Revision: 7, Seen: now},
		{Address: "e", Region: "upper", Revision: 6, Seen: now.Add(-time.Hour)},
	}, time.Minute)
	is.Equal(got, []RegionCoverage{
		{Region: "alex", InForce: 1, Behind: []string{"c"}},
		{Region: "cairo", InForce: 2},
		{Region: "upper", Unresponsive: []string{"e"}},
	})
	is.True(!got[0].Done())
	is.True(got[1].Done())
	is.True(!got[2].Done())
}
