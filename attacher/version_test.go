package attacher

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pinner"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// registerVersion registers an upstream that reports the version of its software.
func (w *testPlatform) registerVersion(instance, address, version string) {
	w.t.Helper()
	value, err := standin.EncodeRegistration(address, false, time.Unix(1_700_000_000, 0), w.seq.Add(1))
	w.NoErr(err)
	entry := make(map[string]any)
	w.NoErr(json.Unmarshal(value, &entry))
	entry["version"] = version
	value, err = json.Marshal(entry)
	w.put(platform.RegistrationPrefix+instance, value, err)
}

// A stream that broke off was continued by an upstream of another software version.
func TestStreamIsNotJoinedFromTwoVersions(t *testing.T) {
	w := newTestPlatform(t)
	w.registerVersion("i-0", w.addresses[0], "1")
	w.registerVersion("i-1", w.addresses[1], "2")
	p := w.start(loopback("10.60"), w.server.Listener.Addr().String())
	w.waitFor("readiness", p.isReady)
	// The upstream that begins the stream breaks off each time.
	var began atomic.Pointer[standin.Upstream]
	for _, u := range w.upstreams {
		u.SetAbort(func(_ *http.Request, event int) bool {
			return event >= 7 && (began.CompareAndSwap(nil, u) || began.Load() == u)
		})
	}
	sent := time.Now()
	_, body, err := p.call(standin.KindResumableStream, "secret")
	w.True(err != nil)
	w.True(time.Since(sent) < 2*time.Second)
	w.True(strings.HasPrefix(completeStream(), body))
	w.True(len(w.upstreams[0].Runs()) == 0 || len(w.upstreams[1].Runs()) == 0)
}

// Streams of the only version were in no ledger: none went on after all routers were killed while a release to a
// second version began.
func TestStreamsOfOnlyVersionGoOnAfterReleaseWhileAllRoutersAreDown(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.registerVersions("1", "1")
	fleet := w.startFleet(96, 2)
	w.waitFor("the base", func() bool { return w.base() == "1" })
	streams := w.begin(fleet[0], 4)
	w.whileDown = func() { w.registerVersion("i-1", w.addresses[1], "2") } // half of the upstreams
	w.restart(96, fleet, 0, 1)
	time.Sleep(6 * time.Second) // until the second version is recorded and streams begin there
	for _, s := range streams {
		status, upstream := w.resumeStream(fleet[1], s, s.id)
		w.Equal(status, http.StatusOK)
		w.Equal(upstream, "i-0")
	}
	w.Equal(w.base(), "1")
	begun := w.beginAtEach(fleet[0], 3)
	w.restart(96, fleet, 0, 1)
	w.Equal(w.countResumed(fleet[1], begun), len(begun)) // those of the second version are in the ledger
	status, _ := w.resumeStream(fleet[1], begun[0], "")
	w.Equal(status, http.StatusServiceUnavailable)
}

// base returns the base in the record of the pool.
func (w *testPlatform) base() string {
	w.t.Helper()
	key := pinner.Record{Pool: standin.Pool}.Key()
	e, err := w.store.Get(w.t.Context(), key)
	if errors.Is(err, kingcuphook.ErrNotFound) {
		return ""
	}
	w.NoErr(err)
	r, err := pinner.DecodeRecord(key, e.Value())
	w.NoErr(err)
	return r.Base
}

// A stream that began at the second version while the store rejected all calls was joined at the base.
func TestStreamBeginsOnlyAtBaseWhileLedgerCannotBeWritten(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.registerVersions("1", "1")
	fleet := w.startFleet(97, 2)
	w.waitFor("the base", func() bool { return w.base() == "1" })
	w.registerVersion("i-1", w.addresses[1], "2")
	time.Sleep(6 * time.Second) // until the second version is recorded
	w.storeDown.Store(true)
	streams := w.beginServed(fleet[0], 12)
	w.Equal(len(streams), 12) // one whose record failed begins again
	w.whileDown = func() { w.storeDown.Store(false) }
	w.restart(97, fleet, 0, 1)
	w.Equal(w.countResumed(fleet[1], streams), len(streams))
}

// A router that started while the store was away began streams at another version than the base, or none.
func TestRouterWithoutStoreKeepsToRecordsOfPeers(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.registerVersions("1", "1")
	fleet := w.startFleet(104, 2)
	w.waitFor("the base", func() bool { return w.base() == "1" })
	w.registerVersion("i-1", w.addresses[1], "2")
	time.Sleep(6 * time.Second) // until the second version is recorded
	w.storeDown.Store(true)
	w.restart(104, fleet, 1)
	time.Sleep(time.Second)
	streams := w.beginServed(fleet[1], 8)
	w.Equal(len(streams), 8)
	for _, s := range streams {
		w.Equal(w.upstreamOf(s.id), "i-0")
	}
	w.storeDown.Store(false)
}
