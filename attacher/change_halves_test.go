package attacher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// A call on a kept connection must end in a complete response also if the tables change while it
// is half read or queued.
func TestChangesOfTablesLeaveNoCallUnanswered(t *testing.T) {
	changes := []struct {
		name   string
		change func(w *testPlatform)
	}{
		{"all removed", func(w *testPlatform) {
			w.version += 3
			w.put(platform.DeclarationKey, fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"tenants":[]}`, w.version), nil)
		}},
		{"keys removed", func(w *testPlatform) { w.keys = nil; w.declare() }},
		{"several in quick succession", func(w *testPlatform) {
			for range 5 {
				w.declare()
				time.Sleep(60 * time.Millisecond)
			}
		}},
		{"upstreams leave and come back", func(w *testPlatform) {
			for i, u := range w.upstreams {
				w.NoErr(w.store.Delete(t.Context(), platform.RegistrationPrefix+u.Instance, kingcuphook.RevisionAny))
				w.register(u.Instance, w.addresses[i], false)
			}
		}},
	}
	for i, test := range changes {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newTestPlatform(t)
			p := w.start(loopback(fmt.Sprintf("10.%d", 201+i)), w.server.Listener.Addr().String())
			w.waitFor("readiness", p.isReady)
			raw := w.rawCall(p.front)
			halves := []*keptCall{w.keep(p.front, raw), w.keep(p.front, raw), w.keep(p.front, raw)}
			body := strings.Index(raw, "\r\n\r\n") + len("\r\n\r\n")
			for n, k := range halves {
				k.send(raw[:[]int{10, body - 3, body + 4}[n]])
			}
			// The streams take all slots, so that the last call is queued.
			busy := make(chan error, 40)
			for range cap(busy) {
				go func() {
					_, _, err := p.call(standin.KindResumableStream, "secret")
					busy <- err
				}()
			}
			time.Sleep(100 * time.Millisecond)
			queued := w.keep(p.front, raw)
			queued.send(raw)
			test.change(w)
			time.Sleep(700 * time.Millisecond) // the router has the change
			for n, k := range halves {
				k.send(raw[[]int{10, body - 3, body + 4}[n]:])
			}
			for _, k := range append(halves, queued) {
				k.awaitResponse()
			}
			for range cap(busy) {
				w.NoErr(<-busy)
			}
		})
	}
}

// keptCall is a call on a connection that had one before.
type keptCall struct {
	w    *testPlatform
	conn net.Conn
	r    *bufio.Reader
}

// rawCall returns the bytes of a call.
func (w *testPlatform) rawCall(front string) string {
	c := standin.Call{Kind: standin.KindNonIdempotent, ID: "0123456789abcdef", Key: "secret", Deadline: 8 * time.Second, Body: strings.NewReader("question")}
	r, err := c.Request(w.t.Context(), front)
	w.NoErr(err)
	var b strings.Builder
	w.NoErr(r.Write(&b))
	return b.String()
}

// keep opens a connection and sends a first call on it.
func (w *testPlatform) keep(front, raw string) *keptCall {
	c, err := net.Dial("tcp", front)
	w.NoErr(err)
	w.t.Cleanup(func() { c.Close() })
	k := &keptCall{w, c, bufio.NewReader(c)}
	w.NoErr(c.SetDeadline(time.Now().Add(15 * time.Second)))
	k.send(raw)
	k.awaitResponse()
	return k
}

func (k *keptCall) send(text string) {
	_, err := io.WriteString(k.conn, text)
	k.w.NoErr(err)
}

// awaitResponse reads a complete response of any status.
func (k *keptCall) awaitResponse() {
	resp, err := http.ReadResponse(k.r, nil)
	k.w.NoErr(err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	k.w.NoErr(err)
}
