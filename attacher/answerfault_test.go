package attacher

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// A stream that broke off after its first event went on with an answer that isn't its rest: its caller
// got that text, or a clean end.
func TestBrokenStreamDoesNotGoOnWithOtherAnswer(t *testing.T) {
	const events = 4
	for i, fault := range standin.AnswerFaults() {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			w := newTestPlatform(t)
			for _, u := range w.upstreams {
				u.SetAbort(func(_ *http.Request, event int) bool { return event == events })
				u.SetAnswerFault(func(r *http.Request) standin.AnswerFault {
					if r.Header.Get("Last-Event-Id") == "" {
						return standin.AnswerFaultNone
					}
					return fault
				})
			}
			p := w.start(loopback(fmt.Sprintf("10.%d", 100+i)), w.server.Listener.Addr().String())
			w.waitFor("readiness", p.isReady)
			status, body, err := p.call(standin.KindResumableStream, "secret")
			w.Equal(status, http.StatusOK)
			w.True(err != nil) // no clean end
			w.Equal(strings.Count(body, "id: "), events)
			w.True(strings.HasPrefix(completeStream(), body))
			w.Equal(len(w.upstreams[0].Runs())+len(w.upstreams[1].Runs()), 2) // it was resumed, and not more often than allowed
		})
	}
}
