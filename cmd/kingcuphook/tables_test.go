package main

import (
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook/gen/queries"
)

func TestRegionsBehind(t *testing.T) {
	is := is.New(t)
	member := func(region, state string, revision int64) *queries.Member {
		return &queries.Member{Region: region, State: state, Revision: revision}
	}
	s := &queries.StatusReport{Region: "cairo", Revision: 5, Members: []*queries.Member{
		member("cairo", "alive", 5),
		member("cairo", "alive", 0),       // not heard yet, but the region has reported
		member("alex", "alive", 5),        // done
		member("alex", "dead", 4),         // gone
		member("upper", "alive", 0),       // not heard at all
		member("delta", "unreachable", 4), // cut off
		member("sinai", "alive", 5),
		member("sinai", "alive", 4), // one is older
	}}
	is.Equal(regionsBehind(s, 5), []string{"delta", "sinai", "upper"})
	s.Revision = 4
	is.Equal(regionsBehind(s, 5), []string{"cairo", "delta", "sinai", "upper"})
}
