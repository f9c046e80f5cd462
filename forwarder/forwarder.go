// Package forwarder runs opaque calls on upstreams over HTTP: the call goes out
// and the answer comes back as they are. It keeps connections open and knows of
// each failure whether the upstream can have got the call.
package forwarder

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/transporter"
)

// Defaults and bounds of Forwarder.
const (
	defaultDialTimeout = 250 * time.Millisecond
	defaultIdleTimeout = 4 * time.Second
	defaultMaxAnswer   = 8 << 20
	defaultMaxBuffered = 16 << 20
	// freeAnswer is the part of an answer that needs no share of the memory for
	// answers: large ones can't take it from small ones.
	freeAnswer = 16 << 10
	// firstChunk and nextChunk are the sizes of the pieces of memory that an answer is
	// read into.
	firstChunk        = 1 << 10
	nextChunk         = 16 << 10
	keepAliveInterval = time.Second
	unacknowledged    = 1200 * time.Millisecond
)

// Forwarder implements kingcuphook.Engine. It is safe for concurrent use.
type Forwarder struct {
	// Codec writes calls and reads replies; never nil.
	Codec kingcuphook.OpaqueCodec
	// DialTimeout bounds opening a connection; 0 means 250 ms.
	DialTimeout time.Duration
	// IdleTimeout bounds how long a connection is kept without a call; 0 means
	// 4 s.
	IdleTimeout time.Duration
	// Dialed is told how long each connection to an upstream took to open; nil is told
	// nothing. It must be safe for concurrent use.
	Dialed func(u *kingcuphook.Upstream, took time.Duration)
	// Noticed is told what an upstream says of itself with a reply to a call of its
	// own, before that reply is passed on; nil is told nothing. It must be safe for
	// concurrent use.
	Noticed func(u *kingcuphook.Upstream, n kingcuphook.Notice)
	// MaxAnswerBytes bounds an answer that is kept in memory; 0 means 8 MiB.
	MaxAnswerBytes int64

	// MaxBufferedBytes bounds the answers in memory together, but for the first
	// 16 KiB of each; 0 means 16 MiB.
	MaxBufferedBytes int64

	// buffered is how much of it is taken.
	buffered atomic.Int64

	mu sync.Mutex
	// transports has the connections to each running program.
	transports map[kingcuphook.Program]*http.Transport
}

var _ kingcuphook.Engine = (*Forwarder)(nil)

// Keep closes the idle connections to all programs but those of the tables.
func (f *Forwarder) Keep(t *kingcuphook.Tables) {
	wanted := make(map[kingcuphook.Program]bool)
	for _, p := range t.Pools() {
		for _, u := range p.Upstreams() {
			wanted[u.Program()] = true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for p, transport := range f.transports {
		if !wanted[p] {
			transport.CloseIdleConnections()
			delete(f.transports, p)
		}
	}
}

// Close closes all idle connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, transport := range f.transports {
		transport.CloseIdleConnections()
	}
	f.transports = nil
}

// Start implements kingcuphook.Engine. An answer that is no stream is returned
// as a *kingcuphook.AnswerError, which wraps ErrRejected where the upstream
// blames the call.
func (f *Forwarder) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := f.send(ctx, u, a) //nolint:bodyclose // the stream closes it
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return newStream(resp, a, cancel), nil
	}
	defer cancel()
	defer resp.Body.Close()
	answer, err := f.readAnswer(u, resp)
	if err != nil {
		return nil, err
	}
	err = &kingcuphook.AnswerError{Answer: answer}
	if resp.StatusCode < http.StatusInternalServerError {
		err = fmt.Errorf("forwarder: %s: %w: %w", u.Address(), kingcuphook.ErrRejected, err)
	}
	return nil, err
}

// Call implements kingcuphook.Engine.
func (f *Forwarder) Call(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	resp, err := f.send(ctx, u, a)
	if err != nil {
		return kingcuphook.Answer{}, err
	}
	defer resp.Body.Close()
	return f.readAnswer(u, resp)
}

// readAnswer reads an answer whole. One that is larger than there is memory for, or
// has no end, is given up.
func (f *Forwarder) readAnswer(u *kingcuphook.Upstream, resp *http.Response) (kingcuphook.Answer, error) {
	limit := cmp.Or(f.MaxAnswerBytes, defaultMaxAnswer)
	body := bounded{r: io.LimitReader(resp.Body, limit+1), taken: &f.buffered, most: cmp.Or(f.MaxBufferedBytes, defaultMaxBuffered)}
	defer body.release()
	text, err := readAll(&body)
	if err != nil {
		return kingcuphook.Answer{}, fmt.Errorf("forwarder: read answer of %s: %w: %w", u.Address(), kingcuphook.ErrOutcomeUnknown, err)
	}
	if int64(len(text)) > limit {
		return kingcuphook.Answer{}, fmt.Errorf("forwarder: answer of %s over %d bytes: %w: %w", u.Address(), limit, kingcuphook.ErrTooLarge, kingcuphook.ErrOutcomeUnknown)
	}
	return kingcuphook.NewOpaqueAnswer(resp.StatusCode, endToEnd(resp.Header), text), nil
}

// readAll reads to the end. It takes memory piece by piece and copies what it has once,
// so that an answer without end leaves little garbage behind.
func readAll(r io.Reader) ([]byte, error) {
	chunks := [][]byte{make([]byte, 0, firstChunk)}
	for {
		last := &chunks[len(chunks)-1]
		if len(*last) == cap(*last) {
			chunks = append(chunks, make([]byte, 0, nextChunk))
			continue
		}
		n, err := r.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		if err == io.EOF { //nolint:errorlint // a wrapped one is no end
			return slices.Concat(chunks...), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// bounded reads an answer as long as there is memory for it.
type bounded struct {
	r io.Reader
	// taken is how much memory all answers have taken, most its bound.
	taken *atomic.Int64
	most  int64
	// read is what was read here, own what of it counts in taken.
	read, own int64
}

// Read implements io.Reader. The error wraps ErrTooLarge if there is no memory.
func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.read += int64(n)
	if more := b.read - freeAnswer - b.own; more > 0 {
		b.own += more
		if b.taken.Add(more) > b.most {
			return n, fmt.Errorf("no memory for %d bytes of an answer: %w", b.read, kingcuphook.ErrTooLarge)
		}
	}
	return n, err
}

func (b *bounded) release() { b.taken.Add(-b.own) }

// send sends the attempt and returns the head of the answer to it.
func (f *Forwarder) send(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (*http.Response, error) {
	resp, connected, err := transporter.Send(f.newRequest(ctx, u, a), f.transport(u).RoundTrip)
	if err != nil && !connected {
		return nil, fmt.Errorf("forwarder: %s: %w: %w: %w", u.Address(), kingcuphook.ErrUnavailable, kingcuphook.ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("forwarder: %s: %w: %w", u.Address(), kingcuphook.ErrOutcomeUnknown, err)
	}
	if err := f.judge(u, a, resp); err != nil {
		_ = resp.Body.Close()
		if errors.Is(err, kingcuphook.ErrForeignFrame) {
			// A reply without a body has left its connection to the next call, though
			// more replies that nobody waits for may come there.
			f.transport(u).CloseIdleConnections()
		}
		return nil, err
	}
	return resp, nil
}

// judge returns an error for a reply that is no answer to the attempt.
func (f *Forwarder) judge(u *kingcuphook.Upstream, a *kingcuphook.Attempt, resp *http.Response) error {
	kind := f.Codec.Decode(a, resp.StatusCode, resp.Header)
	if kind != kingcuphook.ReplyKindForeign {
		f.notice(u, resp)
	}
	switch kind {
	case kingcuphook.ReplyKindAnswer:
		return nil
	case kingcuphook.ReplyKindNotRun:
		return fmt.Errorf("forwarder: %s did not run the call, status %d: %w: %w", u.Address(), resp.StatusCode, kingcuphook.ErrUnavailable, kingcuphook.ErrOverloaded)
	case kingcuphook.ReplyKindMisdirected:
		return fmt.Errorf("forwarder: another instance has %s: %w: %w", u.Address(), kingcuphook.ErrUnavailable, kingcuphook.ErrMisdirected)
	default:
		return fmt.Errorf("forwarder: %s replied with status %d of another call: %w: %w", u.Address(), resp.StatusCode, kingcuphook.ErrOutcomeUnknown, kingcuphook.ErrForeignFrame)
	}
}

// notice tells what the upstream says of itself.
func (f *Forwarder) notice(u *kingcuphook.Upstream, resp *http.Response) {
	if f.Noticed == nil {
		return
	}
	if n := f.Codec.Notice(resp.StatusCode, resp.Header); n != (kingcuphook.Notice{}) {
		f.Noticed(u, n)
	}
}

// newRequest builds the HTTP request of an attempt. The transport repeats a call
// of which nothing was written, for which it must be able to read the body again.
// It would repeat some calls also after they were written: their body can't be
// read again, since every such repetition is a decision of the dispatcher.
func (f *Forwarder) newRequest(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) *http.Request {
	header := a.Opaque().Header.Clone()
	f.Codec.Encode(header, u, a, time.Now())
	if header.Get("User-Agent") == "" {
		// An empty value keeps the transport from adding its own.
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
	if !repeatable(r) {
		r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(a.Body())), nil }
	}
	return r.WithContext(ctx)
}

// repeatable reports whether the transport would repeat the request after it was
// written, if it could read the body again.
func repeatable(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return r.Header.Get("Idempotency-Key") != "" || r.Header.Get("X-Idempotency-Key") != ""
}

// requestURL returns a URL that is written as the caller wrote it.
func requestURL(address, path string) *url.URL {
	if strings.HasPrefix(path, "//") {
		// An opaque part of this form would be taken for a host.
		path, query, _ := strings.Cut(path, "?")
		return &url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query}
	}
	return &url.URL{Scheme: "http", Host: address, Opaque: path}
}

// transport returns the connections to the running program of an upstream.
func (f *Forwarder) transport(u *kingcuphook.Upstream) *http.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := u.Program()
	if t := f.transports[p]; t != nil {
		return t
	}
	if f.transports == nil {
		f.transports = make(map[kingcuphook.Program]*http.Transport)
	}
	t := f.newTransport(u)
	f.transports[p] = t
	return t
}

func (f *Forwarder) newTransport(u *kingcuphook.Upstream) *http.Transport {
	t := transporter.Transporter{
		DialTimeout: cmp.Or(f.DialTimeout, defaultDialTimeout),
		IdleTimeout: cmp.Or(f.IdleTimeout, defaultIdleTimeout),
		KeepAlive:   keepAliveInterval,
		Control:     limitUnacknowledged,
	}
	if f.Dialed != nil {
		t.Dialed = func(took time.Duration) { f.Dialed(u, took) }
	}
	return t.New()
}

// limitUnacknowledged ends a connection whose other side no longer acknowledges
// what is sent, so that the death of a VM is seen.
func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// perConnection are the headers that concern one connection only.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripConnection removes the headers that concern one connection only.
func StripConnection(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range perConnection {
		h.Del(name)
	}
}

// endToEnd returns the headers of an answer that are passed on. The length of
// the body is told by who writes it.
func endToEnd(h http.Header) http.Header {
	kept := h.Clone()
	StripConnection(kept)
	kept.Del("Content-Length")
	return kept
}
