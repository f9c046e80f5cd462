package attacher

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// runsOfFirst returns how many calls the first upstream has served.
func (w *testPlatform) runsOfFirst() int { return len(w.upstreams[0].Runs()) }

// callUntil sends calls until one succeeds after which f returns true.
func (w *testPlatform) callUntil(p *process, what string, f func() bool) {
	w.t.Helper()
	w.waitFor(what, func() bool {
		_, _, err := p.call(standin.KindIdempotent, "secret")
		return err == nil && f()
	})
}

// callsAvoidFirst sends some calls, and fails the test if the first upstream serves one
// of them.
func (w *testPlatform) callsAvoidFirst(p *process) {
	w.t.Helper()
	before := w.runsOfFirst()
	for range 20 {
		status, _, err := p.call(standin.KindIdempotent, "secret")
		w.NoErr(err)
		w.Equal(status, http.StatusOK)
	}
	w.Equal(w.runsOfFirst(), before)
}

// announceLeaving makes the first upstream announce in its replies that it is leaving, and
// sends calls until the router has applied it.
func (w *testPlatform) announceLeaving(p *process) {
	w.t.Helper()
	w.upstreams[0].Leave()
	w.callUntil(p, "the log event of the leaving upstream", func() bool { return strings.Contains(p.log.String(), "KCH1302") })
	w.waitFor("the tables with the leaving upstream", func() bool { return strings.Contains(p.log.String(), "leaving=1") })
}

// An upstream that announces in a reply that it is leaving must get no more calls, even
// if its registration in the store lacks this, until it has started again.
func TestLeavingUpstreamGetsNoCalls(t *testing.T) {
	w := newTestPlatform(t)
	p := w.start(loopback("14.1"), w.server.Listener.Addr().String())
	w.waitFor("readiness", p.isReady)
	w.announceLeaving(p)
	w.callsAvoidFirst(p)

	// Its registration does not mark it as leaving, also when it is written again.
	w.register("i-0", w.addresses[0], false)
	w.declare()
	w.waitFor("the new declaration", func() bool { return strings.Contains(p.log.String(), "version=6") })
	w.callsAvoidFirst(p)

	// An outage of the store must not make the router use the upstream again.
	w.storeDown.Store(true)
	w.waitFor("the log event of the unavailable store", func() bool { return strings.Contains(p.log.String(), "KCH1104") })
	w.callsAvoidFirst(p)
	w.storeDown.Store(false)
	w.waitFor("the log event of the available store", func() bool { return strings.Contains(p.log.String(), "KCH1105") })

	// The announcement does not hold for a later start of the upstream.
	value, err := standin.EncodeRegistration(w.addresses[0], false, time.Unix(1_700_000_100, 0), 1)
	w.put("servers/i-0", value, err)
	before := w.runsOfFirst()
	w.callUntil(p, "a call to the upstream that started again", func() bool { return w.runsOfFirst() > before })
}

// The announcement reaches the other routers in digests: they must send the upstream no
// calls either.
func TestPeersOfRouterAvoidLeavingUpstream(t *testing.T) {
	requireLoopback(t, loopback("14.3"))
	w := newTestPlatform(t)
	first := w.start(loopback("14.2"), w.server.Listener.Addr().String(), loopback("14.3"))
	second := w.start(loopback("14.3"), w.server.Listener.Addr().String(), loopback("14.2"))
	w.waitFor("readiness", first.isReady)
	w.waitFor("readiness", second.isReady)
	w.announceLeaving(first)
	w.waitFor("the log event of the leaving upstream from the peer", func() bool {
		return strings.Contains(second.log.String(), "source=peer") && strings.Contains(second.log.String(), "leaving=1")
	})
	w.callsAvoidFirst(second)
}

func TestPausedUpstreamGetsNoCalls(t *testing.T) {
	const pause = 2 * time.Second
	w := newTestPlatform(t)
	p := w.start(loopback("14.4"), w.server.Listener.Addr().String())
	w.waitFor("readiness", p.isReady)
	u := w.upstreams[0]
	u.Pause(pause)
	w.callUntil(p, "a rejected call", func() bool { return len(u.Rejected()) > 0 })
	until := u.Rejected()[0].PausedUntil
	for time.Now().Before(until) {
		status, _, err := p.call(standin.KindIdempotent, "secret")
		w.NoErr(err)
		w.Equal(status, http.StatusOK)
	}
	w.Equal(len(u.Rejected()), 1)
	before := w.runsOfFirst()
	w.callUntil(p, "a call to the upstream after its pause", func() bool { return w.runsOfFirst() > before })
}

func TestCallFailsAtOnceIfAllUpstreamsArePaused(t *testing.T) {
	const pause = 5 * time.Second
	w := newTestPlatform(t)
	p := w.start(loopback("14.5"), w.server.Listener.Addr().String())
	w.waitFor("readiness", p.isReady)
	for _, u := range w.upstreams {
		u.Pause(pause)
	}
	began := time.Now()
	status, _, err := p.call(standin.KindNonIdempotent, "secret")
	w.NoErr(err)
	w.Equal(status, http.StatusServiceUnavailable)
	w.True(time.Since(began) < time.Second) // before the pauses end
	for _, u := range w.upstreams {
		w.Equal(len(u.Runs()), 0)
		w.True(len(u.Rejected()) <= 1)
	}
}
