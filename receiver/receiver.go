// Package receiver is the interface to callers whose calls are passed on as they
// came: it finds the route and the organisation of a call, hands it to a
// Dispatcher, and writes the answer as the upstream gave it.
package receiver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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
	// defaultDeadline bounds a call whose caller and route give no time.
	defaultDeadline = 30 * time.Second
	// defaultMaxBody bounds a body while nothing is declared.
	defaultMaxBody = 8 << 20
)

// Observer sees the beginning and end of each call.
type Observer interface {
	// Begun tells that a call was accepted for the route.
	Begun(r *kingcuphook.Request, route *kingcuphook.Route)
	// Ended tells how it ended; firstToken is 0 if nothing was written.
	Ended(r *kingcuphook.Request, o kingcuphook.Outcome, err error, firstToken, total time.Duration)
}

// Directory is what is in force.
type Directory struct {
	// Tables are the tables in force; nil before the first.
	Tables *kingcuphook.Tables
	// MaxBodyBytes bounds the body of a call; 0 means the default.
	MaxBodyBytes int64
}

// Receiver serves callers. Its fields are set before Run.
type Receiver struct {
	// Dispatcher runs the calls; never nil.
	Dispatcher kingcuphook.Dispatcher
	// Codec reads the headers of callers; never nil.
	Codec kingcuphook.CallCodec
	// Directory returns what is in force.
	Directory func() Directory
	// Known is closed once there are tables; nil means that nobody waits for them.
	Known <-chan struct{}
	// Closing says when a planned stop begins to turn streams away, and when it
	// ends; zero times mean that none has begun. Nil means never.
	Closing func() (streams, end time.Time)
	// Observer sees every call; nil means nobody.
	Observer Observer
	// Log takes events; nil means none.
	Log *logger.Logger
	// Region and DataCentre are where the router stands.
	Region, DataCentre string

	once sync.Once
	http *http.Server
	// open counts the calls in progress.
	open atomic.Int64
}

// Run serves callers on l until Stop. It returns nil after a planned stop.
func (s *Receiver) Run(l net.Listener) error {
	if err := s.server().Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("receiver: %w", err)
	}
	return nil
}

func (s *Receiver) server() *http.Server {
	s.once.Do(func() {
		s.http = &http.Server{
			Handler:           s,
			MaxHeaderBytes:    maxHeaderBytes,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
		}
	})
	return s.http
}

// Stop accepts no new connection and waits for the calls in progress. It
// interrupts none of them unless ctx ends.
func (s *Receiver) Stop(ctx context.Context) error {
	if err := s.server().Shutdown(ctx); err != nil {
		return fmt.Errorf("receiver: stop: %w", err)
	}
	return nil
}

// Open returns the number of calls in progress.
func (s *Receiver) Open() int { return int(s.open.Load()) }

// ServeHTTP implements http.Handler.
func (s *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	defer s.open.Add(-1)
	if s.closes() {
		w.Header().Set("Connection", "close")
	}
	labels := s.Codec.Labels(r.Header)
	c, err := s.accept(w, r, labels)
	if err != nil {
		s.refuse(w, labels.ID, err)
		return
	}
	s.answer(w, r, c)
}

// closes reports whether a planned stop has begun.
func (s *Receiver) closes() bool {
	if s.Closing == nil {
		return false
	}
	_, end := s.Closing()
	return !end.IsZero()
}

// accepted is a call that matched a route.
type accepted struct {
	call  *kingcuphook.Call
	route *kingcuphook.Route
}

// accept reads a call and finds its route and organisation.
func (s *Receiver) accept(w http.ResponseWriter, r *http.Request, labels kingcuphook.CallLabels) (*accepted, error) {
	arrived := time.Now()
	d := s.awaitDirectory(r.Context(), labels.Deadline)
	if d.Tables == nil {
		return nil, errNotReady
	}
	route := d.Tables.MatchHost(r.Host, r.URL.EscapedPath())
	if route == nil {
		return nil, errNoRoute
	}
	var organisation kingcuphook.Organisation
	if d.Tables.HasKeys() && (!route.Public() || labels.Key != "") {
		found, ok := d.Tables.Organisation(labels.Key)
		if !ok && !route.Public() {
			return nil, errNoKey
		}
		organisation = found
	}
	deadline := arrived.Add(allowed(labels, route))
	if s.closes() && !s.finishes(route) {
		return nil, errStopping
	}
	body, err := readBody(w, r, d.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	request := s.newRequest(r, labels, route, organisation, body, arrived, deadline)
	return &accepted{route: route, call: s.newCall(r, route, request, body)}, nil
}

const (
	// knownShare is the share of its time that a call waits for the first tables,
	// which come soon after the start of the process; few callers ask a second time.
	knownShare = 0.2
	// knownLeast and knownMost bound that wait.
	knownLeast = 400 * time.Millisecond
	knownMost  = 3 * time.Second
)

// awaitDirectory returns what is in force, or waits a while for the first tables
// on behalf of a call that may take the given time; 0 means unknown.
func (s *Receiver) awaitDirectory(ctx context.Context, allowed time.Duration) Directory {
	d := s.Directory()
	if d.Tables != nil || s.Known == nil {
		return d
	}
	wait := time.Duration(knownShare * float64(allowed))
	timer := time.NewTimer(min(max(wait, knownLeast), knownMost))
	defer timer.Stop()
	select {
	case <-s.Known:
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.Directory()
}

// finishes reports whether a call of the route that begins now can be expected
// to end before the process does.
func (s *Receiver) finishes(route *kingcuphook.Route) bool {
	streams, end := s.Closing()
	if route.Stream() {
		return time.Now().Before(streams)
	}
	return time.Until(end) > max(route.Timeout(), callTime)
}

// callTime is how long a call of a route without a bound takes at most.
const callTime = time.Second

// allowed returns how long a call may take.
func allowed(l kingcuphook.CallLabels, route *kingcuphook.Route) time.Duration {
	d := defaultDeadline
	if route.Timeout() > 0 {
		d = route.Timeout()
	}
	if l.Deadline > 0 {
		d = min(d, l.Deadline)
	}
	return d
}

func readBody(w http.ResponseWriter, r *http.Request, bound int64) ([]byte, error) {
	if bound <= 0 {
		bound = defaultMaxBody
	}
	limited := http.MaxBytesReader(w, r.Body, bound)
	if r.ContentLength > bound {
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
		return nil, badBody(err)
	}
	return body, nil
}

func (s *Receiver) newRequest(r *http.Request, l kingcuphook.CallLabels, route *kingcuphook.Route, o kingcuphook.Organisation, body []byte, arrived, deadline time.Time) *kingcuphook.Request {
	tier, urgency := rank(o, route)
	f := kingcuphook.RequestFields{
		ID:           l.ID,
		Class:        route.Name(),
		Organisation: o.Name,
		// Upstreams of a pool serve all models; what differs between the requests
		// that wait for it is their route.
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
		Fingerprint:   fingerprint(r, o.Name, body),
		Stream:        route.Stream(),
	}
	if f.ID == "" {
		f.ID = xid.New().String()
	}
	point := float64(xxhash.Sum64String(f.ID)>>11) / (1 << 53)
	f.Pool = route.PoolFor(point)
	return kingcuphook.NewRequest(f)
}

const (
	// routeLevels is how many tiers of routes there are inside one of organisations.
	routeLevels = 3
	// usualTier is that of an organisation that has none.
	usualTier = kingcuphook.HighestTier + 1
)

// rank returns the tier and the urgency of a request. The tier of the organisation
// goes first; among those of equal organisations that of the route decides.
func rank(o kingcuphook.Organisation, route *kingcuphook.Route) (kingcuphook.Tier, int) {
	organisation := o.Tier
	if !organisation.Valid() {
		organisation = usualTier
	}
	urgency := organisation.Index()*routeLevels + min(route.Tier().Index(), routeLevels-1)
	return min(kingcuphook.HighestTier+kingcuphook.Tier(urgency), kingcuphook.LowestTier), urgency
}

// fingerprint returns what a call has in common with its repetitions.
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
	forwarder.StripConnection(header)
	header.Del("Content-Length")
	header.Del("Expect")
	o := &kingcuphook.Opaque{
		Host:        r.Host,
		Header:      header,
		MaxAttempts: route.MaxAttempts(),
		Resumable:   route.Resumable(),
	}
	o.FirstByte, o.Silence = patience(route)
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
	// firstPatience and silencePatience are how many times its target an upstream
	// may take before a call that can be repeated goes elsewhere.
	firstPatience   = 3
	silencePatience = 3
	// leastPatience bounds both from below.
	leastPatience = 400 * time.Millisecond
	// unlimited is for calls that can't be repeated: only their deadline ends them.
	unlimited = time.Hour
)

// patience returns how long an upstream may stay silent before the first piece of
// an answer and between two.
func patience(route *kingcuphook.Route) (first, between time.Duration) {
	if route.NonIdempotent() || route.MaxAttempts() < 2 {
		return unlimited, unlimited
	}
	first = max(firstPatience*route.Target(), leastPatience)
	between = max(silencePatience*route.TokenTarget(), leastPatience)
	return first, between
}
