package encoder

import (
	"github.com/kingcuphook/kingcuphook/differ"
)

// ValueTOML returns the content of one row as an operator edits it; empty for a
// row that does not exist. A pool has neither upstreams nor placements here.
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
