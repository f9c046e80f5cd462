package router

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/configurer"
	"github.com/kingcuphook/kingcuphook/editor"
	"github.com/kingcuphook/kingcuphook/emulator/responder"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/parser"
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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	(&storer.Server{Store: store}).Register(g)
	go func() { _ = g.Serve(l) }()
	t.Cleanup(g.Stop)
	addresses := make([]any, 0, len(upstreams))
	for _, u := range upstreams {
		s := httptest.NewServer(u)
		t.Cleanup(s.Close)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	applyTables(t, store, limitedRoutes, fmt.Sprintf(limitedPools, addresses...))

	routers := make([]*Router, 0, n)
	vms := make([]kingcuphook.VM, 0, n)
	for i := range n {
		s := configurer.Default()
		s.Node = configurer.Node{Region: "cairo", DataCentre: "cairo-1"}
		anyPort := "127.0.0.1:0"
		s.Listen = configurer.Listen{Callers: anyPort, Operators: anyPort, Admin: anyPort, Peers: anyPort}
		s.Platform.Address = l.Addr().String()
		s.TLS.PlainText = true
		s.Operators.Token = "rate-limit-token-0"
		s.Stop.DrainDelay = 0
		r := &Router{Settings: &s, Seed: uint64(i) + 1}
		if err := r.Listen(); err != nil {
			t.Fatal(err)
		}
		routers = append(routers, r)
		vms = append(vms, kingcuphook.NewVM(r.PeersAddress(), "cairo", "cairo-1", kingcuphook.VMStateLive))
	}
	store.SetVMs(vms)
	for _, r := range routers {
		run(t, r)
	}
	return routers
}

// run runs a router until the test ends, and waits until it is ready.
func run(t *testing.T, r *Router) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	for until := time.Now().Add(10 * time.Second); !r.Ready(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("timed out waiting for readiness")
		}
	}
}

func applyTables(t *testing.T, store *storer.Store, routes, pools string) {
	t.Helper()
	r, err := parser.ParseRoutes("routes", []byte(routes))
	if err != nil {
		t.Fatal(err)
	}
	p, err := parser.ParsePools("pools", []byte(pools))
	if err != nil {
		t.Fatal(err)
	}
	e := editor.Editor{Store: store}
	if _, err := e.Apply(t.Context(), editor.Edit{Author: "test", Base: editor.BaseNewest, Routes: r, Pools: p}); err != nil {
		t.Fatal(err)
	}
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
			if used := float64(len(times)) / loaded.Seconds(); used < perSecond/2 {
				t.Errorf("%.2f requests a second, at least half of the limit is to be used", used)
			}
			if statuses[http.StatusOK] != 6*100 {
				t.Errorf("statuses %v, want all calls served", statuses)
			}
		})
	}
}
