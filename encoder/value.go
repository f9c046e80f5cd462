package encoder

import (
	"github.com/kingcuphook/kingcuphook/differ"
)

// ValueTOML encodes one row in the form that operators edit; the result is empty for
// a row that does not exist. The value of a pool has neither upstreams nor
// placements.
func ValueTOML(v differ.Value) ([]byte, error) {
	switch {
	case v.Route != nil:
		return marshal(NewRouteRow(v.Route))
	case v.Pool != nil:
		return marshal(NewPoolRow(v.Pool))
	case v.Upstream != nil:
		return marshal(NewUpstreamRow(v.Upstream))
	case v.Placement != nil:
		return marshal(PlacementRow(*v.Placement))
	}
	return nil, nil
}
