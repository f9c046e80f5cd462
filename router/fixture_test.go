package router

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/configurer"
	"github.com/kingcuphook/kingcuphook/editor"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/parser"
)

// servePlatform serves a store until the test ends, and returns its address.
func servePlatform(tb testing.TB, store *storer.Store) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	g := grpc.NewServer()
	(&storer.Server{Store: store}).Register(g)
	go func() { _ = g.Serve(l) }()
	tb.Cleanup(g.Stop)
	return l.Addr().String()
}

// applyTables writes tables to a store.
func applyTables(tb testing.TB, store *storer.Store, routes, pools string) {
	tb.Helper()
	r, err := parser.ParseRoutes("routes", []byte(routes))
	if err != nil {
		tb.Fatal(err)
	}
	p, err := parser.ParsePools("pools", []byte(pools))
	if err != nil {
		tb.Fatal(err)
	}
	e := editor.Editor{Store: store}
	if _, err := e.Apply(context.Background(), editor.Edit{Author: "test", Base: editor.BaseNewest, Routes: r, Pools: p}); err != nil {
		tb.Fatal(err)
	}
}

// listen returns a router that listens on free ports.
func listen(tb testing.TB, platform string, seed uint64) *Router {
	tb.Helper()
	s := configurer.Default()
	s.Node = configurer.Node{Region: "cairo", DataCentre: "cairo-1"}
	anyPort := "127.0.0.1:0"
	s.Listen = configurer.Listen{Callers: anyPort, Operators: anyPort, Admin: anyPort, Peers: anyPort}
	s.Platform.Address = platform
	s.TLS.PlainText = true
	s.Operators.Token = "operators-token-0"
	s.Stop.DrainDelay = 0
	r := &Router{Settings: &s, Seed: seed}
	if err := r.Listen(); err != nil {
		tb.Fatal(err)
	}
	return r
}

// run runs a router until the test ends, and waits until it is ready.
func run(tb testing.TB, r *Router) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	tb.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			tb.Error(err)
		}
	})
	for until := time.Now().Add(10 * time.Second); !r.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			tb.Fatal("timed out waiting for readiness")
		}
	}
}

// runFleet runs n routers that the store lists as live VMs, until the test ends.
func runFleet(tb testing.TB, store *storer.Store, platform string, n int) []*Router {
	tb.Helper()
	routers := make([]*Router, 0, n)
	vms := make([]kingcuphook.VM, 0, n)
	for i := range n {
		r := listen(tb, platform, uint64(i)+1)
		routers = append(routers, r)
		vms = append(vms, kingcuphook.NewVM(r.PeersAddress(), "cairo", "cairo-1", kingcuphook.VMStateLive))
	}
	store.SetVMs(vms)
	for _, r := range routers {
		run(tb, r)
	}
	return routers
}
