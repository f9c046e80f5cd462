// Package receiver serves the HTTP API for callers whose calls are forwarded
// unchanged. It finds the route and the organisation of a call, passes the call to a
// Dispatcher, and writes the upstream's answer unchanged.
package receiver

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/discarder"
	"github.com/kingcuphook/kingcuphook/forecaster"
	"github.com/kingcuphook/kingcuphook/forwarder"
	"github.com/kingcuphook/kingcuphook/listener"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/rationer"
	"github.com/kingcuphook/kingcuphook/stopper"
)

const (
	idleTimeout = 2 * time.Minute
	// defaultDeadline limits a call whose route has no timeout.
	defaultDeadline = 30 * time.Second
	// defaultMaxBody limits a request body unless Directory.MaxBodyBytes is set.
	defaultMaxBody = 8 << 20
)

// Observer is notified of the start and the end of each accepted call.
type Observer interface {
	// RequestStarted is called when a call was accepted for the route.
	RequestStarted(r *kingcuphook.Request, route *kingcuphook.Route)
	// RequestEnded is called with the result of the call. Times are measured from its
	// arrival; firstToken is 0 if no part of the answer was written.
	RequestEnded(r *kingcuphook.Request, o kingcuphook.Outcome, err error, firstToken, total time.Duration)
}

// Directory is the current configuration.
type Directory struct {
	// Tables are the current tables; nil until the first ones are loaded.
	Tables *kingcuphook.Tables
	// MaxBodyBytes limits the body of a call; 0 means 8 MiB.
	MaxBodyBytes int64
	// HeadLimits bound the head of a call; zero values mean 64 KiB and 5 s.
	HeadLimits kingcuphook.HeadLimits
}

// Receiver serves callers. Its fields are set before Run.
type Receiver struct {
	// Dispatcher runs the calls; it must be set.
	Dispatcher kingcuphook.Dispatcher
	// Codec reads the request headers of callers; it must be set.
	Codec kingcuphook.CallCodec
	// Directory returns the current configuration; it must be set.
	Directory func() Directory
	// TablesLoaded is closed once the first tables are loaded. If it is nil, calls don't
	// wait for them.
	TablesLoaded <-chan struct{}
	// StopTimes returns from when on a graceful shutdown takes only calls that surely end before
	// it does, and when it ends; zero times mean that none was started. Nil means never.
	StopTimes func() (late, end time.Time)
	// Pins keeps track of the software version that began each stream; nil means that calls
	// that resume a stream go to any upstream.
	Pins kingcuphook.StreamPinner
	// Observer is notified of accepted calls; nil means none.
	Observer Observer
	// Memory is the budget for the heads and bodies of calls; nil means no limit.
	Memory *rationer.Rationer
	// Log receives events; nil means none.
	Log *logger.Logger
	// Region and DataCentre are the location of the router.
	Region, DataCentre string

	once sync.Once
	http *http.Server
	// calls are those in flight, as they stand in a graceful shutdown.
	calls stopper.Calls
	// discards drops the bodies of refused calls.
	discards discarder.Discarder
	// connections are the open ones.
	connections listener.Connections
	// closing is set before the listener is closed, closed once all connections are.
	closing, closed atomic.Bool
	// inFlight counts the calls in flight, unanswered those that ended without a complete
	// response although their callers were still connected, and late those that were
	// rejected because they might not end before the graceful shutdown does.
	inFlight, unanswered, late atomic.Int64
	// kept counts how often a connection was kept open after a call.
	kept atomic.Int64
}

// Run serves callers on l until Stop. It returns nil after a graceful shutdown.
func (s *Receiver) Run(l net.Listener) error {
	if err := s.server().Serve(s.newListener(l)); !errors.Is(err, http.ErrServerClosed) && !s.closing.Load() {
		return fmt.Errorf("receiver: %w", err)
	}
	return nil
}

func (s *Receiver) server() *http.Server {
	s.once.Do(func() {
		s.calls.Times = s.StopTimes
		s.connections.Refusal = refusalOfCrossing
		s.http = &http.Server{
			Handler:           s,
			MaxHeaderBytes:    kingcuphook.MaxHeadBytes,
			ReadHeaderTimeout: kingcuphook.MaxHeadTimeout,
			IdleTimeout:       idleTimeout,
			ConnState:         s.observeState,
			ConnContext:       withConn,
			ErrorLog:          log.New(serverLog{s.Log}, "", 0),
			// Only an upstream answers OPTIONS *.
			DisableGeneralOptionsHandler: true,
		}
	})
	return s.http
}

// serverLog logs the lines of the HTTP server as events.
type serverLog struct{ log *logger.Logger }

// Write implements io.Writer.
func (s serverLog) Write(line []byte) (int, error) {
	s.log.Log(logger.ServerError, "error", strings.TrimSpace(string(line)))
	return len(line), nil
}

// Unanswered returns the number of calls that ended without a complete response although
// their callers were still connected.
func (s *Receiver) Unanswered() int { return int(s.unanswered.Load()) }

// ServeHTTP implements http.Handler.
func (s *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping() {
		w.Header().Set("Connection", "close")
	}
	ctx, cancel := s.stopCalls().Context(r.Context())
	defer cancel()
	out := &writer{w: w, control: http.NewResponseController(w), closing: s.closing.Load}
	defer s.recoverPanic(out)
	labels := s.Codec.Labels(r.Header)
	out.id = labels.ID
	account := s.Memory.Open()
	defer account.Close()
	discarder.Track(r)
	c, err := s.accept(ctx, out, r, labels, account)
	if err != nil {
		s.rejectUnread(out, r, err)
		return
	}
	s.run(ctx, out, r, c)
}

// acceptedCall is a call that passed all checks, with its route.
type acceptedCall struct {
	call  *kingcuphook.Call
	route *kingcuphook.Route
	// memory is the memory held for the call.
	memory *rationer.Account
}

// accept finds the route and the organisation of a call and reads its body, both into memory
// reserved on the account. It returns a *kingcuphook.RequestError if the call can't be accepted.
func (s *Receiver) accept(ctx context.Context, out *writer, r *http.Request, labels kingcuphook.CallLabels, account *rationer.Account) (*acceptedCall, error) {
	arrived := time.Now()
	if s.closed.Load() {
		return nil, errStopping
	}
	d := s.awaitDirectory(ctx, labels.Deadline)
	if d.Tables == nil {
		return nil, errNotReady
	}
	route := d.Tables.MatchHost(r.Host, r.URL.EscapedPath())
	if route == nil {
		return nil, errNoRoute
	}
	if !forwarder.IsSendable(r.RequestURI) {
		return nil, errBadPath
	}
	var organisation kingcuphook.Organisation
	if d.Tables.RequiresAPIKey() && (!route.Public() || labels.APIKey != "") {
		found, ok := d.Tables.Organisation(labels.APIKey)
		if !ok && !route.Public() {
			return nil, errNoKey
		}
		organisation = found
	}
	deadline := arrived.Add(callTimeout(labels, route))
	forecast := forecaster.Call{Route: route.Name(), PromptTokens: labels.PromptTokens, MaxTokens: labels.MaxTokens}
	if err := s.checkStop(forecast, deadline); err != nil {
		return nil, err
	}
	tier, _ := kingcuphook.Rank(organisation, route)
	account.SetTier(tier)
	reader := &bodyReader{request: r, out: out, account: account, deadline: deadline, limit: d.MaxBodyBytes}
	body, err := reader.read(ctx)
	if errors.Is(err, kingcuphook.ErrOutOfMemory) {
		s.logNoMemory(r, labels, route, tier, account)
	}
	if err != nil {
		account.Close()
		return nil, err
	}
	// Receiving the body may have taken long.
	if err := s.checkStop(forecast, deadline); err != nil {
		return nil, err
	}
	request, err := s.newRequest(ctx, r, labels, route, organisation, body, arrived, deadline)
	if err != nil {
		return nil, err
	}
	return &acceptedCall{route: route, call: s.newCall(r, route, request, body), memory: account}, nil
}

const (
	// tablesWaitShare is the share of its deadline that a call waits for the first
	// tables. They are loaded soon after the process starts, and few callers retry a
	// rejected call.
	tablesWaitShare = 0.2
	// minTablesWait and maxTablesWait limit that wait.
	minTablesWait = 400 * time.Millisecond
	maxTablesWait = 3 * time.Second
)

// awaitDirectory returns the current configuration. Until the first tables are loaded
// it waits for a share of the caller's deadline; a deadline of 0 means unknown.
func (s *Receiver) awaitDirectory(ctx context.Context, deadline time.Duration) Directory {
	d := s.Directory()
	if d.Tables != nil || s.TablesLoaded == nil {
		return d
	}
	wait := time.Duration(tablesWaitShare * float64(deadline))
	timer := time.NewTimer(min(max(wait, minTablesWait), maxTablesWait))
	defer timer.Stop()
	select {
	case <-s.TablesLoaded:
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.Directory()
}

// callTimeout returns how long a call may take: the timeout of its route or the
// caller's deadline, whichever is shorter.
func callTimeout(l kingcuphook.CallLabels, route *kingcuphook.Route) time.Duration {
	d := defaultDeadline
	if route.Timeout() > 0 {
		d = route.Timeout()
	}
	if l.Deadline > 0 {
		d = min(d, l.Deadline)
	}
	return d
}
