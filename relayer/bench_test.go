package relayer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/kingcuphook/kingcuphook"
)

// startBench starts an upstream and a helper before it, and returns a dialer through the helper.
func startBench(b *testing.B) (upstream string, dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	answer := strings.Repeat("a", 4096)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))
	b.Cleanup(server.Close)
	upstream = server.Listener.Addr().String()
	helper := httptest.NewServer(&Door{
		IsRouter: func(netip.Addr) bool { return true }, IsUpstream: func(kingcuphook.Program) bool { return true }, Max: 4096,
	})
	b.Cleanup(helper.Close)
	r := &Relayer{}
	return upstream, func(ctx context.Context, _, _ string) (net.Conn, error) {
		return r.Dial(ctx, helper.Listener.Addr().String(), kingcuphook.NewProgram(upstream, "i", 0), "c")
	}
}

// BenchmarkRequest measures a request on an open connection, directly and through a helper in the
// same process.
func BenchmarkRequest(b *testing.B) {
	for _, way := range []string{"direct", "relayed", "relayed-new"} {
		b.Run(way, func(b *testing.B) {
			upstream, dial := startBench(b)
			t := &http.Transport{DisableKeepAlives: way == "relayed-new"}
			if way != "direct" {
				t.DialContext = dial
			}
			defer t.CloseIdleConnections()
			for b.Loop() {
				r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+upstream+"/", nil)
				if err != nil {
					b.Fatal(err)
				}
				resp, err := t.RoundTrip(r)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
}

// BenchmarkOpenConnections measures the memory of open relayed connections, with their ends at the
// router, the helper and the upstream.
func BenchmarkOpenConnections(b *testing.B) {
	const n = 500
	_, dial := startBench(b)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var open []net.Conn
		for range n {
			c, err := dial(b.Context(), "", "")
			if err != nil {
				b.Fatal(err)
			}
			open = append(open, c)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/n, "B/connection")
		for _, c := range open {
			c.Close()
		}
	}
}
