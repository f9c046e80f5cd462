package attacher

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// TestChangesOfTablesEndNoRunningCall checks that a change of the tables ends no call that was
// sent to an upstream, whether its answer has begun or not.
func TestChangesOfTablesEndNoRunningCall(t *testing.T) {
	const silence = 300 * time.Millisecond
	for i, test := range []struct {
		name   string
		change func(w *testPlatform)
	}{
		{"route and pool removed", func(w *testPlatform) {
			w.version += 3
			w.put(platform.DeclarationKey, fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"tenants":[]}`, w.version), nil)
		}},
		{"upstreams leave", func(w *testPlatform) {
			for i, u := range w.upstreams {
				w.register(u.Instance, w.addresses[i], true)
			}
		}},
		{"pool becomes empty", func(w *testPlatform) {
			for _, u := range w.upstreams {
				w.NoErr(w.store.Delete(t.Context(), platform.RegistrationPrefix+u.Instance, kingcuphook.RevisionAny))
			}
		}},
		{"addresses move to another pool", func(w *testPlatform) {
			w.version += 3
			value, err := standin.EncodeDeclaration(w.version, w.keys...)
			w.put(platform.DeclarationKey, bytes.Replace(value, []byte(`"services":[`), []byte(`"services":[{"name":"other"},`), 1), err)
			for i, u := range w.upstreams {
				w.NoErr(w.store.Delete(t.Context(), platform.RegistrationPrefix+u.Instance, kingcuphook.RevisionAny))
				value, err := standin.EncodeRegistration(w.addresses[i], false, time.Unix(1_800_000_000, 0), w.seq.Add(1))
				w.put(platform.RegistrationPrefix+"other-"+u.Instance, bytes.Replace(value, []byte(`"models"`), []byte(`"other"`), 1), err)
			}
		}},
		{"keys removed", func(w *testPlatform) { w.keys = nil; w.declare() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newTestPlatform(t)
			for _, u := range w.upstreams {
				u.EventInterval = silence / 5 // the change arrives within the answers
				u.SetAbort(func(_ *http.Request, event int) bool {
					if event == 0 {
						time.Sleep(silence)
					}
					return false
				})
			}
			p := w.start(loopback(fmt.Sprintf("10.%d", 31+i)), w.server.Listener.Addr().String())
			w.waitFor("readiness", p.isReady)
			bodies := make(chan string, 8)
			for i := range cap(bodies) {
				kind := []standin.Kind{standin.KindStream, standin.KindResumableStream}[i%2]
				go func() {
					_, body, _ := p.call(kind, "secret")
					bodies <- body
				}()
				if i == cap(bodies)/2 {
					time.Sleep(silence + silence/6) // the first half is streaming
				}
			}
			time.Sleep(silence / 3) // the second half is sent and unanswered
			test.change(w)
			for range cap(bodies) {
				w.Equal(<-bodies, completeStream())
			}
		})
	}
}
