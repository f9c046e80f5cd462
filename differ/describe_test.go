package differ

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

func TestDescribeUsesKeysOfTables(t *testing.T) {
	is := is.New(t)
	r := kingcuphook.NewRoute(kingcuphook.RouteFields{Name: "a", Pool: "p", Tier: 2, Target: 1500 * time.Millisecond})
	is.Equal(Describe(Value{Route: r}), `{pool = "p", tier = 2, target = "1.5s"}`)
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: "127.0.0.1:1", Region: "cairo", Models: []string{"m"}, Leaving: true})
	is.Equal(Describe(Value{Upstream: u}), `{region = "cairo", models = ["m"], leaving = true}`)
	is.Equal(Describe(Value{}), "removed")
}
