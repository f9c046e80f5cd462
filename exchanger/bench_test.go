package exchanger_test

import (
	"runtime"
	"testing"

	"github.com/kingcuphook/kingcuphook/exchanger"
)

// BenchmarkConnections reports the heap and stack memory of one open connection,
// client and server side together.
func BenchmarkConnections(b *testing.B) {
	const n = 64
	a := newAuthority(b)
	d := digest(b)
	addresses := make([]string, 0, n)
	for range n {
		addresses = append(addresses, serve(b, &handler{}, a.credentials(b)).Addr().String())
	}
	for b.Loop() {
		before := memory()
		c := &exchanger.Client{Credentials: a.credentials(b)}
		for _, address := range addresses {
			if _, err := c.Exchange(b.Context(), address, d); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memory()-before)/1024/n, "KB/connection")
		if err := c.Close(); err != nil {
			b.Fatal(err)
		}
	}
}

func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
