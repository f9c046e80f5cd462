package router

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/emulator/responder"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const limitedRoutes = `
[[route]]
name = "calls"
path = "/lookup"
pool = "services"
tier = 1
`

const limitedPools = `
[[pool]]
name = "services"
[[pool.upstream]]
address = "%s"
region = "cairo"
data-centre = "cairo-1"
kind = "service"
slots = 64
[[pool.upstream]]
address = "%s"
region = "cairo"
data-centre = "cairo-1"
kind = "service"
slots = 64
`

// startFleet starts n routers that know each other, before the given upstreams.
func startFleet(t *testing.T, n int, upstreams ...*responder.Upstream) []*Router {
	t.Helper()
	store := &storer.Store{}
	platform := servePlatform(t, store)
	addresses := make([]any, 0, len(upstreams))
	for _, u := range upstreams {
		s := httptest.NewServer(u)
		t.Cleanup(s.Close)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	applyTables(t, store, limitedRoutes, fmt.Sprintf(limitedPools, addresses...))
	return runFleet(t, store, platform, n)
}

// load sends calls through each router for d, one every interval, and returns how many
// were answered with each status.
func load(t *testing.T, routers []*Router, d, interval time.Duration) map[int]int {
	t.Helper()
	var mu sync.Mutex
	statuses := make(map[int]int)
	var group sync.WaitGroup
	start := time.Now()
	for i, r := range routers {
		for n := range int(d / interval) {
			group.Go(func() {
				time.Sleep(time.Until(start.Add(time.Duration(n) * interval)))
				status := lookUp(r, fmt.Sprintf("router %d call %d", i, n))
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
	}
	group.Wait()
	return statuses
}

// lookUp sends a call and returns the status of the answer; 0 if there was none.
func lookUp(r *Router, body string) int {
	resp, err := http.Post("http://"+r.CallersAddress()+"/lookup", "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Routers that each keep to their own view, and their polls for load reports, send an
// upstream several times the rate that it announced.
func TestRoutersTogetherKeepRateLimitOfUpstream(t *testing.T) {
	for _, perSecond := range []float64{4, 1} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			t.Parallel()
			upstreams := []*responder.Upstream{{Slots: 64}, {Slots: 64}}
			routers := startFleet(t, 6, upstreams...)
			load(t, routers, 4*time.Second, 100*time.Millisecond) // until the routers issue permits
			limited := slices.MaxFunc(upstreams, func(a, b *responder.Upstream) int {
				return cmp.Compare(len(a.Record().Started), len(b.Record().Started))
			})
			limited.SetRateLimit(fmt.Sprint(perSecond))
			load(t, routers, time.Second, 25*time.Millisecond)
			told := time.Now().Add(standin.RateLimitDelay)
			const loaded = 10 * time.Second
			statuses := load(t, routers, loaded, 100*time.Millisecond)
			var times []time.Time
			for _, at := range limited.Arrivals() {
				if at.After(told) {
					times = append(times, at)
				}
			}
			t.Logf("%d requests in %v, at most %d in a window, statuses %v", len(times), loaded, standin.MostCalls(times), statuses)
			if most, allowed := standin.MostCalls(times), standin.AllowedCalls(perSecond); most > allowed {
				t.Errorf("%d requests in a window of %v, %d are allowed", most, standin.RateLimitWindow, allowed)
			}
			if used := float64(len(times)) / (loaded - standin.RateLimitDelay).Seconds(); used < perSecond/2 {
				t.Errorf("%.2f requests a second, at least half of the limit is to be used", used)
			}
			if statuses[http.StatusOK] != 6*100 {
				t.Errorf("statuses %v, want all calls served", statuses)
			}
		})
	}
}
