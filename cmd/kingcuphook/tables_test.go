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
		member("cairo", "alive", 0),       // not heard yet, but the region has reported
		member("cairo", "alive", 4, 30),   // heard before the edit
		member("alex", "alive", 5, 1),     // done
		member("alex", "dead", 4, 1),      // gone
		member("upper", "alive", 0),       // not heard at all
		member("delta", "unreachable", 4), // cut off
		member("sinai", "alive", 5, 1),
		member("sinai", "alive", 4, 1), // still has the older one
	}}
	const since = 10 * time.Second
	is.Equal(regionsBehind(s, 5, since), []string{"delta", "sinai", "upper"})
	s.Revision = 4
	is.Equal(regionsBehind(s, 5, since), []string{"cairo", "delta", "sinai", "upper"})
}
