package attacher

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/logger"
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

// A stop went by the grace time of the start, and the platform killed it by that of changed settings.
func TestPlannedStopEndsWithinShorterGraceTime(t *testing.T) {
	for i, test := range []struct{ start, before, during, want time.Duration }{
		{5 * time.Second, time.Second, time.Second, time.Second},
		{time.Second, 5 * time.Second, 5 * time.Second, time.Second},
		{1500 * time.Millisecond, 1500 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%v then %v and %v", test.start, test.before, test.during), func(t *testing.T) {
			t.Parallel()
			w := newTestPlatform(t)
			ip := loopback(fmt.Sprintf("71.%d", 1+i))
			store := w.server.Listener.Addr().String()
			w.grace = test.start
			p := w.start(ip, store)
			w.waitFor("readiness", p.isReady)
			reload := func(grace time.Duration) {
				w.grace = grace
				p.reload(w.settings(ip, store))
			}
			reload(test.before)
			stopped := time.Now()
			p.stop()
			w.waitFor("the stop", func() bool { return p.count(logger.Stopping) > 0 })
			reload(test.during)
			w.NoErr(<-p.ended)
			took := time.Since(stopped)
			w.True(took <= test.want && took >= test.want-2*killMargin)
		})
	}
}
