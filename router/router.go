// Package router is one router process: it joins the tables, the peers, the
// schedulers and the callers' API, and carries out a planned stop.
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
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/meter"
	"github.com/kingcuphook/kingcuphook/observer"
	"github.com/kingcuphook/kingcuphook/quarantiner"
	"github.com/kingcuphook/kingcuphook/recorder"
	"github.com/kingcuphook/kingcuphook/server"
	"github.com/kingcuphook/kingcuphook/sharer"
)

const (
	// storeCallsPerSecond and storeCallsBurst bound this router's calls for the
	// tables.
	storeCallsPerSecond = 4
	storeCallsBurst     = 8
	// auditRecordsPerSecond and auditRecordsBurst bound the records of refused
	// edits.
	auditRecordsPerSecond = 1
	auditRecordsBurst     = 10
	// claimDrainTimeout bounds writing the last outcomes of claims.
	claimDrainTimeout = 5 * time.Second
	// headerTimeout bounds reading the headers of operators, operatorTimeout the
	// whole of a call and the time between two.
	headerTimeout   = 5 * time.Second
	operatorTimeout = time.Minute
)

// Router is one process. Its fields are set before Listen.
type Router struct {
	// Settings are those of the VM; never nil.
	Settings *configurer.Settings
	// Log takes events; nil means none.
	Log *logger.Logger
	// Seed makes decisions repeatable in tests; 0 means a random one.
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
	// dispatcher runs the calls.
	dispatcher *dispatcher.Dispatcher
	meter      *meter.Meter
	server     *server.Server
	peers      *grpc.Server
	links      *exchanger.Client
	control    *control
	// quarantine knows the request bodies that crashed upstreams.
	quarantine *quarantiner.Quarantiner
	// sharer tells suspects through the store.
	sharer *sharer.Sharer

	// ready is false before the first tables and from the begin of a stop.
	ready atomic.Bool
	// stopping is set by the begin of a planned stop.
	stopping atomic.Bool
}

// listeners are the open sockets of a router.
type listeners struct {
	callers, operators, admin, peers net.Listener
}

// Listen opens the sockets, so that addresses with port 0 are known.
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
		opened, err := net.Listen("tcp", s.address)
		if err != nil {
			r.Log.Log(logger.ListenFailed, "listen", s.name, "address", s.address, "error", err)
			r.closeListeners()
			return fmt.Errorf("router: listen for %s: %w", s.name, err)
		}
		*s.listener = opened
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

// PeersAddress returns the address of the peer link, after Listen.
func (r *Router) PeersAddress() string { return r.listeners.peers.Addr().String() }

// Ready reports whether the router takes requests.
func (r *Router) Ready() bool { return r.ready.Load() }

// Run serves until ctx ends, then stops as planned: it interrupts no request.
func (r *Router) Run(ctx context.Context) error {
	if err := r.build(); err != nil {
		r.closeListeners()
		return err
	}
	defer r.close()
	r.Log.Log(logger.Started, "callers", r.CallersAddress(), "operators", r.OperatorsAddress(),
		"admin", r.AdminAddress(), "peers", r.PeersAddress())

	// The parts end after the last request, not with ctx.
	parts, endParts := context.WithCancel(context.WithoutCancel(ctx))
	defer endParts()
	g, parts := errgroup.WithContext(parts)
	admin := &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: headerTimeout}
	operators := &http.Server{
		Handler:           r.operatorsHandler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       operatorTimeout,
		IdleTimeout:       operatorTimeout,
	}
	g.Go(func() error { return r.server.Run(r.certs.callersListener(r.listeners.callers)) })
	g.Go(func() error { return serveHTTP(operators, r.certs.callersListener(r.listeners.operators)) })
	g.Go(func() error { return serveHTTP(admin, r.listeners.admin) })
	g.Go(func() error { return r.peers.Serve(r.listeners.peers) })
	g.Go(func() error { r.follower.Run(parts); return nil })
	g.Go(func() error { r.control.run(parts); return nil })
	g.Go(func() error { r.sweep(parts); return nil })
	g.Go(func() error { r.shareThroughStore(parts); return nil })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			r.stop()
		case <-parts.Done():
			// One of the parts failed; what is in progress still ends.
			_ = r.server.Stop(context.WithoutCancel(ctx))
		}
		endParts()
		r.peers.Stop()
		_ = operators.Close()
		return admin.Close()
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("router: %w", err)
	}
	r.Log.Log(logger.Stopped)
	return nil
}

// stop is the planned stop: not ready first, then the requests that still
// arrive, then those in progress to their end.
func (r *Router) stop() {
	r.stopping.Store(true)
	r.ready.Store(false)
	r.Log.Log(logger.Stopping, "open-requests", r.server.Open())
	r.server.Drain()
	r.control.leave()
	time.Sleep(r.Settings.Stop.DrainDelay.Value())
	_ = r.server.Stop(context.Background())
	r.allocator.Close()
	drain, cancel := context.WithTimeout(context.Background(), claimDrainTimeout)
	defer cancel()
	_ = r.claims.Drain(drain)
}

func (r *Router) close() {
	_ = r.links.Close()
	r.upstreams.Close()
	_ = r.platform.Close()
}

// build makes the parts from the settings.
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
	r.allocator = &allocator.Allocator{NewScheduler: r.newScheduler}
	r.links = &exchanger.Client{Credentials: r.certs.peersClientCredentials()}
	r.control = newControl(r)
	r.upstreams = &dialer.Dialer{OnReport: r.control.reported, OnNotice: r.control.noticed}
	r.upstreams.Init()
	r.buildTables()
	r.buildServer()
	r.addGauges()
	r.peers = (&exchanger.Server{Handler: r.control, Credentials: r.certs.peersServerCredentials()}).NewGRPC()
	return nil
}

func (r *Router) buildTables() {
	r.follower = &follower.Follower{
		Store:     r.platform,
		Self:      follower.Router{Address: r.PeersAddress(), DataCentre: r.Settings.Node.DataCentre},
		IsWatcher: r.control.watches,
		Rand:      r.newRand(),
		Budget:    rate.NewLimiter(storeCallsPerSecond, storeCallsBurst),
		OnEvent:   r.control.tablesEvent,
	}
	r.editor = &editor.Editor{
		Store:    r.platform,
		InForce:  r.control.inForce,
		OnAccept: r.accept,
		Audit: &auditor.Auditor{
			Store: r.platform,
			Limit: rate.NewLimiter(auditRecordsPerSecond, auditRecordsBurst),
		},
	}
}

func (r *Router) buildServer() {
	s := r.Settings
	watch := &observer.Observer{Recorder: r.recorder, Meter: r.meter}
	r.claims = &claimer.Claimer{Store: r.platform, Rand: r.newRand()}
	r.quarantine = &quarantiner.Quarantiner{}
	r.sharer = &sharer.Sharer{
		Store:       r.platform,
		Quarantiner: r.quarantine,
		Owner:       r.PeersAddress(),
		OnDecodeError: func(key string, err error) {
			r.Log.Log(logger.PeerFailed, "key", key, "error", err)
		},
	}
	r.throttle = newThrottle(r.newRand())
	r.dispatcher = &dispatcher.Dispatcher{
		Allocator:     &observer.Allocator{Next: r.allocator, Observer: watch, Explain: r.allocator.Explain},
		Engine:        &observer.Engine{Next: r.upstreams, Observer: watch},
		Store:         r.platform,
		Claimer:       r.claims,
		Quarantiner:   r.quarantine,
		ShareSuspects: r.share,
		Owner:         r.PeersAddress(),
		Rand:          r.newRand(),
	}
	r.server = &server.Server{
		Dispatcher: r.dispatcher,
		Throttle:   r.throttle,
		Tables:     r.tables,
		Observer:   watch,
		Log:        r.Log,
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

// tables returns the tables in force, or nil before the first.
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

// serveHTTP serves on l and returns nil after a close.
func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
