package encoder

import (
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
)

func TestValueTOML(t *testing.T) {
	is := is.New(t)
	text, err := ValueTOML(differ.Value{Route: kingcuphook.NewRoute(kingcuphook.RouteFields{Name: "a", Pool: "p", Tier: 2, NonIdempotent: true})})
	is.NoErr(err)
	is.Equal(string(text), "name = 'a'\npool = 'p'\ntier = 2\nnon-idempotent = true\n")
	text, err = ValueTOML(differ.Value{})
	is.NoErr(err)
	is.Equal(len(text), 0)
}
