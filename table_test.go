package kingcuphook

import (
	"testing"

	"github.com/matryer/is"
)

func TestMatchReturnsFirstMatchingRoute(t *testing.T) {
	is := is.New(t)
	till := NewRoute(RouteFields{Name: "till", Class: "till", Path: "/v1/chat", Pool: "a", Tier: 1})
	rest := NewRoute(RouteFields{Name: "rest", Pool: "b", Tier: 5})
	tables := NewTables(1, []*Route{till, rest}, nil)

	is.Equal(tables.Match("till", "org", "m", "/v1/chat/completions"), till)
	is.Equal(tables.Match("till", "org", "m", "/v1/chatter"), rest)
	is.Equal(tables.Match("letters", "org", "m", "/v1/chat/completions"), rest)
	is.Equal(NewTables(1, nil, nil).Match("till", "", "", "/"), nil)
}
