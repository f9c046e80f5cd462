package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook/gen/queries"
)

func TestRegionsBehind(t *testing.T) {
	is := is.New(t)
	member := func(region, state string, revision int64, heard ...float64) *queries.Member {
		m := &queries.Member{Region: region, State: state, Revision: revision}
		if len(heard) > 0 {
			m.HeardSeconds = &heard[0]
		}
		return m
	}
	s := &queries.StatusReport{Region: "cairo", Revision: 5, Members: []*queries.Member{
		member("cairo", "alive", 5, 1),
		member("cairo", "alive", 0),       // no report, but others of its region have reported 5
		member("cairo", "alive", 4, 30),   // last report is older than the edit
		member("alex", "alive", 5, 1),     // up to date
		member("alex", "dead", 4, 1),      // ignored because it is dead
		member("upper", "alive", 0),       // no report from the whole region
		member("delta", "unreachable", 4), // region can't be reached
		member("sinai", "alive", 5, 1),
		member("sinai", "alive", 4, 1), // reported the older revision after the edit
	}}
	const since = 10 * time.Second
	is.Equal(regionsBehind(s, 5, since), []string{"delta", "sinai", "upper"})
	s.Revision = 4
	is.Equal(regionsBehind(s, 5, since), []string{"cairo", "delta", "sinai", "upper"})
}
