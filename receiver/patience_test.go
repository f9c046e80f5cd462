package receiver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// A call must go on elsewhere before its caller abandons it, but not while a sound upstream may be
// silent.
func TestPatienceEndsBeforeThatOfCaller(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct{ target, tokenTarget, want time.Duration }{
		{want: 1700 * time.Millisecond},
		{target: 500 * time.Millisecond, tokenTarget: 250 * time.Millisecond, want: 1700 * time.Millisecond},
		{target: 500 * time.Millisecond, tokenTarget: 400 * time.Millisecond, want: 2100 * time.Millisecond},
		{target: time.Second, want: 2100 * time.Millisecond},
	} {
		is.Equal(patience(kingcuphook.NewRoute(kingcuphook.RouteFields{Target: test.target, TokenTarget: test.tokenTarget})), test.want)
	}
}
