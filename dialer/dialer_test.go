package dialer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/responder"
)

// startUpstream serves h and returns it as an upstream of the given kind, with a
// Dialer to call it.
func startUpstream(t *testing.T, h http.Handler, kind kingcuphook.UpstreamKind) (*Dialer, *kingcuphook.Upstream) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	d := &Dialer{}
	d.Init()
	t.Cleanup(d.Close)
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: srv.Listener.Addr().String(), Kind: kind})
	return d, u
}

func attempt(body string) *kingcuphook.Attempt {
	return kingcuphook.NewAttempt(kingcuphook.AttemptFields{
		ID:      "a1",
		Request: kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "r1"}),
		Method:  http.MethodPost,
		Path:    responder.PathChat,
		Body:    []byte(body),
	})
}

// readStream reads a stream to its end or an error. It returns the text of its data
// frames, and FrameKindEnd if the end frame was read.
func readStream(s kingcuphook.Stream) (string, kingcuphook.FrameKind, error) {
	var text strings.Builder
	for {
		f, err := s.Next(context.Background())
		if err != nil {
			return text.String(), "", err
		}
		switch f.Kind() {
		case kingcuphook.FrameKindData:
			text.WriteString(f.Text())
		case kingcuphook.FrameKindEnd:
			return text.String(), f.Kind(), nil
		}
	}
}

func TestCompleteStream(t *testing.T) {
	is := is.New(t)
	d, u := startUpstream(t, &responder.Upstream{StepTime: time.Millisecond}, kingcuphook.UpstreamKindEngine)
	a := attempt(`{"messages":[]}`)
	s, err := d.Start(context.Background(), u, a)
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	text, kind, err := readStream(s)
	is.NoErr(err)
	is.Equal(kind, kingcuphook.FrameKindEnd)
	is.Equal(text, responder.AnswerText(a.Body()))
}

func TestCrashBreaksStream(t *testing.T) {
	is := is.New(t)
	d, u := startUpstream(t, &responder.Upstream{StepTime: time.Millisecond}, kingcuphook.UpstreamKindEngine)
	s, err := d.Start(context.Background(), u, attempt(responder.MarkCrash))
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	_, _, err = readStream(s)
	is.True(errors.Is(err, kingcuphook.ErrBrokenStream))
}

// TestRefusedConnectionIsUnavailable checks that a refused connection is reported as
// ErrUnavailable, since the attempt can't have started.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l.Close()
	d := &Dialer{}
	d.Init()
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: l.Addr().String()})
	_, err = d.Start(context.Background(), u, attempt("{}"))
	is.True(errors.Is(err, kingcuphook.ErrUnavailable))
}

// A dispatch that was refused its connection is paid for by the retry budget, and counts as an attempt.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	d := &Dialer{}
	d.Init()
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: l.Addr().String()})
	_, err = d.Start(t.Context(), u, attempt("{}"))
	is.True(errors.Is(err, kingcuphook.ErrNotSent))
}

// TestNonIdempotentIsSentOnce closes the connection under a non-idempotent request
// with an idempotency key and no body. On a reused connection, the HTTP transport
// would send such a request again.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	d, u := startUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			return
		}
		runs.Add(1)
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			c.Close()
		}
	}), kingcuphook.UpstreamKindService)
	call := func(path string) error {
		a := kingcuphook.NewAttempt(kingcuphook.AttemptFields{
			Request: kingcuphook.NewRequest(kingcuphook.RequestFields{IdempotencyKey: "k", NonIdempotent: true}),
			Method:  http.MethodGet,
			Path:    path,
		})
		_, err := d.Call(context.Background(), u, a)
		return err
	}
	is.NoErr(call("/warm"))
	is.True(errors.Is(call("/redeem"), kingcuphook.ErrOutcomeUnknown))
	is.Equal(runs.Load(), int64(1))
}

// TestEngineErrorIsNotCrash checks that ErrUpstreamAnswered distinguishes an engine's
// error response from a crash.
func TestEngineErrorIsNotCrash(t *testing.T) {
	is := is.New(t)
	d, u := startUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}), kingcuphook.UpstreamKindEngine)
	_, err := d.Start(context.Background(), u, attempt("{}"))
	is.True(errors.Is(err, kingcuphook.ErrUpstreamAnswered))
	is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown))
	is.True(!errors.Is(err, kingcuphook.ErrRejected))
}

// TestRejectedStatuses checks which statuses of an engine mean that the request is
// invalid; after the others, a retry may succeed.
func TestRejectedStatuses(t *testing.T) {
	is := is.New(t)
	for status, rejected := range map[int]bool{400: true, 413: true, 408: false, 429: false, 503: false} {
		d, u := startUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
		}), kingcuphook.UpstreamKindEngine)
		_, err := d.Start(context.Background(), u, attempt("{}"))
		is.Equal(errors.Is(err, kingcuphook.ErrRejected), rejected)
	}
}

// TestNotStartedIsUnavailable checks that a response with X-Not-Started is reported
// as ErrUnavailable, so that the request may be sent elsewhere.
func TestNotStartedIsUnavailable(t *testing.T) {
	is := is.New(t)
	d, u := startUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(responder.HeaderNotStarted, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}), kingcuphook.UpstreamKindEngine)
	_, err := d.Start(context.Background(), u, attempt("{}"))
	is.True(errors.Is(err, kingcuphook.ErrUnavailable))
}
