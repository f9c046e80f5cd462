package receiver

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The refusal of a call whose long body came too late was lost, since its connection was reset.
func TestRefusalReachesCallerThatIsSendingLate(t *testing.T) {
	for _, expects := range []bool{false, true} {
		is := is.New(t)
		r := newMemoryHarness(t, respondWith(http.StatusOK, "done"))
		c := rawCall{id: "a", bytes: largeBytes, pause: 100 * time.Millisecond, deadline: "300ms", expects: expects}
		resp, err := c.send(r.address())
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	}
}
