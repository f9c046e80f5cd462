package parser

import (
	"strconv"

	"github.com/kingcuphook/kingcuphook"
)

// match is the part of a route's match that is compared as a whole.
type match struct{ class, organisation, model string }

// coverage holds the matches of the routes seen so far. Its zero value is empty.
type coverage struct {
	paths map[match]map[string]*kingcuphook.Route
}

// add returns the earlier route that matches every request that r matches, or
// nil after adding r.
func (c *coverage) add(r *kingcuphook.Route) *kingcuphook.Route {
	for _, class := range orAny(r.Class()) {
		for _, organisation := range orAny(r.Organisation()) {
			for _, model := range orAny(r.Model()) {
				if by := c.covers(match{class, organisation, model}, r.Path()); by != nil {
					return by
				}
			}
		}
	}
	if c.paths == nil {
		c.paths = make(map[match]map[string]*kingcuphook.Route)
	}
	m := match{r.Class(), r.Organisation(), r.Model()}
	if c.paths[m] == nil {
		c.paths[m] = make(map[string]*kingcuphook.Route)
	}
	c.paths[m][r.Path()] = r
	return nil
}

// orAny returns the values that cover s: s itself and the empty one.
func orAny(s string) []string {
	if s == "" {
		return []string{""}
	}
	return []string{"", s}
}

// covers returns the route whose path is a prefix of path, ending at a segment.
func (c *coverage) covers(m match, path string) *kingcuphook.Route {
	paths := c.paths[m]
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
