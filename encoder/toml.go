// Package encoder writes the tables as TOML for operators, and as protocol
// buffers for the store and for other routers.
package encoder

import (
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"github.com/kingcuphook/kingcuphook"
)

// RoutesTOML returns the table of routes as an operator edits it.
func RoutesTOML(routes []*kingcuphook.Route) ([]byte, error) {
	d := RouteDocument{Routes: make([]RouteRow, len(routes))}
	for i, r := range routes {
		d.Routes[i] = NewRouteRow(r)
	}
	return marshal(d)
}

// PoolsTOML returns the table of pools as an operator edits it.
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
