package parser

import (
	"strconv"

	"github.com/kingcuphook/kingcuphook"
)

// matchKey holds the conditions of a route that are compared for equality; the path
// is compared by prefix.
type matchKey struct{ class, organisation, model string }

// coverage indexes the conditions of the routes added so far, to find routes that
// can never match. Its zero value is empty.
type coverage struct {
	// paths holds the routes of each key by path.
	paths map[matchKey]map[string]*kingcuphook.Route
}

// add returns an earlier route that matches every request that r matches. If there
// is none, it adds r and returns nil.
func (c *coverage) add(r *kingcuphook.Route) *kingcuphook.Route {
	for _, class := range coveringValues(r.Class()) {
		for _, organisation := range coveringValues(r.Organisation()) {
			for _, model := range coveringValues(r.Model()) {
				if covering := c.covers(matchKey{class, organisation, model}, r.Path()); covering != nil {
					return covering
				}
			}
		}
	}
	if c.paths == nil {
		c.paths = make(map[matchKey]map[string]*kingcuphook.Route)
	}
	k := matchKey{r.Class(), r.Organisation(), r.Model()}
	if c.paths[k] == nil {
		c.paths[k] = make(map[string]*kingcuphook.Route)
	}
	c.paths[k][r.Path()] = r
	return nil
}

// coveringValues returns the values of a condition that match at least what s
// matches: s itself and the empty value, which matches everything.
func coveringValues(s string) []string {
	if s == "" {
		return []string{""}
	}
	return []string{"", s}
}

// covers returns a route with the conditions k whose path is a prefix of path that
// ends at a boundary between segments, or nil.
func (c *coverage) covers(k matchKey, path string) *kingcuphook.Route {
	paths := c.paths[k]
	if len(paths) == 0 {
		return nil
	}
	if r := paths[""]; r != nil {
		return r
	}
	for i := 1; i <= len(path); i++ {
		if i < len(path) && path[i] != '/' && path[i-1] != '/' {
			continue
		}
		if r := paths[path[:i]]; r != nil {
			return r
		}
	}
	return nil
}

func itoa(n int) string { return strconv.Itoa(n) }
