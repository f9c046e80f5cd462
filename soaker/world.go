package soaker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/forwarder"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/pauser"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	// leaveTime is how long an upstream serves on after its leaving was accepted, and
	// keyTime how long a key that was taken away may be honoured, by a router that
	// reaches the store or a peer.
	leaveTime = 3 * time.Second
	keyTime   = 10 * time.Second
	// grace is the time from the signal to stop to the kill.
	grace = 4 * time.Second
	// pieces is the number of pieces of a stream.
	pieces = 12
	// piecePause is the time between two of them.
	piecePause = 15 * time.Millisecond
)

// world is everything around the callers.
type world struct {
	soak *Soak
	// lock keeps other runs from the addresses of this one.
	lock      net.Listener
	store     *storer.Store
	storeHTTP *http.Server
	// storeRefuses has the store refuse everybody.
	storeRefuses atomic.Bool
	routers      []*router

	mu sync.Mutex
	// upstreams has those in use first, and then those that left or crashed.
	upstreams []*upstream
	// version is that of the last declaration, key the key that holds.
	version int
	key     string
	// declared is when the last declaration was accepted.
	declared time.Time
	// keys has when each key was taken away; zero while it holds.
	keys map[string]time.Time
}

// upstream is a stand-in behind a forwarder.
type upstream struct {
	*standin.Upstream

	name    string
	server  *http.Server
	network *forwarder.Forwarder
	address string
	// left is when its leaving was accepted; zero if it has not left.
	left time.Time
}

// router is a router process.
type router struct {
	name, ip         string
	settings         string
	logFile          string
	callers, ready   string
	store            *forwarder.Forwarder
	mu               sync.Mutex
	command          *exec.Cmd
	ended            chan struct{}
	stopping, closed bool
	// disturbed is until when the router, or what it reaches, was disturbed.
	disturbed time.Time
}

// takeHost opens a port that stands for the loopback addresses of a run, from the
// wanted third byte on, so that runs beside one another never share any.
func takeHost(wanted int) (net.Listener, int, error) {
	var failed error
	for host := wanted; host < min(wanted+hostTries, maxHost); host++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.250:%d", host, portPeers))
		if err == nil {
			return l, host, nil
		}
		failed = err
	}
	return nil, 0, fmt.Errorf("soaker: no free addresses: %w", failed)
}

func newWorld(s *Soak) (*world, error) {
	lock, host, err := takeHost(s.Host)
	if err != nil {
		return nil, err
	}
	s.Host = host
	w := &world{lock: lock, soak: s, store: &storer.Store{WatchWait: 2 * time.Second}, keys: make(map[string]time.Time)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soaker: %w", err)
	}
	w.storeHTTP = &http.Server{ReadHeaderTimeout: time.Second, Handler: &standin.Store{Store: w.store, RejectStatus: func(*http.Request) int {
		if w.storeRefuses.Load() {
			return http.StatusServiceUnavailable
		}
		return 0
	}}}
	go func() { _ = w.storeHTTP.Serve(l) }()
	for i := range s.Upstreams {
		u, err := w.newUpstream(i, 0)
		if err != nil {
			return nil, err
		}
		w.upstreams = append(w.upstreams, u)
	}
	w.newKey()
	for i := range s.Routers {
		r, err := w.newRouter(i, l.Addr().String())
		if err != nil {
			return nil, err
		}
		w.routers = append(w.routers, r)
	}
	return w, nil
}

// upstream returns the i-th upstream in use.
func (w *world) upstream(i int) *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstreams[i]
}

// allUpstreams returns all upstreams that there were.
func (w *world) allUpstreams() []*upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.upstreams)
}

// newUpstream starts the n-th program of upstream i.
func (w *world) newUpstream(i, n int) (*upstream, error) {
	u := &upstream{name: fmt.Sprintf("i-%d-%d", i, n)}
	u.Upstream = &standin.Upstream{Instance: u.name, Events: pieces, EventInterval: piecePause}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soaker: %w", err)
	}
	u.server = &http.Server{Handler: u.Upstream, ReadHeaderTimeout: time.Second}
	go func() { _ = u.server.Serve(l) }()
	u.network = &forwarder.Forwarder{Target: l.Addr().String()}
	if u.address, err = u.network.Listen(); err != nil {
		return nil, fmt.Errorf("soaker: %w", err)
	}
	return u, w.register(u, false)
}

func (w *world) register(u *upstream, leaving bool) error {
	value, err := standin.EncodeRegistration(u.address, leaving, time.Now())
	if err != nil {
		return fmt.Errorf("soaker: %w", err)
	}
	return w.put(platform.RegistrationPrefix+u.name, value)
}

func (w *world) put(key string, value []byte) error {
	if _, err := w.store.Put(context.Background(), key, value, kingcuphook.RevisionAny, 0); err != nil {
		return fmt.Errorf("soaker: %w", err)
	}
	return nil
}

// newKey declares a new version with another key; the old one no longer holds.
func (w *world) newKey() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 2
	old := w.key
	w.key = fmt.Sprintf("key-%d", w.version)
	value, err := standin.EncodeDeclaration(w.version, w.key)
	if err == nil {
		err = w.put(platform.DeclarationKey, value)
	}
	if err == nil && old != "" {
		w.keys[old] = time.Now()
	}
	w.keys[w.key] = time.Time{}
	w.declared = time.Now()
}

// currentKey returns the key that holds.
func (w *world) currentKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.key
}

// declaredBefore reports whether the last declaration was accepted before the time.
func (w *world) declaredBefore(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.declared.Before(at)
}

// revoked returns when a key was taken away; zero while it holds.
func (w *world) revoked(key string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[key]
}

const (
	// portCallers, portReady and portPeers are those of every router.
	portCallers, portReady, portPeers = 21827, 21820, 21840
	// hostTries bounds the third bytes that are tried, maxHost the byte.
	hostTries = 20
	maxHost   = 255
	// seedCount is how many routers a new one is told of.
	seedCount = 3
)

func (w *world) newRouter(i int, store string) (*router, error) {
	r := &router{name: fmt.Sprintf("router-%d", i), ip: fmt.Sprintf("127.1.%d.%d", w.soak.Host, i+1)}
	r.store = &forwarder.Forwarder{Target: store}
	address, err := r.store.Listen()
	if err != nil {
		return nil, fmt.Errorf("soaker: %w", err)
	}
	r.callers = fmt.Sprintf("%s:%d", r.ip, portCallers)
	r.ready = fmt.Sprintf("%s:%d", r.ip, portReady)
	seeds := make([]string, 0, seedCount)
	for n := range min(w.soak.Routers, seedCount) {
		seeds = append(seeds, fmt.Sprintf("127.1.%d.%d", w.soak.Host, n+1))
	}
	text, err := standin.Settings{
		Name: r.name, IP: r.ip, CallersPort: portCallers, ReadyPort: portReady, FirstPort: portPeers,
		Store: address, Seeds: seeds, Grace: grace,
	}.Encode()
	if err != nil {
		return nil, fmt.Errorf("soaker: %w", err)
	}
	r.settings = filepath.Join(w.soak.Dir, r.name+".json")
	r.logFile = filepath.Join(w.soak.Dir, r.name+".log")
	if err := os.WriteFile(r.settings, text, 0o600); err != nil {
		return nil, fmt.Errorf("soaker: %w", err)
	}
	return r, r.start(w.soak.Binary)
}

// start starts the process, unless the run is over.
func (r *router) start(binary string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	out, err := os.OpenFile(r.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("soaker: %w", err)
	}
	defer func() { _ = out.Close() }()
	r.command = exec.Command(binary, "attach", "--settings", r.settings)
	r.command.Stdout, r.command.Stderr = out, out
	if err := r.command.Start(); err != nil {
		return fmt.Errorf("soaker: %w", err)
	}
	r.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		// How it ended shows in its log.
		_ = c.Wait()
		close(ended)
	}(r.command, r.ended)
	return nil
}

// signal sends a signal to the process, by its id.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A process that has ended already needs none.
	_ = r.command.Process.Signal(s)
}

// await waits for the end of the process, and kills it after d.
func (r *router) await(d time.Duration) {
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		r.signal(syscall.SIGKILL)
		<-ended
	}
}

// hasEnded reports whether the process has ended.
func (r *router) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// disturb notes that the router is disturbed for d, and some time after.
func (r *router) disturb(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := time.Now().Add(d); until.After(r.disturbed) {
		r.disturbed = until
	}
}

// calmSince reports whether the router was not disturbed from the time on.
func (r *router) calmSince(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disturbed.Before(at)
}

// isReady asks as the platform does.
func (r *router) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + r.ready + platform.PathReady)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) awaitReady(ctx context.Context, most time.Duration) error {
	until := time.Now().Add(most)
	for _, r := range w.routers {
		for !r.isReady() {
			if time.Now().After(until) || ctx.Err() != nil || r.hasEnded() {
				return fmt.Errorf("soaker: %s is not ready: %w", r.name, ErrBroken)
			}
			pauser.Pause(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// heal ends what faults may have left.
func (w *world) heal() {
	w.storeRefuses.Store(false)
	for _, r := range w.routers {
		r.store.Set(forwarder.FaultNone, 0)
		r.signal(syscall.SIGCONT)
	}
	for _, u := range w.allUpstreams() {
		u.network.Set(forwarder.FaultNone, 0)
	}
}

// runs returns the runs of each call.
func (w *world) runs() map[string][]standin.Run {
	runs := make(map[string][]standin.Run)
	for _, u := range w.allUpstreams() {
		for _, r := range u.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	return runs
}

// lateRuns returns runs at upstreams that had left, by routers that were calm.
func (w *world) lateRuns(map[string][]standin.Run) []string {
	var late []string
	for _, u := range w.allUpstreams() {
		if u.left.IsZero() {
			continue
		}
		for _, run := range u.Runs() {
			call := w.soak.calls.byID(run.ID)
			if run.At.After(u.left.Add(leaveTime)) && call != nil && call.router.calmSince(u.left) {
				late = append(late, fmt.Sprintf("%s got %s %v after it had left", u.name, run.ID, run.At.Sub(u.left)))
			}
		}
	}
	return late
}

// close ends every process that was started, by its id.
func (w *world) close() {
	for _, r := range w.routers {
		r.mu.Lock()
		r.closed = true
		r.mu.Unlock()
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		r.await(grace)
		_ = r.store.Close()
	}
	for _, u := range w.allUpstreams() {
		_ = u.server.Close()
		_ = u.network.Close()
	}
	_ = w.storeHTTP.Close()
	_ = w.lock.Close()
}
