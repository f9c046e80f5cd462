// Package parser parses the operators' tables of routes and pools, and patches to
// them, from TOML and validates them. An invalid table is rejected as a whole, with
// the file, the line and the reason.
package parser

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/encoder"
)

// MaxFileBytes is the largest size of a table or patch in TOML.
const MaxFileBytes = 32 << 20

// RouteTable is a table of routes with the lines of its rows in the source file.
type RouteTable struct {
	file   string
	routes []*kingcuphook.Route
	// lines holds the line of each route; empty if unknown.
	lines []int
}

// PoolTable is a table of pools with the lines of its rows in the source file.
type PoolTable struct {
	file  string
	pools []*kingcuphook.Pool
	// lines holds the lines of each pool; empty if unknown.
	lines []poolLines
}

// poolLines holds the lines of a pool and of the rows in it.
type poolLines struct {
	line                  int
	upstreams, placements []int
}

// NewRouteTable returns a table of routes without line numbers. File is the name of
// the source in errors.
func NewRouteTable(file string, routes []*kingcuphook.Route) *RouteTable {
	return &RouteTable{file: file, routes: routes}
}

// NewPoolTable returns a table of pools without line numbers. File is the name of
// the source in errors.
func NewPoolTable(file string, pools []*kingcuphook.Pool) *PoolTable {
	return &PoolTable{file: file, pools: pools}
}

// Routes returns the routes in order; the caller must not change the slice.
func (t *RouteTable) Routes() []*kingcuphook.Route { return t.routes }

// Pools returns the pools in order; the caller must not change the slice.
func (t *PoolTable) Pools() []*kingcuphook.Pool { return t.pools }

// ParseRoutes parses a table of routes. File is the name of the source in errors,
// which are of type *kingcuphook.InputError. It does not validate the rows; Validate
// does that for both tables together.
func ParseRoutes(file string, data []byte) (*RouteTable, error) {
	var d encoder.RouteDocument
	if err := decode(file, data, &d); err != nil {
		return nil, err
	}
	t := &RouteTable{file: file, routes: make([]*kingcuphook.Route, len(d.Routes))}
	for i, r := range d.Routes {
		t.routes[i] = r.Route()
	}
	t.lines = arrayLines(data, arrayRoute, len(d.Routes))
	return t, nil
}

// ParsePools parses a table of pools. File is the name of the source in errors,
// which are of type *kingcuphook.InputError. It does not validate the rows; Validate
// does that for both tables together.
func ParsePools(file string, data []byte) (*PoolTable, error) {
	var d encoder.PoolDocument
	if err := decode(file, data, &d); err != nil {
		return nil, err
	}
	t := &PoolTable{file: file, pools: make([]*kingcuphook.Pool, len(d.Pools))}
	for i, p := range d.Pools {
		for j := range p.Upstreams {
			setDefaultKind(&p.Upstreams[j])
		}
		t.pools[i] = p.Pool()
	}
	t.lines = linesOfPools(data, d.Pools)
	return t, nil
}

// setDefaultKind sets the kind of an upstream that gives none.
func setDefaultKind(u *encoder.UpstreamRow) {
	if u.Kind == "" {
		u.Kind = string(kingcuphook.UpstreamKindEngine)
	}
}

// decode parses TOML into v and rejects unknown keys.
func decode(file string, data []byte, v any) error {
	if len(data) > MaxFileBytes {
		return &kingcuphook.InputError{File: file, Reason: fmt.Sprintf("more than %d bytes", MaxFileBytes),
			Err: fmt.Errorf("%w: %w", kingcuphook.ErrInvalid, kingcuphook.ErrTooLarge)}
	}
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(v)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		line, _ := e.Position()
		key := e.Key()
		return inputError(file, line, "unknown key %q", key[len(key)-1])
	}
	var e *toml.DecodeError
	if errors.As(err, &e) {
		line, _ := e.Position()
		return inputError(file, line, "%s", e.Error())
	}
	return inputError(file, 0, "%s", err.Error())
}

// inputError returns a *kingcuphook.InputError that wraps ErrInvalid.
func inputError(file string, line int, format string, args ...any) error {
	return &kingcuphook.InputError{
		File: file, Line: line, Reason: fmt.Sprintf(format, args...), Err: kingcuphook.ErrInvalid,
	}
}
