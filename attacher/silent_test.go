package attacher

import (
	"net/http"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// An upstream fell silent, and the router ended most of its streams for retries that it did not make.
func TestSilentUpstreamLosesNoStream(t *testing.T) {
	w := newTestPlatform(t)
	for _, u := range w.upstreams {
		u.SetAbort(func(r *http.Request, event int) bool {
			if event == 5 && r.Header.Get("Last-Event-Id") == "" {
				time.Sleep(1500 * time.Millisecond) // the limit is 3 times the target of 400 ms
			}
			return false
		})
	}
	p := w.start(loopback("10.19"), w.server.Listener.Addr().String())
	w.waitFor("readiness", p.isReady)
	bodies := make(chan string, 28)
	for range cap(bodies) {
		go func() {
			_, body, _ := p.call(standin.KindResumableStream, "secret")
			bodies <- body
		}()
	}
	for range cap(bodies) {
		w.Equal(<-bodies, completeStream())
	}
}

// Sound upstreams fell silent for two seconds, and streams went on elsewhere while they still ran
// them.
func TestSoundUpstreamThatIsSilentKeepsItsStreams(t *testing.T) {
	w := newTestPlatform(t)
	p := w.start(loopback("10.19"), w.server.Listener.Addr().String())
	w.waitFor("readiness", p.isReady)
	for _, u := range w.upstreams {
		u.EventInterval = 40 * time.Millisecond
	}
	bodies := make(chan string, 20)
	for range cap(bodies) {
		go func() {
			_, body, _ := p.call(standin.KindResumableStream, "secret")
			bodies <- body
		}()
	}
	time.Sleep(250 * time.Millisecond)
	for _, u := range w.upstreams {
		u.FallSilent(1900 * time.Millisecond)
	}
	for range cap(bodies) {
		w.Equal(<-bodies, completeStream())
	}
	runs := 0
	for _, u := range w.upstreams {
		runs += len(u.Runs())
	}
	w.Equal(runs, cap(bodies))
}
