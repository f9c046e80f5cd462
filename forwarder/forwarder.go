// Package forwarder sends opaque calls to upstreams over HTTP and returns their
// answers, without interpreting the content of either. It keeps connections open,
// and its errors indicate whether the upstream may have received a call that failed. No
// connection carries a call twice, since the reply to the first one may arrive there again.
package forwarder

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pathfinder"
	"github.com/kingcuphook/kingcuphook/rationer"
	"github.com/kingcuphook/kingcuphook/relayer"
	"github.com/kingcuphook/kingcuphook/transporter"
)

// Defaults and limits of Forwarder.
const (
	defaultDialTimeout = 250 * time.Millisecond
	defaultIdleTimeout = 4 * time.Second
	defaultMaxAnswer   = 8 << 20
	keepAliveInterval  = time.Second
	// userTimeout is the TCP_USER_TIMEOUT of connections to upstreams that carry a call. A
	// sound upstream may be silent for 2.5 s, and the kernel notices that it is back only at
	// its next retransmission, up to 1.5 s later.
	userTimeout = 5 * time.Second
	// idleUserTimeout is that of idle connections.
	idleUserTimeout = 1200 * time.Millisecond
)

// Forwarder implements kingcuphook.Engine for opaque calls. It is safe for
// concurrent use.
type Forwarder struct {
	// Codec sets the request headers and interprets reply headers; it must be set.
	Codec kingcuphook.OpaqueCodec
	// DialTimeout limits how long opening a connection takes; 0 means 250 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept open; 0 means 4 s.
	IdleTimeout time.Duration
	// LocalAddress is the address that connections to upstreams come from; nil means any.
	LocalAddress net.Addr
	// OnDial, if set, is called with the time that each successful dial to an upstream
	// took. It must be safe for concurrent use.
	OnDial func(u *kingcuphook.Upstream, took time.Duration)
	// OnNotice, if set, is called for each reply with the state that the upstream reports
	// in it, and with when the call was sent, before the reply is returned. Replies that
	// belong to another call, or come from another program at the address, are left out.
	// It must be safe for concurrent use.
	OnNotice func(u *kingcuphook.Upstream, n kingcuphook.Notice, sentAt time.Time)
	// MaxAnswerBytes limits the body of an answer that is not streamed; 0 means 8 MiB.
	MaxAnswerBytes int64
	// Memory is the budget for heads, answers that are being read, and events; nil means no limit.
	Memory *rationer.Rationer

	// Paths, if set, decides which upstreams are reached through a peer. Peers and Relayer
	// must then be set as well.
	Paths *pathfinder.Pathfinder
	// Peers returns the peers that may reach an upstream, the best first.
	Peers func(u *kingcuphook.Upstream) []netip.Addr
	// PeerAddress returns the address at which a peer accepts relayed connections.
	PeerAddress func(a netip.Addr) string
	// Relayer opens connections through peers.
	Relayer *relayer.Relayer
	// Owner is the name of this router, which begins the identifiers of relayed connections.
	Owner string
	// ProbePath is the path that probes of an upstream request; any response will do.
	ProbePath string
	// OnRelayed, if set, is called for each attempt that is sent through a peer, with the
	// identifier of the relayed connection. It must be safe for concurrent use.
	OnRelayed func(u *kingcuphook.Upstream, a *kingcuphook.Attempt, peer netip.Addr, connection string)

	// VerifySender, if set, returns an error unless the program that answers with a stream has the
	// software version of its upstream. It must be safe for concurrent use.
	VerifySender func(ctx context.Context, s Sender) error

	// headsRejected counts the heads of answers that were too long.
	headsRejected atomic.Int64

	mu sync.Mutex
	// transports holds one HTTP transport for each path to a running upstream program. A
	// restarted program has a new key and so gets new connections.
	transports map[transportKey]*http.Transport
	// checks are the checks of paths that are running.
	checks map[kingcuphook.Program]*check
	// lost has when a connection to each program was last lost or refused.
	lost map[kingcuphook.Program]time.Time
	// stopped has when a stream was last told to stop to be moved.
	stopped map[stoppedKey]time.Time
	// relayed numbers the relayed connections.
	relayed int
}

// transportKey is a path to a program: through a peer or, if that is the zero address, directly.
type transportKey struct {
	program kingcuphook.Program
	peer    netip.Addr
}

var _ kingcuphook.Engine = (*Forwarder)(nil)

// CloseUnused closes the idle connections to all programs that are not in the tables.
func (f *Forwarder) CloseUnused(t *kingcuphook.Tables) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, transport := range f.transports {
		if !t.Runs(k.program) {
			transport.CloseIdleConnections()
			delete(f.transports, k)
		}
	}
	maps.DeleteFunc(f.lost, func(p kingcuphook.Program, _ time.Time) bool { return !t.Runs(p) })
	if f.Paths != nil {
		f.Paths.Retain(t.Runs)
	}
}

// HeadsRejected returns how many heads of answers were too long.
func (f *Forwarder) HeadsRejected() int64 { return f.headsRejected.Load() }

// Close closes all idle connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, transport := range f.transports {
		transport.CloseIdleConnections()
	}
	f.transports = nil
}

// Start implements kingcuphook.Engine. An answer with a status other than 200 is
// returned as a *kingcuphook.AnswerError; the error also wraps ErrRejected if the
// status is below 500, which means that the call itself is invalid, unless another
// upstream has begun the stream.
func (f *Forwarder) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, h, err := f.send(ctx, u, a) //nolint:bodyclose // the stream closes it
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		err := checkRest(u, a, resp)
		if err == nil {
			err = f.verify(ctx, u, a, h)
		}
		if err != nil {
			cancel()
			_ = resp.Body.Close()
			return nil, err
		}
		s := newStream(resp, a, cancel, f.Memory.OpenAnswer())
		s.broken = func(ctx context.Context, err error) error {
			if errors.Is(err, io.ErrUnexpectedEOF) && !h.peer.IsValid() && f.wasStopped(time.Now(), u, a.Request()) {
				return err
			}
			return f.explain(ctx, u, h.peer, err)
		}
		return s, nil
	}
	defer cancel()
	defer resp.Body.Close()
	answer, err := f.readAnswer(ctx, u, h.peer, resp)
	if err != nil {
		return nil, err
	}
	err = &kingcuphook.AnswerError{Answer: answer}
	if resp.StatusCode < http.StatusInternalServerError && a.ResumeFrom() == 0 {
		err = fmt.Errorf("forwarder: %s: %w: %w", u.Address(), kingcuphook.ErrRejected, err)
	}
	return nil, err
}

// Call implements kingcuphook.Engine.
func (f *Forwarder) Call(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	resp, h, err := f.send(ctx, u, a)
	if err != nil {
		return kingcuphook.Answer{}, err
	}
	defer resp.Body.Close()
	return f.readAnswer(ctx, u, h.peer, resp)
}

// readAnswer reads a complete answer. It returns an error that wraps ErrTooLarge if the answer
// exceeds MaxAnswerBytes, as an endless one does, and ErrOutOfMemory if there is no room for it. A
// success whose connection ended with its head is an error too, since nothing shows that its body
// had no bytes.
func (f *Forwarder) readAnswer(ctx context.Context, u *kingcuphook.Upstream, peer netip.Addr, resp *http.Response) (kingcuphook.Answer, error) {
	memory := f.Memory.OpenAnswer()
	defer memory.Close()
	text, err := transporter.ReadBody(memory, resp, cmp.Or(f.MaxAnswerBytes, defaultMaxAnswer))
	if err != nil {
		return kingcuphook.Answer{}, fmt.Errorf("forwarder: read answer of %s: %w: %w", u.Address(), kingcuphook.ErrOutcomeUnknown, f.explain(ctx, u, peer, err))
	}
	if len(text) == 0 && resp.StatusCode < http.StatusMultipleChoices && transporter.IsCloseDelimited(resp) {
		return kingcuphook.Answer{}, fmt.Errorf("forwarder: connection to %s ended with the head of the answer: %w", u.Address(), kingcuphook.ErrOutcomeUnknown)
	}
	return kingcuphook.NewOpaqueAnswer(resp.StatusCode, endToEndHeaders(resp.Header), text), nil
}

// send sends the attempt and returns the response, whose body is still to be read, and the way
// that it came. Replies that are not an answer to the attempt are returned as
// errors.
func (f *Forwarder) send(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (*http.Response, hop, error) {
	sentAt := time.Now()
	resp, h, err := f.roundTrip(ctx, u, a)
	if err != nil {
		return nil, h, err
	}
	if !transporter.IsFinal(resp) {
		_ = resp.Body.Close()
		return nil, h, fmt.Errorf("forwarder: %s sent status %d, which is no answer: %w", u.Address(), resp.StatusCode, kingcuphook.ErrOutcomeUnknown)
	}
	if err := f.checkReply(u, a, resp, sentAt); err != nil {
		_ = resp.Body.Close()
		if errors.Is(err, kingcuphook.ErrForeignFrame) {
			// The connection of a reply without a body is idle again and would be
			// reused, though more unexpected replies may arrive on it.
			f.transport(u, h.peer).CloseIdleConnections()
		}
		return nil, h, err
	}
	return resp, h, nil
}

// checkReply returns an error for a reply that is not an answer to the attempt. It
// reports the upstream's notice unless the reply belongs to another call or comes from
// another program.
func (f *Forwarder) checkReply(u *kingcuphook.Upstream, a *kingcuphook.Attempt, resp *http.Response, sentAt time.Time) error {
	kind := f.Codec.Decode(a, resp.StatusCode, resp.Header)
	if transporter.IsMerged(resp) {
		kind = kingcuphook.ReplyKindForeign
	}
	if f.OnNotice != nil && kind != kingcuphook.ReplyKindForeign && kind != kingcuphook.ReplyKindMisdirected {
		f.OnNotice(u, f.Codec.Notice(resp.StatusCode, resp.Header), sentAt)
	}
	if kind == kingcuphook.ReplyKindMisdirected && f.Paths != nil {
		f.Paths.Gone(time.Now(), u)
	}
	switch kind {
	case kingcuphook.ReplyKindAnswer:
		return nil
	case kingcuphook.ReplyKindNotRun:
		return fmt.Errorf("forwarder: %s did not run the call, status %d: %w: %w", u.Address(), resp.StatusCode, kingcuphook.ErrUnavailable, kingcuphook.ErrOverloaded)
	case kingcuphook.ReplyKindMisdirected:
		return fmt.Errorf("forwarder: another instance runs at %s: %w: %w", u.Address(), kingcuphook.ErrUnavailable, kingcuphook.ErrMisdirected)
	default:
		return fmt.Errorf("forwarder: %s sent a reply to another call, status %d: %w: %w", u.Address(), resp.StatusCode, kingcuphook.ErrOutcomeUnknown, kingcuphook.ErrForeignFrame)
	}
}

// newRequest builds the HTTP request of an attempt. The transport retries a request
// of which nothing was written to the connection, for which it needs GetBody. It
// retries requests that it considers idempotent even after they were written. Those
// get no GetBody, because only the dispatcher may decide on such a retry.
func (f *Forwarder) newRequest(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) *http.Request {
	header := a.Opaque().Header.Clone()
	f.Codec.Encode(header, u, a, time.Now())
	if header.Get("User-Agent") == "" {
		// An empty value keeps the transport from adding its default.
		header.Set("User-Agent", "")
	}
	r := &http.Request{
		Method:        a.Method(),
		URL:           requestURL(u.Address(), a.Path()),
		Host:          a.Opaque().Host,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(a.Body())),
		ContentLength: int64(len(a.Body())),
	}
	if !retriedAfterWrite(r) {
		r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(a.Body())), nil }
	}
	return r.WithContext(ctx)
}

// retriedAfterWrite reports whether the transport would retry the request after it
// was written, if it could read the body again.
func retriedAfterWrite(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return r.Header.Get("Idempotency-Key") != "" || r.Header.Get("X-Idempotency-Key") != ""
}

// requestURL returns a URL whose path and query are sent as the caller wrote them, if IsSendable
// reports that they can be.
func requestURL(address, path string) *url.URL {
	if !strings.HasPrefix(path, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: path}
	}
	// An opaque part that starts with // would be taken for a host.
	path, query, hasQuery := strings.Cut(path, "?")
	u := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: path, RawQuery: query, ForceQuery: hasQuery}
	if unescaped, err := url.PathUnescape(path); err == nil {
		u.Path = unescaped
	}
	return u
}

// IsSendable reports whether a path with its query can be sent unchanged. A path that begins with
// two slashes can't be if it has bytes that must be escaped.
func IsSendable(path string) bool {
	if !strings.HasPrefix(path, "//") {
		return true
	}
	return requestURL("", path).RequestURI() == path
}

// transport returns the HTTP transport for a path to the running program of an upstream.
func (f *Forwarder) transport(u *kingcuphook.Upstream, peer netip.Addr) *http.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := transportKey{program: u.Program(), peer: peer}
	if t := f.transports[k]; t != nil {
		return t
	}
	if f.transports == nil {
		f.transports = make(map[transportKey]*http.Transport)
	}
	t := f.newTransport(u, peer, false)
	f.transports[k] = t
	return t
}

// newTransport returns a transport to an upstream, through a peer if it is valid. With fresh, it
// opens a connection for each request and keeps none.
func (f *Forwarder) newTransport(u *kingcuphook.Upstream, peer netip.Addr, fresh bool) *http.Transport {
	t := transporter.Transporter{
		DialTimeout:       cmp.Or(f.DialTimeout, defaultDialTimeout),
		IdleTimeout:       cmp.Or(f.IdleTimeout, defaultIdleTimeout),
		KeepAlive:         keepAliveInterval,
		DisableKeepAlives: fresh,
		UserTimeout:       userTimeout,
		IdleUserTimeout:   idleUserTimeout,
		LocalAddress:      f.LocalAddress,
		Memory:            f.Memory,
		HeadsRejected:     &f.headsRejected,
	}
	if f.OnDial != nil {
		t.Dialed = func(took time.Duration) { f.OnDial(u, took) }
	}
	if f.Paths != nil {
		t.Received = func() { f.Paths.Heard(time.Now(), u.Program()) }
	}
	if peer.IsValid() {
		t.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) { return f.dialPeer(ctx, u, peer) }
	}
	return t.New()
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHopHeaders removes the hop-by-hop headers: the standard ones and those
// that the Connection header lists.
func RemoveHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// endToEndHeaders returns the headers of an answer that are passed on. Content-Length
// is left out, since the writer of the body sets it.
func endToEndHeaders(h http.Header) http.Header {
	kept := h.Clone()
	RemoveHopByHopHeaders(kept)
	kept.Del("Content-Length")
	return kept
}
