// Package receiver serves the HTTP API for callers whose calls are forwarded
// unchanged. It finds the route and the organisation of a call, passes the call to a
// Dispatcher, and writes the upstream's answer unchanged.
package receiver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/xid"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/forwarder"
	"github.com/kingcuphook/kingcuphook/logger"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
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
	// StopTimes returns when a graceful shutdown starts to reject new streams, and when
	// it ends; zero times mean that none was started. Nil means never.
	StopTimes func() (streams, end time.Time)
	// Pins keeps track of the software version that began each stream; nil means that calls
	// that resume a stream go to any upstream.
	Pins kingcuphook.StreamPinner
	// Observer is notified of accepted calls; nil means none.
	Observer Observer
	// Log receives events; nil means none.
	Log *logger.Logger
	// Region and DataCentre are the location of the router.
	Region, DataCentre string

	once sync.Once
	http *http.Server
	// calls is a context that EndCalls ends with the function endCalls.
	calls    context.Context
	endCalls context.CancelFunc
	// closing is set before idle connections are closed.
	closing atomic.Bool
	// inFlight counts the calls in flight, unanswered those that ended without a complete
	// response although their callers were still connected.
	inFlight, unanswered atomic.Int64
}

// Run serves callers on l until Stop. It returns nil after a graceful shutdown.
func (s *Receiver) Run(l net.Listener) error {
	if err := s.server().Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("receiver: %w", err)
	}
	return nil
}

func (s *Receiver) server() *http.Server {
	s.once.Do(func() {
		s.calls, s.endCalls = context.WithCancel(context.Background())
		s.http = &http.Server{
			Handler:           s,
			MaxHeaderBytes:    maxHeaderBytes,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			ErrorLog:          log.New(serverLog{s.Log}, "", 0),
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

// Stop closes the listener and the idle connections, and waits for the calls in flight
// until ctx ends. It returns an error if ctx ends first; it doesn't interrupt the calls
// itself. Calls that begin after it has been called are rejected: their connections may be
// closed.
func (s *Receiver) Stop(ctx context.Context) error {
	s.closing.Store(true)
	if err := s.server().Shutdown(ctx); err != nil {
		return fmt.Errorf("receiver: stop: %w", err)
	}
	return nil
}

// EndCalls ends the calls in flight and all later ones with an error, which their callers
// get unless part of an answer was written. It returns at once.
func (s *Receiver) EndCalls() {
	s.server()
	s.endCalls()
}

// callContext returns a context that ends with the caller's connection or, with the cause
// ErrStopping, when EndCalls is called.
func (s *Receiver) callContext(r *http.Request) (context.Context, context.CancelFunc) {
	s.server()
	ctx, cancel := context.WithCancelCause(r.Context())
	stop := context.AfterFunc(s.calls, func() { cancel(kingcuphook.ErrStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// InFlight returns the number of calls in flight.
func (s *Receiver) InFlight() int { return int(s.inFlight.Load()) }

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
	ctx, cancel := s.callContext(r)
	defer cancel()
	out := &writer{w: w, control: http.NewResponseController(w)}
	defer s.recoverPanic(out)
	labels := s.Codec.Labels(r.Header)
	out.id = labels.ID
	c, err := s.accept(ctx, w, r, labels)
	if err != nil {
		s.reject(out, err)
		return
	}
	s.run(ctx, out, r, c)
}

// stopping reports whether a graceful shutdown was started.
func (s *Receiver) stopping() bool {
	if s.closing.Load() {
		return true
	}
	if s.StopTimes == nil {
		return false
	}
	_, end := s.StopTimes()
	return !end.IsZero()
}

// acceptedCall is a call that passed all checks, with its route.
type acceptedCall struct {
	call  *kingcuphook.Call
	route *kingcuphook.Route
}

// accept finds the route and the organisation of a call and reads its body. It returns
// a *kingcuphook.RequestError if the call can't be accepted.
func (s *Receiver) accept(ctx context.Context, w http.ResponseWriter, r *http.Request, labels kingcuphook.CallLabels) (*acceptedCall, error) {
	arrived := time.Now()
	if s.closing.Load() {
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
	var organisation kingcuphook.Organisation
	if d.Tables.RequiresAPIKey() && (!route.Public() || labels.APIKey != "") {
		found, ok := d.Tables.Organisation(labels.APIKey)
		if !ok && !route.Public() {
			return nil, errNoKey
		}
		organisation = found
	}
	deadline := arrived.Add(callTimeout(labels, route))
	if s.stopping() && !s.endsBeforeStop(route) {
		return nil, errStopping
	}
	body, err := readBody(w, r, d.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	request, err := s.newRequest(ctx, r, labels, route, organisation, body, arrived, deadline)
	if err != nil {
		return nil, err
	}
	return &acceptedCall{route: route, call: s.newCall(r, route, request, body)}, nil
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

// endsBeforeStop reports whether a call of the route that starts now is expected to
// end before the graceful shutdown does.
func (s *Receiver) endsBeforeStop(route *kingcuphook.Route) bool {
	if s.StopTimes == nil {
		return false
	}
	streams, end := s.StopTimes()
	if route.Stream() {
		return time.Now().Before(streams)
	}
	return time.Until(end) > max(route.Timeout(), minCallTime)
}

// minCallTime is the time that a call needs at least before the end of a graceful
// shutdown, also if its route has a shorter timeout or none.
const minCallTime = time.Second

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

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	limited := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength > limit {
		return nil, errTooLarge
	}
	var body []byte
	var err error
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(limited, body)
	} else {
		body, err = io.ReadAll(limited)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errTooLarge
	}
	if err != nil {
		return nil, bodyError(err)
	}
	return body, nil
}

func (s *Receiver) newRequest(ctx context.Context, r *http.Request, l kingcuphook.CallLabels, route *kingcuphook.Route, o kingcuphook.Organisation, body []byte, arrived, deadline time.Time) (*kingcuphook.Request, error) {
	tier, urgency := rank(o, route)
	f := kingcuphook.RequestFields{
		ID:           l.ID,
		Class:        route.Name(),
		Organisation: o.Name,
		// Every upstream of a pool serves all models. What differs between the requests
		// that are queued for a pool is their route.
		Model:         route.Name(),
		Region:        s.Region,
		DataCentre:    s.DataCentre,
		Tier:          tier,
		Urgency:       urgency,
		Arrived:       arrived,
		Target:        route.Target(),
		TokenTarget:   route.TokenTarget(),
		Deadline:      deadline,
		NonIdempotent: route.NonIdempotent(),
		PromptTokens:  l.PromptTokens,
		MaxTokens:     l.MaxTokens,
		Bytes:         len(body),
		Prefix:        l.Prefix,
		PrefixTokens:  l.PrefixTokens,
		Parts:         l.Parts,
		Fingerprint:   fingerprint(r, o.Name, body),
		Stream:        route.Stream(),
	}
	if f.ID == "" {
		f.ID = xid.New().String()
	}
	if !s.resumesStream(l, route) {
		f.Pool = poolFor(route, f.ID)
		return kingcuphook.NewRequest(f), nil
	}
	origin, err := s.findOrigin(ctx, l, o.Name, route)
	if err != nil {
		return nil, err
	}
	f.Pool, f.OnlyVersion = origin.Pool, &origin.Version
	return kingcuphook.NewRequest(f), nil
}

// poolFor returns the pool of the call with the ID, which is the same at every router.
func poolFor(route *kingcuphook.Route, id string) string {
	return route.PoolFor(float64(xxhash.Sum64String(id)>>11) / (1 << 53))
}

const (
	// routeLevels is the number of route tiers that are kept apart within one tier of
	// organisations.
	routeLevels = 3
	// defaultTier is the tier of an organisation that has none.
	defaultTier = kingcuphook.HighestTier + 1
)

// rank returns the tier and the urgency of a request; lower values go first. Requests
// are ordered by the tier of the organisation and then by that of the route.
func rank(o kingcuphook.Organisation, route *kingcuphook.Route) (kingcuphook.Tier, int) {
	organisation := o.Tier
	if !organisation.Valid() {
		organisation = defaultTier
	}
	urgency := organisation.Index()*routeLevels + min(route.Tier().Index(), routeLevels-1)
	return min(kingcuphook.HighestTier+kingcuphook.Tier(urgency), kingcuphook.LowestTier), urgency
}

// fingerprint returns a hash of a call that is the same when the call is repeated.
func fingerprint(r *http.Request, organisation string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{organisation, r.Method, r.RequestURI} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\n")
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

func (s *Receiver) newCall(r *http.Request, route *kingcuphook.Route, request *kingcuphook.Request, body []byte) *kingcuphook.Call {
	header := s.Codec.Forwarded(r.Header)
	forwarder.RemoveHopByHopHeaders(header)
	header.Del("Content-Length")
	header.Del("Expect")
	o := &kingcuphook.Opaque{
		Host:        r.Host,
		Header:      header,
		MaxAttempts: route.MaxAttempts(),
		Resumable:   route.Resumable(),
	}
	o.FirstByte, o.Silence = silenceLimits(route)
	kind := kingcuphook.UpstreamKindService
	if route.Stream() {
		kind = kingcuphook.UpstreamKindEngine
	}
	return &kingcuphook.Call{
		Request: request,
		Method:  r.Method,
		Path:    r.RequestURI,
		Body:    body,
		Kind:    kind,
		Opaque:  o,
	}
}

const (
	// firstByteFactor and silenceFactor are how many times the target of its route an
	// upstream may stay silent before a retryable call is sent to another one.
	firstByteFactor = 3
	silenceFactor   = 3
	// minSilence is the lower limit of both times.
	minSilence = 400 * time.Millisecond
	// unlimited is in effect no limit. It applies to calls that can't be retried: only
	// their deadline ends them.
	unlimited = time.Hour
)

// silenceLimits returns how long an upstream may stay silent before the first byte of
// an answer and between two events of a stream.
func silenceLimits(route *kingcuphook.Route) (firstByte, silence time.Duration) {
	if route.NonIdempotent() || route.MaxAttempts() < 2 {
		return unlimited, unlimited
	}
	firstByte = max(firstByteFactor*route.Target(), minSilence)
	silence = max(silenceFactor*route.TokenTarget(), minSilence)
	return firstByte, silence
}
