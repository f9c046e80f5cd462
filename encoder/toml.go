// Package encoder converts the tables and their changes to TOML for operators, and
// to and from protocol buffers for the store and other routers.
package encoder

import (
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"github.com/kingcuphook/kingcuphook"
)

// RoutesTOML encodes the table of routes in the form that operators edit.
func RoutesTOML(routes []*kingcuphook.Route) ([]byte, error) {
	d := RouteDocument{Routes: make([]RouteRow, len(routes))}
	for i, r := range routes {
		d.Routes[i] = NewRouteRow(r)
	}
	return marshal(d)
}

// PoolsTOML encodes the table of pools in the form that operators edit.
func PoolsTOML(pools []*kingcuphook.Pool) ([]byte, error) {
	d := PoolDocument{Pools: make([]PoolRow, len(pools))}
	for i, p := range pools {
		d.Pools[i] = NewPoolRow(p)
	}
	return marshal(d)
}

func marshal(v any) ([]byte, error) {
	data, err := toml.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encoder: %w", err)
	}
	return data, nil
}
