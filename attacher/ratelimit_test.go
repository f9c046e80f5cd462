package attacher

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// load sends calls through each router for d, one every interval, and returns how many
// were answered with each status.
func (w *testPlatform) load(routers []*process, d, interval time.Duration) map[int]int {
	var mu sync.Mutex
	statuses := make(map[int]int)
	var group sync.WaitGroup
	until := time.Now().Add(d)
	for _, p := range routers {
		for n := 0; n < int(d/interval); n++ {
			group.Go(func() {
				time.Sleep(time.Until(until.Add(-d + time.Duration(n)*interval)))
				status, _, err := p.call(standin.KindIdempotent, "secret")
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					status = 0
				}
				statuses[status]++
			})
		}
	}
	group.Wait()
	return statuses
}

// callsSince returns the arrival times of the calls to an upstream after a time.
func callsSince(u *standin.Upstream, since time.Time) []time.Time {
	var times []time.Time
	for _, r := range u.Runs() {
		if r.At.After(since) {
			times = append(times, r.At)
		}
	}
	return times
}

// Eight routers, each of which keeps to its own view, sent an upstream several times the
// rate that it had announced to all of them.
func TestRoutersTogetherKeepRateLimitOfUpstream(t *testing.T) {
	for i, perSecond := range []float64{4, 1, 0.5} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			t.Parallel()
			w := newTestPlatform(t)
			routers := w.startFleet(16+i, 8)
			time.Sleep(3 * time.Second) // until the routers issue permits
			w.upstreams[0].SetRateLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
			w.load(routers, time.Second, 25*time.Millisecond)
			told := time.Now().Add(standin.RateLimitDelay)
			const loaded = 10 * time.Second
			statuses := w.load(routers, loaded, 100*time.Millisecond)
			times := callsSince(w.upstreams[0], told)
			t.Logf("%d calls in %v, at most %d in a window, statuses %v", len(times), loaded, standin.MostCalls(times), statuses)
			if most, allowed := standin.MostCalls(times), standin.AllowedCalls(perSecond); most > allowed {
				t.Errorf("%d calls in a window of %v, %d are allowed", most, standin.RateLimitWindow, allowed)
			}
			if used := float64(len(times)) / loaded.Seconds(); used < perSecond/2 {
				t.Errorf("%.2f calls a second, at least half of the limit is to be used", used)
			}
			w.Equal(statuses[http.StatusOK], 8*100) // the other upstream serves the rest
		})
	}
}
