package receiver

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// Refusals of calls whose bodies were still being sent were lost, since the connection was reset.
func TestRefusalsReachCallersThatAreSendingBodies(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for name, test := range map[string]struct {
			setUp  func(r *harness)
			status int
		}{
			"no tables": {func(r *harness) { r.Directory = func() Directory { return Directory{} } }, http.StatusServiceUnavailable},
			"no route": {func(r *harness) {
				r.Directory = func() Directory { return Directory{Tables: kingcuphook.NewTables(2, nil, nil)} }
			}, http.StatusNotFound},
			"stopping": {func(r *harness) {
				r.StopTimes = func() (late, end time.Time) { return time.Now(), time.Now() }
			}, http.StatusServiceUnavailable},
		} {
			t.Run(fmt.Sprintf("%s/chunked=%v", name, chunked), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				r := newMemoryHarness(t, respondWith(http.StatusOK, "done"))
				test.setUp(r)
				resp, err := rawCall{id: "a", bytes: largeBytes, chunked: chunked, pause: 100 * time.Millisecond}.send(r.address())
				is.NoErr(err)
				is.Equal(resp.StatusCode, test.status)
			})
		}
	}
}
