package attacher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// testPlatform is a platform with a store and two upstreams, on which tests start routers.
type testPlatform struct {
	*is.I
	t     *testing.T
	store *storer.Store
	// served serves the store over HTTP.
	served *standin.Store
	// seq counts the writes of registrations.
	seq atomic.Int64
	// storeDown makes the store reject all calls.
	storeDown atomic.Bool
	// storeDelay is by how much the store replies late.
	storeDelay atomic.Int64
	// watches counts the open watch calls to the store, calls all calls to it.
	watches, calls atomic.Int64
	server         *httptest.Server
	upstreams      []*standin.Upstream
	// addresses are the addresses of the upstreams.
	addresses []string
	// version is the version of the last declaration, keys are the organisation's keys.
	version int
	keys    []string
	// whileDown is called by restart while the routers are down; nil means nothing.
	whileDown func()
	// grace is the grace time of routers.
	grace time.Duration
	// duties are the settings of the duties of routers.
	duties standin.DutySettings
	// boundsKVMemory turns the bound by the KV memory of engines on.
	boundsKVMemory bool
	// fair turns fairness over all routers on.
	fair bool
}

func newTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	w := &testPlatform{I: is.New(t), t: t, store: &storer.Store{WatchWait: 200 * time.Millisecond}, keys: []string{"secret"}, grace: 3 * time.Second}
	w.served = &standin.Store{Store: w.store, RejectStatus: func(*http.Request) int {
		if w.storeDown.Load() {
			return http.StatusServiceUnavailable
		}
		return 0
	}}
	w.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.calls.Add(1)
		if strings.Contains(r.URL.Path, "watch") {
			w.watches.Add(1)
			defer w.watches.Add(-1)
		}
		time.Sleep(time.Duration(w.storeDelay.Load()))
		w.served.ServeHTTP(rw, r)
	}))
	t.Cleanup(w.server.Close)
	for i := range 2 {
		u := &standin.Upstream{Instance: fmt.Sprintf("i-%d", i), Events: 20, EventInterval: 20 * time.Millisecond}
		server := httptest.NewServer(u)
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		w.upstreams = append(w.upstreams, u)
		w.addresses = append(w.addresses, server.Listener.Addr().String())
		w.register(u.Instance, server.Listener.Addr().String(), false)
	}
	w.declare()
	return w
}

func (w *testPlatform) put(key string, value []byte, err error) {
	w.t.Helper()
	w.NoErr(err)
	_, err = w.store.Put(w.t.Context(), key, value, kingcuphook.RevisionAny, 0)
	w.NoErr(err)
}

func (w *testPlatform) register(instance, address string, leaving bool) {
	w.t.Helper()
	value, err := standin.EncodeRegistration(address, leaving, time.Unix(1_700_000_000, 0), w.seq.Add(1))
	w.put(platform.RegistrationPrefix+instance, value, err)
}

// declare writes the next version of the declaration to the store.
func (w *testPlatform) declare() {
	w.t.Helper()
	w.version += 3
	value, err := standin.EncodeDeclaration(w.version, w.keys...)
	w.put(platform.DeclarationKey, value, err)
}

// process is a running router.
type process struct {
	front, ready string
	stop         context.CancelFunc
	ended        chan error
	log          *syncWriter
	// reload passes on changed settings.
	reload func(*platform.Settings)
	// attacher is the router.
	attacher *Attacher
}

type syncWriter struct {
	mu   sync.Mutex
	text strings.Builder
}

func (s *syncWriter) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

func (s *syncWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// start runs a router on a loopback address of its own, with the addresses of other
// routers as seeds.
func (w *testPlatform) start(ip string, store string, seeds ...string) *process {
	w.t.Helper()
	settings := w.settings(ip, store, seeds...)
	out := &syncWriter{}
	p := &process{front: settings.CallersAddress(), ready: settings.ReadyAddress(), ended: make(chan error, 1), log: out}
	a := &Attacher{
		Settings: settings, BoundsKVMemory: w.boundsKVMemory, FleetFairness: w.fair, Log: logger.New(out, "logfmt", logger.LevelDebug),
	}
	p.reload, p.attacher = a.Reload, a
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go func() { p.ended <- a.Run(ctx); close(p.ended) }()
	w.t.Cleanup(func() {
		cancel()
		if err := <-p.ended; err != nil {
			w.t.Error(err)
		}
	})
	return p
}

// settings returns the settings of a router with the current grace time.
func (w *testPlatform) settings(ip string, store string, seeds ...string) *platform.Settings {
	w.t.Helper()
	return loadSettings(w.t, standin.Settings{
		Name: "router-" + ip, IP: ip, CallersPort: 17827, ReadyPort: 17820, FirstPort: 17840, Store: store, Seeds: seeds, Grace: w.grace, Duties: w.duties,
	})
}

// loadSettings returns the settings as a router reads them.
func loadSettings(t testing.TB, s standin.Settings) *platform.Settings {
	t.Helper()
	is := is.New(t)
	text, err := s.Encode()
	is.NoErr(err)
	file := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(file, text, 0o600))
	settings, err := platform.LoadSettings(file)
	is.NoErr(err)
	return settings
}

// isReady checks readiness over HTTP, as the platform does.
func (p *process) isReady() bool {
	resp, err := http.Get("http://" + p.ready + platform.PathReady)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *testPlatform) waitFor(what string, f func() bool) {
	w.t.Helper()
	until := time.Now().Add(10 * time.Second)
	for !f() {
		if time.Now().After(until) {
			w.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// call sends a call and returns the status and the body. It returns an error if the
// response breaks off.
func (p *process) call(kind standin.Kind, key string) (int, string, error) {
	return p.callOn(http.DefaultTransport, kind, key)
}

// callOn sends a call on the connections of a transport.
func (p *process) callOn(t http.RoundTripper, kind standin.Kind, key string) (int, string, error) {
	c := standin.Call{
		Kind: kind, ID: fmt.Sprintf("%016x", time.Now().UnixNano()), Key: key, Deadline: 8 * time.Second, Body: strings.NewReader("question"),
	}
	return roundTrip(context.Background(), t, c, p.front)
}

// roundTrip sends a call to a router on the connections of a transport and reads the whole answer.
func roundTrip(ctx context.Context, t http.RoundTripper, c standin.Call, front string) (int, string, error) {
	r, err := c.Request(ctx, front)
	if err != nil {
		return 0, "", err
	}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func completeStream() string {
	var b strings.Builder
	for n := range 20 {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return b.String()
}

// A resumable stream is continued at another upstream if its upstream closes the
// connection within an event: no event is missing or repeated. A stream that can't be
// resumed ends with an error, so that it doesn't look complete.
func TestServesAndResumes(t *testing.T) {
	w := newTestPlatform(t)
	p := w.start(loopback("10.1"), w.server.Listener.Addr().String())
	w.waitFor("readiness", p.isReady)
	status, body, err := p.call(standin.KindResumableStream, "secret")
	w.NoErr(err)
	w.Equal(status, http.StatusOK)
	w.Equal(body, completeStream())
	var seen standin.Run
	for _, u := range w.upstreams {
		for _, r := range u.Runs() {
			seen = r
		}
	}
	w.Equal(seen.Organisation(), "org")
	w.True(!seen.HasKey())

	// The upstream that gets the next stream closes the connection within an event.
	var broken atomic.Bool
	for _, u := range w.upstreams {
		u.SetAbort(func(_ *http.Request, event int) bool { return event == 7 && broken.CompareAndSwap(false, true) })
	}
	status, body, err = p.call(standin.KindResumableStream, "secret")
	w.NoErr(err)
	w.Equal(status, http.StatusOK)
	w.True(broken.Load())
	w.Equal(body, completeStream()) // no event is missing or repeated

	broken.Store(false)
	_, body, err = p.call(standin.KindStream, "secret")
	w.True(err != nil) // it can't be resumed and must not look complete
	w.True(strings.HasPrefix(completeStream(), body))
}

// A running router applies changes in the store: it rejects calls with a revoked API
// key, and sends no more calls to an upstream whose registration marks it as leaving.
func TestRevokedKeyAndLeavingUpstream(t *testing.T) {
	w := newTestPlatform(t)
	p := w.start(loopback("10.2"), w.server.Listener.Addr().String())
	w.waitFor("readiness", p.isReady)
	status, _, err := p.call(standin.KindResumableStream, "wrong")
	w.NoErr(err)
	w.Equal(status, http.StatusUnauthorized)
	w.keys = []string{"other"}
	w.declare()
	w.waitFor("the revoked key to be rejected", func() bool {
		status, _, err := p.call(standin.KindStream, "secret")
		return err == nil && status == http.StatusUnauthorized
	})
	w.register("i-0", w.addresses[0], true)
	w.waitFor("the log event of the leaving upstream", func() bool { return strings.Contains(p.log.String(), "leaving=1") })
	before := len(w.upstreams[0].Runs())
	for range 10 {
		status, _, err := p.call(standin.KindResumableStream, "other")
		w.NoErr(err)
		w.Equal(status, http.StatusOK)
	}
	w.Equal(len(w.upstreams[0].Runs()), before)
}

// A router that starts while the store is unavailable must get the tables from a peer.
func TestStartFromPeerDuringOutage(t *testing.T) {
	requireLoopback(t, loopback("10.4"))
	w := newTestPlatform(t)
	first := w.start(loopback("10.3"), w.server.Listener.Addr().String(), loopback("10.4"))
	w.waitFor("readiness", first.isReady)
	w.storeDown.Store(true)
	second := w.start(loopback("10.4"), w.server.Listener.Addr().String(), loopback("10.3"))
	w.waitFor("readiness with the tables of a peer", second.isReady)
	status, _, err := second.call(standin.KindResumableStream, "secret")
	w.NoErr(err)
	w.Equal(status, http.StatusOK)
}

// runs returns how many calls the upstreams have run.
func (w *testPlatform) runs() int {
	n := 0
	for _, u := range w.upstreams {
		n += len(u.Runs())
	}
	return n
}

func TestPlannedStopCompletesOpenCalls(t *testing.T) {
	w := newTestPlatform(t)
	p := w.start(loopback("10.5"), w.server.Listener.Addr().String())
	w.waitFor("readiness", p.isReady)
	type result struct {
		body string
		err  error
	}
	results := make(chan result, 5)
	for range cap(results) {
		go func() {
			_, body, err := p.call(standin.KindStream, "secret")
			results <- result{body, err}
		}()
	}
	w.waitFor("the calls to run", func() bool { return w.runs() == cap(results) })
	p.stop()
	w.waitFor("the router to become unready", func() bool { return !p.isReady() })
	for range 5 {
		r := <-results
		w.NoErr(r.err)
		w.Equal(r.body, completeStream())
	}
	select {
	case err := <-p.ended:
		w.NoErr(err)
	case <-time.After(5 * time.Second):
		t.Fatal("the router did not end within its grace time")
	}
}

func TestServesDuringStoreOutage(t *testing.T) {
	w := newTestPlatform(t)
	p := w.start(loopback("10.6"), w.server.Listener.Addr().String())
	w.waitFor("readiness", p.isReady)
	w.storeDown.Store(true)
	w.waitFor("the log event of the unavailable store", func() bool { return strings.Contains(p.log.String(), "KCH1104") })
	for range 3 {
		status, body, err := p.call(standin.KindResumableStream, "secret")
		w.NoErr(err)
		w.Equal(status, http.StatusOK)
		w.Equal(body, completeStream())
	}
	w.True(p.isReady())
	w.storeDown.Store(false)
	w.waitFor("the log event of the available store", func() bool { return strings.Contains(p.log.String(), "KCH1105") })
}
