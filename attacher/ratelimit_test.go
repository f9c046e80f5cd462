package attacher

import (
	"context"
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
			if used := float64(len(times)) / (loaded - standin.RateLimitDelay).Seconds(); used < perSecond/2 {
				t.Errorf("%.2f calls a second, at least half of the limit is to be used", used)
			}
			w.Equal(statuses[http.StatusOK], 8*100) // the other upstream serves the rest
		})
	}
}

// While all upstreams are at their rate limit, what they take is used and the rest is rejected
// as not run, with a time to retry after, before it has waited longer than for a slot.
func TestCallsAreRejectedWhileAllUpstreamsAreLimited(t *testing.T) {
	t.Parallel()
	const perSecond, loaded, deadline = 2, 10 * time.Second, 8 * time.Second
	w := newTestPlatform(t)
	routers := w.startFleet(19, 3)
	time.Sleep(3 * time.Second) // until the routers issue permits
	for _, u := range w.upstreams {
		u.SetRateLimit(strconv.Itoa(perSecond))
	}
	w.load(routers, time.Second, 25*time.Millisecond)
	told := time.Now().Add(standin.RateLimitDelay)

	var mu sync.Mutex
	var group sync.WaitGroup
	served, rejected := 0, 0
	for n := range 100 {
		group.Go(func() {
			time.Sleep(time.Duration(n) * loaded / 100)
			sent := time.Now()
			resp, err := routers[n%len(routers)].send(standin.Call{Kind: standin.KindIdempotent, ID: fmt.Sprintf("%016x", n), Key: "secret", Deadline: deadline})
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			if resp.StatusCode == http.StatusOK {
				served++
				return
			}
			rejected++
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if resp.StatusCode != http.StatusServiceUnavailable || err != nil || after <= 0 {
				t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
			}
			if waited := time.Since(sent); waited > time.Duration(waitShare*float64(deadline))+500*time.Millisecond {
				t.Errorf("rejected after %v", waited)
			}
		})
	}
	group.Wait()
	t.Logf("%d served, %d rejected", served, rejected)
	if least := int(perSecond * loaded.Seconds() * float64(len(w.upstreams)) / 2); served < least {
		t.Errorf("%d calls served, want at least %d", served, least)
	}
	for _, u := range w.upstreams {
		if most, allowed := standin.MostCalls(callsSince(u, told)), standin.AllowedCalls(perSecond); most > allowed {
			t.Errorf("%d calls in a window, %d are allowed", most, allowed)
		}
	}
}

// send sends a call and returns the response.
func (p *process) send(c standin.Call) (*http.Response, error) {
	c.Body = http.NoBody
	r, err := c.Request(context.Background(), p.front)
	if err != nil {
		return nil, err
	}
	return http.DefaultTransport.RoundTrip(r)
}
