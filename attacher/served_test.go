package attacher

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/gatherer"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// queueStreams sends more streams to the routers than the two upstreams have slots.
func (w *testPlatform) queueStreams(routers ...*process) {
	for i := range 160 {
		p := routers[i%len(routers)]
		go func() {
			c := standin.Call{
				Kind: standin.KindStream, ID: fmt.Sprintf("queued-%d", i), Key: "secret", Deadline: 30 * time.Second,
				Body: strings.NewReader(strings.Repeat("question ", 4)), Interval: time.Second,
			}
			_, _, _ = roundTrip(w.t.Context(), http.DefaultTransport, c, p.front)
		}()
	}
}

// TestServedTokensAreExchanged guards against queued organisations of one router that don't reach the
// schedulers of another, and against an invalid message that is not logged.
func TestServedTokensAreExchanged(t *testing.T) {
	w := newTestPlatform(t)
	w.fair = true
	store := w.server.Listener.Addr().String()
	p := w.start("127.0.27.1", store)
	q := w.start("127.0.27.2", store, "127.0.27.1")
	for _, x := range []*process{p, q} {
		w.waitFor("the peer", func() bool { return x.isReady() && x.attacher.routers.Load() == 2 })
	}
	w.waitFor("a sum without organisations", func() bool { return q.attacher.fairness.inSum.Load() == 0 })
	w.queueStreams(p)
	w.waitFor("sum", func() bool { return q.attacher.fairness.inSum.Load() == 1 })

	from := net.UDPAddr{IP: net.IPv4(127, 0, 27, 3)}
	to := q.attacher.datagrams.LocalAddr().(*net.UDPAddr)
	conn, err := net.DialUDP("udp", &from, to)
	w.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte{byte(gatherer.KindFleetServed), 1})
	w.NoErr(err)
	w.waitFor("event", func() bool { return strings.Contains(q.log.String(), "KCH1407") })
}

// TestServedTokensAreKeptWithoutSetting guards against messages and decisions by what other routers
// served while the setting is off, as it is by default.
func TestServedTokensAreKeptWithoutSetting(t *testing.T) {
	w := newTestPlatform(t)
	store := w.server.Listener.Addr().String()
	off := w.start("127.0.27.4", store)
	w.fair = true
	on := w.start("127.0.27.5", store, "127.0.27.4")
	for _, x := range []*process{off, on} {
		w.waitFor("the peer", func() bool { return x.isReady() && x.attacher.routers.Load() == 2 })
	}
	w.queueStreams(off, on)
	time.Sleep(3 * time.Second)
	w.Equal(off.attacher.fairness.inSum.Load(), int64(-1))
	w.True(off.attacher.fairness.list == nil)
	w.True(!strings.Contains(off.log.String(), "KCH1407"))
}
