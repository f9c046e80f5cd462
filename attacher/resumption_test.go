package attacher

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/pinner"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// broken is a stream that its caller left after some events.
type broken struct {
	// id is the ID of the call, last that of the last event.
	id   string
	last int
}

// beginAtEach begins n streams at each upstream and leaves them after a few events.
func (w *testPlatform) beginAtEach(p *process, n int) []broken {
	w.t.Helper()
	const pause = time.Second
	list := make([]broken, 0, n*len(w.upstreams))
	for i := range w.upstreams {
		paused := time.Now()
		w.upstreams[1-i].Pause(pause)
		list = append(list, w.begin(p, n)...)
		time.Sleep(time.Until(paused.Add(pause)))
	}
	return list
}

// begin begins n streams and leaves them after a few events.
func (w *testPlatform) begin(p *process, n int) []broken {
	w.t.Helper()
	list := w.beginServed(p, n)
	w.Equal(len(list), n)
	return list
}

// beginServed is like begin, but leaves out the streams that are refused.
func (w *testPlatform) beginServed(p *process, n int) []broken {
	w.t.Helper()
	list := make([]broken, 0, n)
	for range n {
		if s, ok := w.beginOne(p, 3); ok {
			list = append(list, s)
		}
	}
	return list
}

// beginOne begins a stream and leaves it after the event with the given ID. ok is false if it is
// refused.
func (w *testPlatform) beginOne(p *process, last int) (s broken, ok bool) {
	w.t.Helper()
	s = broken{id: "call-" + strconv.FormatInt(time.Now().UnixNano(), 10) + "-" + strconv.FormatInt(w.seq.Add(1), 10), last: last}
	c := standin.Call{Kind: standin.KindResumableStream, ID: s.id, Key: "secret", Deadline: 4 * time.Second, Body: strings.NewReader("question")}
	ctx, cancel := context.WithCancel(w.t.Context())
	resp := w.request(ctx, p, c)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() && lines.Text() != fmt.Sprintf("data: piece %d", s.last) {
	}
	cancel()
	resp.Body.Close()
	return s, resp.StatusCode == http.StatusOK
}

func (w *testPlatform) request(ctx context.Context, p *process, c standin.Call) *http.Response {
	w.t.Helper()
	r, err := c.Request(ctx, p.front)
	w.NoErr(err)
	resp, err := http.DefaultTransport.RoundTrip(r)
	w.NoErr(err)
	return resp
}

// resumeStream resumes a stream, naming the given attempt, and returns the status and the upstream
// that ran the call. If it goes on, it must be whole.
func (w *testPlatform) resumeStream(p *process, s broken, resumes string) (int, string) {
	w.t.Helper()
	c := standin.Call{
		Kind: standin.KindResumableStream, ID: s.id + "-again-" + strconv.FormatInt(time.Now().UnixNano(), 10), Key: "secret", Deadline: 4 * time.Second,
		Body: strings.NewReader("question"), Resumes: resumes, LastEvent: strconv.Itoa(s.last),
	}
	resp := w.request(w.t.Context(), p, c)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	w.NoErr(err)
	if resp.StatusCode != http.StatusOK {
		w.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		return resp.StatusCode, ""
	}
	w.True(strings.HasSuffix(completeStream(), string(body)) && strings.HasPrefix(string(body), fmt.Sprintf("id: %d\n", s.last+1)))
	return resp.StatusCode, w.upstreamOf(c.ID)
}

// upstreamOf returns the upstream that ran a call.
func (w *testPlatform) upstreamOf(id string) string {
	for _, u := range w.upstreams {
		for _, run := range u.Runs() {
			if run.ID == id {
				return u.Instance
			}
		}
	}
	return ""
}

// registerVersions registers the upstreams with the versions of their software.
func (w *testPlatform) registerVersions(versions ...string) {
	w.t.Helper()
	for i, version := range versions {
		w.registerVersion(w.upstreams[i].Instance, w.addresses[i], version)
	}
}

// restart ends routers at the same time and starts them again.
func (w *testPlatform) restart(network int, fleet []*process, which ...int) {
	w.t.Helper()
	for _, i := range which {
		fleet[i].stop()
	}
	for _, i := range which {
		w.NoErr(<-fleet[i].ended)
	}
	if w.whileDown != nil {
		w.whileDown()
	}
	for _, i := range which {
		fleet[i] = w.start(loopback(fmt.Sprintf("%d.%d", network, i+1)), w.server.Listener.Addr().String(), loopback(fmt.Sprintf("%d.1", network)), loopback(fmt.Sprintf("%d.2", network)))
	}
	for _, i := range which {
		w.waitFor("readiness", fleet[i].isReady)
	}
}

// countResumed resumes each stream at the router and returns how many go on, which must be at
// the upstream that began them: each has another version.
func (w *testPlatform) countResumed(p *process, streams []broken) int {
	w.t.Helper()
	n := 0
	for _, s := range streams {
		status, upstream := w.resumeStream(p, s, s.id)
		if status == http.StatusOK {
			w.Equal(upstream, w.upstreamOf(s.id))
			n++
		}
	}
	return n
}

// A stream that was resumed at another router, or after all routers had ended at once, went on
// at an upstream of another software version.
func TestResumedStreamIsNotJoinedFromTwoVersions(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.registerVersions("1", "2")
	fleet := w.startFleet(66, 2)
	time.Sleep(2 * time.Second) // until the routers know each other
	streams := w.beginAtEach(fleet[0], 5)
	w.Equal(w.countResumed(fleet[1], streams), len(streams))
	streams = w.beginAtEach(fleet[0], 5)
	w.restart(66, fleet, 0, 1)
	w.Equal(w.countResumed(fleet[1], streams), len(streams))
	w.registerVersion("i-1", w.addresses[1], "3") // the version of some streams is gone
	time.Sleep(2 * time.Second)
	w.countResumed(fleet[1], streams)
}

// Streams of which callers had events were in no ledger when all routers lost power just after they had begun.
func TestStreamJustBegunGoesOnAfterAllRoutersEnd(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.registerVersions("1", "2")
	fleet := w.startFleet(88, 2)
	time.Sleep(2 * time.Second) // until the routers know each other
	streams := make([]broken, 0, 32)
	for range 4 {
		begun := make(chan broken)
		for i := range 8 {
			go func() {
				s, ok := w.beginOne(fleet[i%2], 0)
				w.True(ok)
				begun <- s
			}()
		}
		for range 8 {
			streams = append(streams, <-begun)
		}
	}
	w.storeDown.Store(true) // the power is lost: no router writes anything from now on
	w.whileDown = func() { w.storeDown.Store(false) }
	w.restart(88, fleet, 0, 1)
	w.Equal(w.countResumed(fleet[1], streams), len(streams))
}

// A router that had started while the store was away let streams go on at any version.
func TestResumedStreamIsNotJoinedFromTwoVersionsWithoutStore(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.registerVersions("1", "2")
	fleet := w.startFleet(67, 2)
	time.Sleep(2 * time.Second)
	known, lost := w.beginAtEach(fleet[0], 3), w.beginAtEach(fleet[1], 3)
	w.storeDown.Store(true)
	w.restart(67, fleet, 1)
	w.Equal(w.countResumed(fleet[1], known), len(known))
	w.countResumed(fleet[0], lost)
}

// A call that named no attempt resumed a stream at any version, or one that named a made-up attempt changed where a
// stream goes on that names its own.
func TestResumptionOfUnknownStreamIsRefusedWithTwoVersions(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.registerVersions("1", "2")
	fleet := w.startFleet(68, 2)
	time.Sleep(2 * time.Second) // until the routers know each other
	for _, s := range w.beginAtEach(fleet[0], 1) {
		for _, resumes := range []string{"", strings.Repeat("x", 16<<10)} {
			began := time.Now()
			status, _ := w.resumeStream(fleet[0], s, resumes)
			w.Equal(status, http.StatusServiceUnavailable)
			w.True(time.Since(began) < time.Second)
		}
		for _, p := range fleet {
			status, upstream := w.resumeStream(p, s, "unknown")
			w.True(status == http.StatusServiceUnavailable || upstream == "i-0") // of the base
			w.Equal(w.countResumed(p, []broken{s}), 1)
		}
	}
}

// Streams were refused when a second version came while all routers were down, and went on at any
// version before.
func TestResumedStreamGoesOnIfSecondVersionComesMeanwhile(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.registerVersions("1", "1")
	server := httptest.NewServer(&standin.Upstream{Instance: "i-2", Events: 20, EventInterval: 20 * time.Millisecond})
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	fleet := w.startFleet(70, 2)
	time.Sleep(2 * time.Second)
	streams := w.begin(fleet[0], 4)
	w.whileDown = func() { w.registerVersion("i-2", server.Listener.Addr().String(), "2") }
	w.restart(70, fleet, 0, 1)
	for _, s := range streams {
		status, upstream := w.resumeStream(fleet[1], s, s.id)
		w.Equal(status, http.StatusOK)
		w.True(upstream != "") // i-0 or i-1
	}
}

// Streams must go on after all routers have ended at once if there is one version.
func TestResumedStreamGoesOnIfThereIsOneVersion(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.registerVersions("1", "1")
	fleet := w.startFleet(69, 2)
	s := w.begin(fleet[0], 1)[0]
	time.Sleep(2 * time.Second)
	w.restart(69, fleet, 0, 1)
	for _, resumes := range []string{s.id, "", "unknown"} {
		status, _ := w.resumeStream(fleet[1], s, resumes)
		w.Equal(status, http.StatusOK)
	}
}

// declarePools declares a second pool, and lets the resumable stream use the given one.
func (w *testPlatform) declarePools(pool string) {
	w.t.Helper()
	w.version += 3
	value, err := standin.EncodeDeclaration(w.version, w.keys...)
	w.NoErr(err)
	value = bytes.Replace(value, []byte(`"services":[`), []byte(`"services":[{"name":"other","engine":{"batchSlots":16,"kvCapacity":1000}},`), 1)
	var d map[string]any
	w.NoErr(json.Unmarshal(value, &d))
	for _, r := range d["routes"].([]any) {
		if r := r.(map[string]any); r["name"] == string(standin.KindResumableStream) {
			r["service"] = pool
		}
	}
	value, err = json.Marshal(d)
	w.put(platform.DeclarationKey, value, err)
}

// registerInPool registers an upstream with a version of its software in a pool.
func (w *testPlatform) registerInPool(pool string, i int, version string) {
	w.t.Helper()
	value, err := json.Marshal(map[string]any{
		"service": pool, "address": w.addresses[i], "zone": "zone", "batchSlots": 16, "state": "ready",
		"born": 1_700_000_000_000, "seq": w.seq.Add(1), "version": version,
	})
	w.put(platform.RegistrationPrefix+w.upstreams[i].Instance, value, err)
}

// A stream whose route had moved to another pool was taken for one of the only version there.
func TestResumedStreamIsNotJoinedFromTwoPools(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.registerInPool("models", 0, "1")
	w.registerInPool("other", 1, "2")
	w.declarePools("models")
	fleet := w.startFleet(72, 2)
	time.Sleep(2 * time.Second)
	s := w.begin(fleet[0], 1)
	w.declarePools("other")
	time.Sleep(2 * time.Second)
	w.countResumed(fleet[0], s)
	w.countResumed(fleet[1], s)
}

// lateWatches returns the address of a server that passes calls to the store on and holds the
// replies to watches back.
func (w *testPlatform) lateWatches(delay time.Duration) string {
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		reply := httptest.NewRecorder()
		w.served.ServeHTTP(reply, r)
		if strings.Contains(r.URL.Path, "watch") {
			time.Sleep(delay)
		}
		maps.Copy(rw.Header(), reply.Header())
		rw.WriteHeader(reply.Code)
		_, _ = rw.Write(reply.Body.Bytes())
	}))
	w.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// lateRouter starts two routers, to the second of which the store's watches reply 1.5 s late.
func (w *testPlatform) lateRouter(network int) (first, late *process) {
	w.t.Helper()
	address := loopback(strconv.Itoa(network) + ".1")
	first = w.start(address, w.server.Listener.Addr().String())
	late = w.start(loopback(strconv.Itoa(network)+".2"), w.lateWatches(1500*time.Millisecond), address)
	w.waitFor("readiness", func() bool { return first.isReady() && late.isReady() })
	time.Sleep(5 * time.Second) // until they know each other and have the record
	return first, late
}

// awaitVersion waits until the router's tables have an upstream with the version.
func (w *testPlatform) awaitVersion(p *process, instance, version string) {
	w.t.Helper()
	w.waitFor("version "+version, func() bool {
		_, _, err := p.call(standin.KindIdempotent, "secret")
		w.NoErr(err)
		return strings.Contains(p.log.String(), "instance="+instance+" version="+version+" ")
	})
}

// A router that learned of a second version a second late took streams of it for streams of the first.
func TestResumedStreamIsNotJoinedFromTwoVersionsByLateRouter(t *testing.T) {
	for network := range 6 {
		t.Run(strconv.Itoa(network), func(t *testing.T) {
			t.Parallel()
			w := newTestPlatform(t)
			w.registerVersions("1", "1")
			w.NoErr(w.store.Delete(t.Context(), platform.RegistrationPrefix+"i-1", kingcuphook.RevisionAny))
			first, late := w.lateRouter(73 + network)
			w.registerVersions("1", "2")
			w.awaitVersion(first, "i-1", "2")
			paused := time.Now()
			w.upstreams[0].Pause(500 * time.Millisecond)
			streams := w.beginServed(first, 2)
			time.Sleep(time.Until(paused.Add(600 * time.Millisecond)))
			w.countResumed(late, append(streams, w.begin(first, 2)...))
		})
	}
}

// An upstream that changed its version under its ID got streams of its earlier version from a late router.
func TestResumedStreamIsNotJoinedByUpstreamWithNewVersion(t *testing.T) {
	for network := range 6 {
		t.Run(strconv.Itoa(network), func(t *testing.T) {
			t.Parallel()
			w := newTestPlatform(t)
			w.registerVersions("1", "1")
			first, late := w.lateRouter(80 + network)
			w.registerVersions("1", "2")
			w.awaitVersion(first, "i-1", "2")
			w.countResumed(late, w.begin(first, 6))
		})
	}
}

// An invalid record of a pool's versions was never replaced, so that no resumption was certain, and logged at each read.
func TestInvalidVersionRecordIsReplaced(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	key := pinner.Record{Pool: standin.Pool}.Key()
	w.put(key, []byte("null"), nil)
	fleet := w.startFleet(87, 2)
	w.waitFor("a valid record", func() bool {
		e, err := w.store.Get(t.Context(), key)
		w.NoErr(err)
		_, err = pinner.DecodeRecord(key, e.Value())
		return err == nil
	})
	for _, p := range fleet {
		w.True(p.count(logger.VersionRecordRejected) <= 1)
	}
}
