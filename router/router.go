// Package router assembles one router process from the routing tables, the peer
// exchange, the schedulers and the APIs, and shuts it down gracefully. It runs on the
// gRPC platform of package connector; package attacher assembles the routers that run
// on the users' host platform.
package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/allocator"
	"github.com/kingcuphook/kingcuphook/auditor"
	"github.com/kingcuphook/kingcuphook/claimer"
	"github.com/kingcuphook/kingcuphook/configurer"
	"github.com/kingcuphook/kingcuphook/connector"
	"github.com/kingcuphook/kingcuphook/dialer"
	"github.com/kingcuphook/kingcuphook/dispatcher"
	"github.com/kingcuphook/kingcuphook/editor"
	"github.com/kingcuphook/kingcuphook/exchanger"
	"github.com/kingcuphook/kingcuphook/follower"
	"github.com/kingcuphook/kingcuphook/hedger"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/meter"
	"github.com/kingcuphook/kingcuphook/narrator"
	"github.com/kingcuphook/kingcuphook/observer"
	"github.com/kingcuphook/kingcuphook/permitter"
	"github.com/kingcuphook/kingcuphook/quarantiner"
	"github.com/kingcuphook/kingcuphook/rationer"
	"github.com/kingcuphook/kingcuphook/recorder"
	"github.com/kingcuphook/kingcuphook/server"
	"github.com/kingcuphook/kingcuphook/sharer"
	"github.com/kingcuphook/kingcuphook/stopper"
)

const (
	// storeCallsPerSecond and storeCallsBurst limit the store calls with which this
	// router follows the tables.
	storeCallsPerSecond = 4
	storeCallsBurst     = 8
	// auditRecordsPerSecond and auditRecordsBurst limit how many rejected edits are
	// written to the audit trail.
	auditRecordsPerSecond = 1
	auditRecordsBurst     = 10
	// claimDrainTimeout limits how long a stopping router writes the outcomes of its
	// claims.
	claimDrainTimeout = 5 * time.Second
	// headerTimeout limits reading the request headers of the operators' API and the
	// admin address. operatorTimeout limits reading a whole request of the
	// operators' API and how long its connections stay idle.
	headerTimeout   = 5 * time.Second
	operatorTimeout = time.Minute
)

// Router is one router process. Its exported fields must be set before Listen.
type Router struct {
	// Settings are the settings of this VM; required.
	Settings *configurer.Settings
	// Log receives the log events; nil disables logging.
	Log *logger.Logger
	// Seed seeds the random generators, which makes decisions repeatable in tests; 0
	// means a random seed.
	Seed uint64

	listeners listeners
	certs     certificates

	platform  *connector.Connector
	upstreams *dialer.Dialer
	allocator *allocator.Allocator
	follower  *follower.Follower
	editor    *editor.Editor
	recorder  *recorder.Recorder
	claims    *claimer.Claimer
	throttle  *throttle
	// dispatcher runs the callers' requests on upstreams.
	dispatcher *dispatcher.Dispatcher
	meter      *meter.Meter
	// memory is the budget for what callers and upstreams make the router hold.
	memory *rationer.Rationer
	// permits keeps the rate limits that upstreams announced.
	permits    *permitter.Permitter
	server     *server.Server
	peerServer *grpc.Server
	peerClient *exchanger.Client
	control    *control
	// quarantine holds the suspects and quarantines: the fingerprints of request
	// bodies that were in flight on an upstream when it crashed.
	quarantine *quarantiner.Quarantiner
	isolator   *isolator.Isolator
	// sharer exchanges suspects and quarantines with other routers through the store.
	sharer *sharer.Sharer

	// ready is false until the router has tables and has joined its peers or waited
	// joinTimeout for them, and again once a graceful shutdown starts.
	ready atomic.Bool
	// stopping is the graceful shutdown.
	stopping stopper.Stopper
}

// listeners holds the listening sockets of a router.
type listeners struct {
	callers, operators, admin, peers net.Listener
}

// Listen opens the listening sockets. Afterwards the address methods return the
// actual ports, also for addresses set to port 0.
func (r *Router) Listen() error {
	l := r.Settings.Listen
	for _, s := range []struct {
		name, address string
		listener      *net.Listener
	}{
		{"callers", l.Callers, &r.listeners.callers},
		{"operators", l.Operators, &r.listeners.operators},
		{"admin", l.Admin, &r.listeners.admin},
		{"peers", l.Peers, &r.listeners.peers},
	} {
		ln, err := net.Listen("tcp", s.address)
		if err != nil {
			r.Log.Log(logger.ListenFailed, "listen", s.name, "address", s.address, "error", err)
			r.closeListeners()
			return fmt.Errorf("router: listen for %s: %w", s.name, err)
		}
		*s.listener = ln
	}
	return nil
}

func (r *Router) closeListeners() {
	for _, l := range []net.Listener{r.listeners.callers, r.listeners.operators, r.listeners.admin, r.listeners.peers} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// CallersAddress returns the address of the callers' API, after Listen.
func (r *Router) CallersAddress() string { return r.listeners.callers.Addr().String() }

// OperatorsAddress returns the address of the operators' API, after Listen.
func (r *Router) OperatorsAddress() string { return r.listeners.operators.Addr().String() }

// AdminAddress returns the admin address, after Listen.
func (r *Router) AdminAddress() string { return r.listeners.admin.Addr().String() }

// PeersAddress returns the address that peers connect to, after Listen.
func (r *Router) PeersAddress() string { return r.listeners.peers.Addr().String() }

// Ready reports whether the router is ready for callers' requests.
func (r *Router) Ready() bool { return r.ready.Load() }

// Run serves until ctx ends, then shuts down gracefully without interrupting a
// request.
func (r *Router) Run(ctx context.Context) error {
	if err := r.build(); err != nil {
		r.closeListeners()
		return err
	}
	defer r.close()
	r.Log.Log(logger.Started, "callers", r.CallersAddress(), "operators", r.OperatorsAddress(),
		"admin", r.AdminAddress(), "peers", r.PeersAddress())

	// The components outlive ctx: they stop after the last request.
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	g, componentsCtx := errgroup.WithContext(componentsCtx)
	admin := &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: headerTimeout}
	operators := &http.Server{
		Handler:           r.operatorsHandler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       operatorTimeout,
		IdleTimeout:       operatorTimeout,
	}
	g.Go(func() error { return r.server.Run(r.listeners.callers) })
	g.Go(func() error { return serveHTTP(operators, r.certs.operatorsListener(r.listeners.operators)) })
	g.Go(func() error { return serveHTTP(admin, r.listeners.admin) })
	g.Go(func() error { return r.peerServer.Serve(r.listeners.peers) })
	g.Go(func() error { r.follower.Run(componentsCtx); return nil })
	g.Go(func() error { r.control.run(componentsCtx); return nil })
	g.Go(func() error { r.runPermits(componentsCtx); return nil })
	g.Go(func() error { r.sweep(componentsCtx); return nil })
	g.Go(func() error { r.receiveStoreSuspects(componentsCtx); return nil })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			r.stop()
		case <-componentsCtx.Done():
			// A component failed; requests in progress still complete.
			_ = r.server.Stop(context.WithoutCancel(ctx))
		}
		stopComponents()
		r.peerServer.Stop()
		_ = operators.Close()
		return admin.Close()
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("router: %w", err)
	}
	r.Log.Log(logger.Stopped)
	return nil
}

// closeTimeout bounds the time in which requests that are still open at the end of a graceful
// shutdown are ended and their callers get an error.
const closeTimeout = 200 * time.Millisecond

// stop shuts down gracefully. The router reports not ready and leaves its
// peers, serves the requests that still arrive during the drain delay, and then
// waits for those in progress. It ends those that are open after the grace time with an
// error.
func (r *Router) stop() {
	begun := time.Now()
	end := begun.Add(r.Settings.Stop.Grace.Value())
	r.stopping.Start(begun, end)
	r.ready.Store(false)
	r.permits.Stop()
	r.Log.Log(logger.Stopping, "open-requests", r.server.Open())
	r.server.Drain()
	r.control.leave()
	time.Sleep(r.Settings.Stop.DrainDelay.Value())
	r.stopServer(end)
	r.allocator.Close()
	drain, cancel := context.WithTimeout(context.Background(), claimDrainTimeout)
	defer cancel()
	_ = r.claims.Drain(drain)
}

// stopServer stops the server and waits for its requests until end. It ends those that are open
// then with an error.
func (r *Router) stopServer(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if r.server.Stop(ctx) == nil {
		return
	}
	r.Log.Log(logger.CallsEnded, "open-requests", r.server.Open())
	r.server.EndCalls()
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := r.server.Stop(closing); err != nil {
		r.Log.Log(logger.StopIncomplete, "open-requests", r.server.Open(), "error", err)
	}
}

func (r *Router) close() {
	_ = r.peerClient.Close()
	r.upstreams.Close()
	_ = r.platform.Close()
}

// build creates the components from the settings.
func (r *Router) build() error {
	if err := r.certs.load(r.Settings, r.Log); err != nil {
		return err
	}
	s := r.Settings
	r.platform = &connector.Connector{
		Address:     s.Platform.Address,
		Timeout:     s.Platform.Timeout.Value(),
		Credentials: r.certs.platformCredentials(),
	}
	if err := r.platform.Connect(); err != nil {
		return err
	}
	r.recorder = &recorder.Recorder{}
	r.meter = meter.New()
	r.memory = &rationer.Rationer{Bytes: s.Limits.MaxHeldBytes}
	r.permits = &permitter.Permitter{Self: r.PeersAddress(), OnChange: r.logRateLimit}
	r.allocator = &allocator.Allocator{NewScheduler: r.newScheduler}
	r.peerClient = &exchanger.Client{Credentials: r.certs.peersClientCredentials()}
	r.control = newControl(r)
	r.upstreams = &dialer.Dialer{OnReport: r.control.onReport, OnNotice: r.control.onNotice, Memory: r.memory}
	r.upstreams.Init()
	r.buildTables()
	r.buildServer()
	r.addGauges()
	r.peerServer = (&exchanger.Server{Handler: r.control, Credentials: r.certs.peersServerCredentials()}).NewGRPC()
	return nil
}

func (r *Router) buildTables() {
	r.follower = &follower.Follower{
		Store:     r.platform,
		Self:      follower.Router{Address: r.PeersAddress(), DataCentre: r.Settings.Node.DataCentre},
		IsWatcher: r.control.isWatcher,
		Rand:      r.newRand(),
		Budget:    rate.NewLimiter(storeCallsPerSecond, storeCallsBurst),
		OnEvent:   r.control.tablesEvent,
	}
	r.editor = &editor.Editor{
		Store:    r.platform,
		InForce:  r.control.currentTables,
		OnAccept: r.accept,
		Audit: &auditor.Auditor{
			Store: r.platform,
			Limit: rate.NewLimiter(auditRecordsPerSecond, auditRecordsBurst),
		},
	}
}

// hedges returns the policy of the settings, which were validated; nil if it allows no hedges.
func (r *Router) hedges() kingcuphook.HedgePolicy {
	policy, err := hedger.New(r.Settings.Hedging.Requests, r.Settings.Hedging.Tokens)
	if err != nil {
		return nil
	}
	return policy
}

func (r *Router) buildServer() {
	s := r.Settings
	obs := &observer.Observer{Recorder: r.recorder, Meter: r.meter}
	r.claims = &claimer.Claimer{Store: r.platform, Rand: r.newRand()}
	r.quarantine = &quarantiner.Quarantiner{}
	r.isolator = &isolator.Isolator{}
	r.isolator.OnChange = r.partChanged
	r.sharer = &sharer.Sharer{
		Store:       r.platform,
		Quarantiner: r.quarantine,
		Isolator:    r.isolator,
		Owner:       r.PeersAddress(),
		OnDecodeError: func(key string, err error) {
			r.Log.Log(logger.PeerFailed, "key", key, "error", err)
		},
	}
	r.throttle = newThrottle(r.newRand())
	r.dispatcher = &dispatcher.Dispatcher{
		Allocator:     &observer.Allocator{Next: r.allocator, Observer: obs, Explain: r.allocator.Explain},
		Engine:        &observer.Engine{Next: r.upstreams, Observer: obs},
		Store:         r.platform,
		Claimer:       r.claims,
		Quarantiner:   r.quarantine,
		Isolator:      r.isolator,
		ShareSuspects: r.shareSuspects,
		OnCrash:       narrator.LogCrash(r.Log),
		Hedges:        r.hedges(),
		HasSpareSlot:  r.allocator.HasSpareSlot,
		Neighbours:    func(u *kingcuphook.Upstream) []string { return r.tables().InDataCentre(u.DataCentre()) },
		Stopping:      r.stopping.Begun(),
		LatestStart:   func(q *kingcuphook.Request) time.Time { return r.server.LatestStart(q) },
		Owner:         r.PeersAddress(),
		Rand:          r.newRand(),
	}
	r.server = &server.Server{
		Dispatcher: r.dispatcher,
		Throttle:   r.throttle,
		Tables:     r.tables,
		Observer:   obs,
		TLS:        r.certs.callersConfig(),
		Memory:     r.memory,
		Log:        r.Log,
		StopTimes:  r.stopping.Times,
		Region:     s.Node.Region,
		DataCentre: s.Node.DataCentre,
		Limits: server.Limits{
			MaxBodyBytes:   s.Limits.MaxBodyBytes,
			MaxHeaderBytes: s.Limits.MaxHeaderBytes,
			HeaderTimeout:  s.Limits.HeaderTimeout.Value(),
			ReadTimeout:    s.Limits.ReadTimeout.Value(),
			WriteTimeout:   s.Limits.WriteTimeout.Value(),
			IdleTimeout:    s.Limits.IdleTimeout.Value(),
			Deadline:       s.Limits.Deadline.Value(),
			MaxRequests:    s.Limits.MaxRequests,
		},
	}
}

// tables returns the current tables, or nil while there are none.
func (r *Router) tables() *kingcuphook.Tables {
	t := r.follower.Tables()
	if t.Revision() == 0 {
		return nil
	}
	return t
}

func (r *Router) newRand() *rand.Rand {
	if r.Seed != 0 {
		return rand.New(rand.NewPCG(r.Seed, r.Seed))
	}
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// serveHTTP serves on l and returns nil once s is closed.
func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
