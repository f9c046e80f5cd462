package attacher

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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
