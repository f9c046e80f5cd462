package attacher

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// runsOfFirst returns how many calls the first upstream has run.
func (w *world) runsOfFirst() int { return len(w.upstreams[0].Runs()) }

// callUntil calls until f holds.
func (w *world) callUntil(p *process, what string, f func() bool) {
	w.t.Helper()
	w.eventually(what, func() bool {
		_, _, err := p.call(standin.KindIdempotent, "secret")
		return err == nil && f()
	})
}

// callsAvoidFirst calls some times, and fails if the first upstream gets one of the
// calls.
func (w *world) callsAvoidFirst(p *process) {
	w.t.Helper()
	before := w.runsOfFirst()
	for range 20 {
		status, _, err := p.call(standin.KindIdempotent, "secret")
		w.NoErr(err)
		w.Equal(status, http.StatusOK)
	}
	w.Equal(w.runsOfFirst(), before)
}

// leaveByWord has the first upstream say that it leaves, and calls until the router
// knows.
func (w *world) leaveByWord(p *process) {
	w.t.Helper()
	w.upstreams[0].Leave()
	w.callUntil(p, "the news that an upstream leaves", func() bool { return strings.Contains(p.log.String(), "KCH1302") })
	w.eventually("its end of use", func() bool { return strings.Contains(p.log.String(), "leaving=1") })
}

func TestUpstreamLeavesByItsOwnWord(t *testing.T) {
	w := newWorld(t)
	p := w.start("127.0.14.1", w.server.Listener.Addr().String())
	w.eventually("readiness", p.isReady)
	w.leaveByWord(p)
	w.callsAvoidFirst(p)

	// Its registration still says that it is ready, also when it comes anew.
	w.register("i-0", w.addresses[0], false)
	w.declare()
	w.eventually("the new declaration", func() bool { return strings.Contains(p.log.String(), "version=6") })
	w.callsAvoidFirst(p)

	// The store is silent.
	w.refuseAll.Store(true)
	w.eventually("the loss of the store", func() bool { return strings.Contains(p.log.String(), "KCH1104") })
	w.callsAvoidFirst(p)
	w.refuseAll.Store(false)
	w.eventually("the return of the store", func() bool { return strings.Contains(p.log.String(), "KCH1105") })

	// Another start of the program has not said so.
	value, err := standin.EncodeRegistration(w.addresses[0], false, time.Unix(1_700_000_100, 0))
	w.put("servers/i-0", value, err)
	before := w.runsOfFirst()
	w.callUntil(p, "the use of the program that started again", func() bool { return w.runsOfFirst() > before })
}

func TestPeersHearThatAnUpstreamLeaves(t *testing.T) {
	needsLoopback(t, "127.0.14.3")
	w := newWorld(t)
	first := w.start("127.0.14.2", w.server.Listener.Addr().String(), "127.0.14.3")
	second := w.start("127.0.14.3", w.server.Listener.Addr().String(), "127.0.14.2")
	w.eventually("readiness", first.isReady)
	w.eventually("readiness", second.isReady)
	w.leaveByWord(first)
	w.eventually("the news from the peer", func() bool {
		return strings.Contains(second.log.String(), "source=peer") && strings.Contains(second.log.String(), "leaving=1")
	})
	w.callsAvoidFirst(second)
}

func TestUpstreamHasItsRest(t *testing.T) {
	const rest = 2 * time.Second
	w := newWorld(t)
	p := w.start("127.0.14.4", w.server.Listener.Addr().String())
	w.eventually("readiness", p.isReady)
	u := w.upstreams[0]
	u.Pause(rest)
	w.callUntil(p, "a call that is turned away", func() bool { return len(u.Rejected()) > 0 })
	until := u.Rejected()[0].PausedUntil
	for time.Now().Before(until) {
		status, _, err := p.call(standin.KindIdempotent, "secret")
		w.NoErr(err)
		w.Equal(status, http.StatusOK)
	}
	w.Equal(len(u.Rejected()), 1)
	before := w.runsOfFirst()
	w.callUntil(p, "its return", func() bool { return w.runsOfFirst() > before })
}

func TestCallersHearWhenAllUpstreamsRest(t *testing.T) {
	const rest = 5 * time.Second
	w := newWorld(t)
	p := w.start("127.0.14.5", w.server.Listener.Addr().String())
	w.eventually("readiness", p.isReady)
	for _, u := range w.upstreams {
		u.Pause(rest)
	}
	began := time.Now()
	status, _, err := p.call(standin.KindNonIdempotent, "secret")
	w.NoErr(err)
	w.Equal(status, http.StatusServiceUnavailable)
	w.True(time.Since(began) < time.Second) // at once
	for _, u := range w.upstreams {
		w.Equal(len(u.Runs()), 0)
		w.True(len(u.Rejected()) <= 1)
	}
}
