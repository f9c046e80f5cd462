package soaker

import (
	"context"
	"fmt"
	"net"
	"net/http"
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
	// leaveGrace is how long after an upstream reported that it leaves a router may still
	// send calls to it, and keyGrace how long after its revocation a router may still
	// accept a key, if the router reaches the store or a peer.
	leaveGrace = 3 * time.Second
	keyGrace   = 10 * time.Second
	// stopGrace is the time from SIGTERM to SIGKILL for a router.
	stopGrace = 4 * time.Second
	// otherUpstreams is the number of upstreams of the second pool.
	otherUpstreams = 2
	// streamEvents is the number of events of a stream.
	streamEvents = 12
	// eventInterval is the time between two events of a stream.
	eventInterval = 15 * time.Millisecond
)

// environment holds the processes and emulated services of a run: the store, the
// upstreams and the routers.
type environment struct {
	soak *Soak
	// lock is a listener whose port reserves the loopback addresses of this run, so that
	// concurrent runs use others.
	lock  net.Listener
	store *storer.Store
	// served serves the store.
	served    *standin.Store
	storeHTTP *http.Server
	// storeRefuses makes the store respond to every request with status 503.
	storeRefuses atomic.Bool
	routers      []*router
	// duties is the API of the duties; nil if the routers have none.
	duties *dutyAPI

	mu sync.Mutex
	// upstreams holds the upstreams in use, followed by those that left or crashed.
	upstreams []*upstream
	// others holds the upstreams of the second pool, which no other fault meets.
	others []*upstream
	// declared is the last declaration, key the valid key.
	declared standin.Declaration
	key      string
	// versions are the versions of the software that starts at each position, released counts
	// all; killedAt is when all routers were killed.
	versions []string
	released int
	killedAt []time.Time
	// declaredAt is when the last key was declared.
	declaredAt time.Time
	// part is the part that crashes upstreams now, nil if there is none; parts are all of
	// the run.
	part  *crashingPart
	parts []*crashingPart
	// keys holds the time at which each key was revoked; zero while it is valid.
	keys map[string]time.Time

	// cutMu is held while cuts change; mu is not locked meanwhile.
	cutMu sync.Mutex
	// cuts are the cuts of the run in the order of their begin.
	cuts []*cut
	// empty are the times in which a pool had no upstreams, also guarded by cutMu.
	empty []*period
}

// upstream is an emulated upstream behind a forwarder, which injects network faults.
type upstream struct {
	*standin.Upstream

	name, pool string
	server     *http.Server
	network    *forwarder.Forwarder
	address    string
	born       time.Time
	// seq counts the writes of its registration.
	seq atomic.Int64
	// replacedAt is when another one took its place; zero if none did.
	replacedAt time.Time
	// leftAt is when its registration as leaving was written; zero if it was not.
	leftAt time.Time

	troubleMu sync.Mutex
	// troubles has the times in which it or the connections to it were in trouble.
	troubles []period

	limitMu sync.Mutex
	// limits has the limits that it announced, in order of time.
	limits []limitPeriod
	// brittleTimes counts the times in which it was brittle.
	brittleTimes int
}

// reserveHost reserves the loopback addresses of a run by opening a port on one of them,
// so that concurrent runs never share any. It tries third bytes from wanted on and
// returns the one that is free.
func reserveHost(wanted int) (net.Listener, int, error) {
	var failed error
	for host := wanted; host < min(wanted+hostTries, maxHost); host++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.250:%d", host, portPeers))
		if err == nil {
			return l, host, nil
		}
		failed = err
	}
	return nil, 0, fmt.Errorf("soaker: no free loopback addresses: %w", failed)
}

func newEnvironment(s *Soak) (*environment, error) {
	lock, host, err := reserveHost(s.Host)
	if err != nil {
		return nil, err
	}
	s.Host = host
	env := &environment{lock: lock, soak: s, store: &storer.Store{WatchWait: 2 * time.Second}, keys: make(map[string]time.Time)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soaker: %w", err)
	}
	env.served = &standin.Store{Store: env.store, RejectStatus: func(*http.Request) int {
		if env.storeRefuses.Load() {
			return http.StatusServiceUnavailable
		}
		return 0
	}}
	env.storeHTTP = &http.Server{ReadHeaderTimeout: time.Second, Handler: env.served}
	go func() { _ = env.storeHTTP.Serve(l) }()
	if s.Duties {
		if env.duties, err = newDutyAPI(s.Seed); err != nil {
			return nil, err
		}
	}
	for i := range s.Upstreams {
		if s.Versions > 0 {
			env.versions = append(env.versions, versionName(i%s.Versions))
		}
	}
	env.released = s.Versions
	for i := range s.Upstreams {
		u, err := env.newUpstream(i, 0)
		if err != nil {
			return nil, err
		}
		env.upstreams = append(env.upstreams, u)
	}
	for i := range otherUpstreams {
		u, err := env.serveUpstream(fmt.Sprintf("o-%d", i), env.versionOf(0), standin.SecondPool, "")
		if err != nil {
			return nil, err
		}
		env.others = append(env.others, u)
	}
	env.rotateKey()
	for i := range s.Routers {
		r, err := env.newRouter(i, l.Addr().String())
		if err != nil {
			return nil, err
		}
		env.routers = append(env.routers, r)
	}
	return env, nil
}

// upstream returns the i-th upstream in use.
func (env *environment) upstream(i int) *upstream {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.upstreams[i]
}

// allUpstreams returns the upstreams in use, those that left or crashed, and those of the second
// pool.
func (env *environment) allUpstreams() []*upstream {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Concat(env.upstreams, env.others)
}

// newUpstream starts and registers an upstream for position i. n makes its name unique.
func (env *environment) newUpstream(i, n int) (*upstream, error) {
	u, err := env.serveUpstream(fmt.Sprintf("i-%d-%d", i, n), env.versionOf(i), standin.Pool, "")
	if err == nil {
		u.SetAbort(env.crashOnPart(i, u))
	}
	return u, err
}

// serveUpstream starts and registers an upstream; an empty address means a free one.
func (env *environment) serveUpstream(name, version, pool, address string) (*upstream, error) {
	u := &upstream{name: name, pool: pool, born: time.Now()}
	u.Upstream = &standin.Upstream{Instance: u.name, Version: version, Events: streamEvents, EventInterval: eventInterval}
	u.Limit(soakSlots, soakWaiting, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soaker: %w", err)
	}
	u.server = &http.Server{Handler: u.Upstream, ReadHeaderTimeout: time.Second}
	go func() { _ = u.server.Serve(l) }()
	u.network = &forwarder.Forwarder{Target: l.Addr().String(), Address: address}
	if u.address, err = env.listen(u.network); err != nil {
		return nil, fmt.Errorf("soaker: %w", err)
	}
	if env.soak.Cuts {
		env.applyCuts([]*upstream{u})
	}
	return u, env.register(u, false)
}

// listen starts to accept connections to an upstream, those of each router for itself in runs
// with cuts.
func (env *environment) listen(f *forwarder.Forwarder) (string, error) {
	if env.soak.Cuts {
		return f.ListenFrom(env.sources()...)
	}
	return f.Listen()
}

func (env *environment) register(u *upstream, leaving bool) error {
	value, err := standin.Registration{Pool: u.pool, Address: u.address, Version: u.Version, Leaving: leaving, Born: u.born, Sequence: u.seq.Add(1)}.Encode()
	if err != nil {
		return fmt.Errorf("soaker: %w", err)
	}
	return env.put(platform.RegistrationPrefix+u.name, value)
}

func (env *environment) put(key string, value []byte) error {
	if _, err := env.store.Put(context.Background(), key, value, kingcuphook.RevisionAny, 0); err != nil {
		return fmt.Errorf("soaker: %w", err)
	}
	return nil
}

// rotateKey declares a new version with another key, which revokes the old one.
func (env *environment) rotateKey() {
	env.mu.Lock()
	defer env.mu.Unlock()
	old := env.key
	env.key = fmt.Sprintf("key-%d", env.declared.Version+versionStep)
	if err := env.declare(func(d *standin.Declaration) { d.Keys = []string{env.key} }); err == nil && old != "" {
		env.keys[old] = time.Now()
	}
	env.keys[env.key] = time.Time{}
	env.declaredAt = time.Now()
}

// currentKey returns the valid key.
func (env *environment) currentKey() string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.key
}

// declaredBefore reports whether the last declaration was written before the time.
func (env *environment) declaredBefore(at time.Time) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.declaredAt.Before(at)
}

// revoked returns when a key was revoked; zero while it is valid.
func (env *environment) revoked(key string) time.Time {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.keys[key]
}

func (env *environment) awaitReady(ctx context.Context, timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, r := range env.routers {
		for !r.isReady() {
			if time.Now().After(until) || ctx.Err() != nil || r.hasEnded() {
				return fmt.Errorf("soaker: %s is not ready: %w", r.name, ErrViolation)
			}
			pauser.Pause(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// clearFaults ends the faults of the store, the network and paused processes that may
// still be active.
func (env *environment) clearFaults() {
	env.storeRefuses.Store(false)
	env.duties.set(standin.DutyFault{})
	for _, r := range env.routers {
		r.store.Set(forwarder.FaultNone, 0)
		r.signal(syscall.SIGCONT)
	}
	for _, u := range env.allUpstreams() {
		u.network.Set(forwarder.FaultNone, 0)
		u.limit("")
	}
}

// runs returns the runs of each call at all upstreams, by the ID of the call.
func (env *environment) runs() map[string][]standin.Run {
	runs := make(map[string][]standin.Run)
	for _, u := range env.allUpstreams() {
		for _, r := range u.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	return runs
}

// lateRuns describes the runs more than leaveGrace after their upstream registered as
// leaving, if the router was not disturbed from then on.
func (env *environment) lateRuns(map[string][]standin.Run) []string {
	var late []string
	for _, u := range env.allUpstreams() {
		if u.leftAt.IsZero() {
			continue
		}
		for _, run := range u.Runs() {
			call := env.soak.calls.byID(run.ID)
			if run.At.After(u.leftAt.Add(leaveGrace)) && call != nil && call.router.undisturbedSince(u.leftAt) {
				late = append(late, fmt.Sprintf("%s received %s %v after it had registered as leaving", u.name, run.ID, run.At.Sub(u.leftAt)))
			}
		}
	}
	return late
}

// close ends the router processes that the run started, each by its process ID, and
// closes the emulated services.
func (env *environment) close() {
	for _, r := range env.routers {
		r.mu.Lock()
		r.closed = true
		r.mu.Unlock()
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		r.await(stopGrace)
		_ = r.store.Close()
	}
	for _, u := range env.allUpstreams() {
		_ = u.server.Close()
		_ = u.network.Close()
	}
	if env.duties != nil {
		_ = env.duties.server.Close()
	}
	_ = env.storeHTTP.Close()
	_ = env.lock.Close()
}
