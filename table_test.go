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

func TestHasProgramWithVersion(t *testing.T) {
	is := is.New(t)
	old := NewUpstream(UpstreamFields{Address: "10.0.0.1:80", Instance: "i-0", SoftwareVersion: "1"})
	updated := NewUpstream(UpstreamFields{Address: "10.0.0.1:80", Instance: "i-0", SoftwareVersion: "2"})
	other := NewUpstream(UpstreamFields{Address: "10.0.0.1:80", Instance: "i-1", SoftwareVersion: "1"})
	first := NewTables(1, nil, []*Pool{NewPool(PoolFields{Name: "a"}), NewPool(PoolFields{Name: "b", Upstreams: []*Upstream{old}})})

	is.True(first.HasProgram(old.Program(), old.SoftwareVersion()))
	is.True(!first.HasProgram(updated.Program(), updated.SoftwareVersion()))
	is.True(!first.HasProgram(other.Program(), other.SoftwareVersion()))

	second := first.WithOrganisations(nil).WithPools([]*Pool{NewPool(PoolFields{Name: "b", Upstreams: []*Upstream{updated}})})
	is.True(second.HasProgram(updated.Program(), updated.SoftwareVersion()))
	is.True(!second.HasProgram(old.Program(), old.SoftwareVersion()))
	is.True(first.HasProgram(old.Program(), old.SoftwareVersion()))
}
