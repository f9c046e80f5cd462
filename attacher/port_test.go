package attacher

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/platform"
)

// Heads of a megabyte on ports that aren't those of callers took all the memory of a router.
func TestHeadsOnOtherPortsAreBounded(t *testing.T) {
	const connections, mostBytes = 40, 32 << 20
	w := newTestPlatform(t)
	ip := loopback("10.190")
	settings := w.settings(ip, w.server.Listener.Addr().String())
	p := w.start(ip, w.server.Listener.Addr().String())
	w.waitFor("readiness", p.isReady)
	for name, address := range map[string]string{
		"ready": settings.ReadyAddress(), "metrics": settings.MetricsAddress(), "peers": settings.PeerAddress(),
	} {
		t.Run(name, func(t *testing.T) {
			before := heapBytes()
			for range connections {
				c, err := net.Dial("tcp", address)
				w.NoErr(err)
				defer c.Close()
				w.NoErr(c.SetDeadline(time.Now().Add(time.Second)))
				// Part of it may be refused.
				_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n%s", platform.PathReady, strings.Repeat("a:\r\n", 200_000))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Error(err)
					continue
				}
				w.NoErr(resp.Body.Close())
				w.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
			}
			if held := heapBytes() - before; held > mostBytes {
				t.Errorf("%d MiB held", held>>20)
			}
		})
	}
	w.True(p.isReady())
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
