package attacher

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// The process ended with calls in flight, whose connections closed without a response.
func TestPlannedStopAnswersCallsThatAreStillOpen(t *testing.T) {
	w := newTestPlatform(t)
	end := make(chan struct{})
	for _, u := range w.upstreams {
		u.SetAbort(func(*http.Request, int) bool { <-end; return true })
	}
	t.Cleanup(func() { close(end) })
	p := w.start(loopback("10.17"), w.server.Listener.Addr().String())
	w.waitFor("readiness", p.isReady)
	statuses := make(chan int, 5)
	for range cap(statuses) {
		go func() {
			status, _, _ := p.call(standin.KindStream, "secret")
			statuses <- status
		}()
	}
	time.Sleep(200 * time.Millisecond)
	stopped := time.Now()
	p.stop()
	w.NoErr(<-p.ended)
	w.True(time.Since(stopped) < 3*time.Second)          // the grace time of the stand-in
	w.True(!strings.Contains(p.log.String(), "KCH1011")) // no call was in flight at the end
	for range cap(statuses) {
		select {
		case status := <-statuses:
			w.Equal(status, http.StatusBadGateway) // the upstream may have run the call
		case <-time.After(time.Second): // its caller has yet to read the response
			t.Fatal("the router ended with a call in flight that has no response")
		}
	}
}
