package attacher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
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

// world is a platform with a store, two upstreams and routers.
type world struct {
	*is.I
	t     *testing.T
	store *storer.Store
	// refuseAll has the store refuse everybody.
	refuseAll atomic.Bool
	server    *httptest.Server
	upstreams []*standin.Upstream
	// version is that of the last declaration, keys are those of the organisation.
	version int
	keys    []string
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{I: is.New(t), t: t, store: &storer.Store{WatchWait: 200 * time.Millisecond}, keys: []string{"secret"}}
	w.server = httptest.NewServer(&standin.Store{Store: w.store, Refuse: func(*http.Request) int {
		if w.refuseAll.Load() {
			return http.StatusServiceUnavailable
		}
		return 0
	}})
	t.Cleanup(w.server.Close)
	for i := range 2 {
		u := &standin.Upstream{Instance: fmt.Sprintf("i-%d", i), Events: 20, Pause: 20 * time.Millisecond}
		server := httptest.NewServer(u)
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		w.upstreams = append(w.upstreams, u)
		w.register(u.Instance, server.Listener.Addr().String(), "ready")
	}
	w.declare()
	return w
}

func (w *world) put(key string, value any) {
	w.t.Helper()
	text, err := json.Marshal(value)
	w.NoErr(err)
	_, err = w.store.Put(w.t.Context(), key, text, kingcuphook.RevisionAny, 0)
	w.NoErr(err)
}

func (w *world) register(instance, address, state string) {
	w.put(platform.RegistrationPrefix+instance, map[string]any{
		"service": "writers", "address": address, "zone": "zone-a", "batchSlots": 8, "state": state, "born": 1700000000000,
	})
}

// declare writes the next version of the configuration.
func (w *world) declare() {
	w.version += 3
	w.put(platform.DeclarationKey, map[string]any{
		"version": w.version,
		"routes": []map[string]any{
			{"name": "answers", "host": "a.example", "pathPrefix": "/answers/", "kind": "streaming", "service": "writers", "maxAttempts": 2, "resumable": true, "timeoutMs": 10000, "sloMs": 500, "gapAimMs": 400},
			{"name": "letters", "host": "a.example", "pathPrefix": "/letters/", "kind": "streaming", "service": "writers", "maxAttempts": 1, "timeoutMs": 10000, "sloMs": 2500, "gapAimMs": 1500},
		},
		"services": []map[string]any{{"name": "writers", "engine": map[string]any{"batchSlots": 8, "kvCapacity": 1000}}},
		"tenants":  []map[string]any{{"name": "org", "apiKeys": w.keys}},
	})
}

// process is a running router.
type process struct {
	front, ready string
	stop         context.CancelFunc
	ended        chan error
	log          *syncWriter
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

// start runs a router at an IP number of its own on loopback, with the given ones
// as seeds.
func (w *world) start(ip string, store string, seeds ...string) *process {
	w.t.Helper()
	seedAddresses := make([]string, 0, len(seeds))
	for _, s := range seeds {
		seedAddresses = append(seedAddresses, s+":1")
	}
	text, err := json.Marshal(map[string]any{
		"nodeName": "router-" + ip, "ip": ip, "zone": "zone-a", "region": "region", "zones": map[string]string{"zone-a": "region"},
		"listen":        map[string]string{"front": ip + ":17827", "ready": ip + ":17820"},
		"internalPorts": []int{17840, 17855}, "seeds": seedAddresses,
		"bounds":   map[string]any{"graceS": 3, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 56},
		"provider": map[string]any{"address": store, "ttlMinMs": 1000},
	})
	w.NoErr(err)
	file := filepath.Join(w.t.TempDir(), "settings.json")
	w.NoErr(os.WriteFile(file, text, 0o600))
	settings, err := platform.LoadSettings(file)
	w.NoErr(err)
	out := &syncWriter{}
	p := &process{front: settings.CallersAddress(), ready: settings.ReadyAddress(), ended: make(chan error, 1), log: out}
	a := &Attacher{Settings: settings, Log: logger.New(out, "logfmt", logger.LevelDebug)}
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

// isReady asks as the platform does.
func (p *process) isReady() bool {
	resp, err := http.Get("http://" + p.ready + platform.PathReady)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) eventually(what string, f func() bool) {
	w.t.Helper()
	until := time.Now().Add(10 * time.Second)
	for !f() {
		if time.Now().After(until) {
			w.t.Fatalf("%s did not come", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// call sends a call and returns the status and the body; a broken answer has an
// error.
func (p *process) call(path, key string) (int, string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.front+path, strings.NewReader("question"))
	if err != nil {
		return 0, "", err
	}
	r.Host = "a.example"
	r.Header.Set("X-Kingcuphook-Attempt-Id", fmt.Sprintf("%016x", time.Now().UnixNano()))
	r.Header.Set("X-Kingcuphook-Deadline-Ms", "8000")
	r.Header.Set("X-Kingcuphook-Tenant", "forged")
	r.Header.Set("Authorization", "Token "+key)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func wholeStream() string {
	var b strings.Builder
	for n := range 20 {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return b.String()
}

func needsLoopback(t *testing.T, ip string) {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Skipf("no address %s on loopback: %v", ip, err)
	}
	l.Close()
}

func TestServesAndResumes(t *testing.T) {
	w := newWorld(t)
	p := w.start("127.0.10.1", w.server.Listener.Addr().String())
	w.eventually("readiness", p.isReady)
	status, body, err := p.call("/answers/1", "secret")
	w.NoErr(err)
	w.Equal(status, http.StatusOK)
	w.Equal(body, wholeStream())
	var seen standin.Run
	for _, u := range w.upstreams {
		for _, r := range u.Runs() {
			seen = r
		}
	}
	w.Equal(seen.Header.Get("X-Kingcuphook-Tenant"), "org")
	w.Equal(seen.Header.Get("Authorization"), "")

	// The upstream that takes the next stream breaks off within an event.
	var broken atomic.Bool
	for _, u := range w.upstreams {
		u.Break = func(_ *http.Request, event int) bool { return event == 7 && broken.CompareAndSwap(false, true) }
	}
	status, body, err = p.call("/answers/2", "secret")
	w.NoErr(err)
	w.Equal(status, http.StatusOK)
	w.True(broken.Load())
	w.Equal(body, wholeStream()) // no piece is missing or comes twice

	broken.Store(false)
	_, body, err = p.call("/letters/1", "secret")
	w.True(err != nil) // it can't be resumed, and never looks whole
	w.True(strings.HasPrefix(wholeStream(), body))
}

func TestRevokedKeyAndLeavingUpstream(t *testing.T) {
	w := newWorld(t)
	p := w.start("127.0.10.2", w.server.Listener.Addr().String())
	w.eventually("readiness", p.isReady)
	status, _, err := p.call("/answers/1", "wrong")
	w.NoErr(err)
	w.Equal(status, http.StatusUnauthorized)
	w.keys = []string{"other"}
	w.declare()
	w.eventually("the end of the key", func() bool {
		status, _, err := p.call("/letters/1", "secret")
		return err == nil && status == http.StatusUnauthorized
	})
	entries, err := w.store.List(t.Context(), platform.RegistrationPrefix+"i-0")
	w.NoErr(err)
	var e struct {
		Address string `json:"address"`
	}
	w.NoErr(json.Unmarshal(entries[0].Value(), &e))
	address := e.Address
	w.register("i-0", address, "draining")
	w.eventually("the news that an upstream leaves", func() bool { return strings.Contains(p.log.String(), "leaving=1") })
	before := len(w.upstreams[0].Runs())
	for range 10 {
		status, _, err := p.call("/answers/1", "other")
		w.NoErr(err)
		w.Equal(status, http.StatusOK)
	}
	w.Equal(len(w.upstreams[0].Runs()), before)
}

func TestPeersTellWhatTheStoreDoesNot(t *testing.T) {
	needsLoopback(t, "127.0.10.4")
	w := newWorld(t)
	first := w.start("127.0.10.3", w.server.Listener.Addr().String(), "127.0.10.4")
	w.eventually("readiness", first.isReady)
	w.refuseAll.Store(true)
	second := w.start("127.0.10.4", w.server.Listener.Addr().String(), "127.0.10.3")
	w.eventually("readiness from what a peer knows", second.isReady)
	status, _, err := second.call("/answers/1", "secret")
	w.NoErr(err)
	w.Equal(status, http.StatusOK)
}

func TestPlannedStopInterruptsNothing(t *testing.T) {
	w := newWorld(t)
	p := w.start("127.0.10.5", w.server.Listener.Addr().String())
	w.eventually("readiness", p.isReady)
	type result struct {
		body string
		err  error
	}
	results := make(chan result, 5)
	for range 5 {
		go func() {
			_, body, err := p.call("/letters/1", "secret")
			results <- result{body, err}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	p.stop()
	w.eventually("the end of readiness", func() bool { return !p.isReady() })
	for range 5 {
		r := <-results
		w.NoErr(r.err)
		w.Equal(r.body, wholeStream())
	}
	select {
	case err := <-p.ended:
		w.NoErr(err)
	case <-time.After(5 * time.Second):
		t.Fatal("the process did not end within its grace time")
	}
}

func TestStoreGoneChangesNothing(t *testing.T) {
	w := newWorld(t)
	p := w.start("127.0.10.6", w.server.Listener.Addr().String())
	w.eventually("readiness", p.isReady)
	w.refuseAll.Store(true)
	w.eventually("the loss of the store", func() bool { return strings.Contains(p.log.String(), "KCH1104") })
	for range 3 {
		status, body, err := p.call("/answers/1", "secret")
		w.NoErr(err)
		w.Equal(status, http.StatusOK)
		w.Equal(body, wholeStream())
	}
	w.True(p.isReady())
	w.refuseAll.Store(false)
	w.eventually("the return of the store", func() bool { return strings.Contains(p.log.String(), "KCH1105") })
}
