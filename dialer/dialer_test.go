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

func start(t *testing.T, h http.Handler, kind kingcuphook.UpstreamKind) (*Dialer, *kingcuphook.Upstream) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	d := &Dialer{}
	d.Connect()
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

// readAll returns the text and the kind of the last frame.
func readAll(s kingcuphook.Stream) (string, kingcuphook.FrameKind, error) {
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

func TestStreamIsWhole(t *testing.T) {
	is := is.New(t)
	d, u := start(t, &responder.Upstream{StepTime: time.Millisecond}, kingcuphook.UpstreamKindEngine)
	a := attempt(`{"messages":[]}`)
	s, err := d.Start(context.Background(), u, a)
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	text, kind, err := readAll(s)
	is.NoErr(err)
	is.Equal(kind, kingcuphook.FrameKindEnd)
	is.Equal(text, responder.AnswerText(a.Body()))
}

func TestCrashBreaksTheStream(t *testing.T) {
	is := is.New(t)
	d, u := start(t, &responder.Upstream{StepTime: time.Millisecond}, kingcuphook.UpstreamKindEngine)
	s, err := d.Start(context.Background(), u, attempt(responder.MarkCrash))
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	_, _, err = readAll(s)
	is.True(errors.Is(err, kingcuphook.ErrBrokenStream))
}

func TestRefusedConnectionHasNotBegun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l.Close()
	d := &Dialer{}
	d.Connect()
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: l.Addr().String()})
	_, err = d.Start(context.Background(), u, attempt("{}"))
	is.True(errors.Is(err, kingcuphook.ErrUnavailable))
}

// TestNonIdempotentIsSentOnce breaks a kept connection under a request with an
// idempotency key and no body, which the HTTP transport would send again.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	d, u := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
			Request: kingcuphook.NewRequest(kingcuphook.RequestFields{Key: "k", NonIdempotent: true}),
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

// TestErrorOfAnEngineIsNoCrash keeps an engine that answers with an error apart
// from one that crashes.
func TestErrorOfAnEngineIsNoCrash(t *testing.T) {
	is := is.New(t)
	d, u := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}), kingcuphook.UpstreamKindEngine)
	_, err := d.Start(context.Background(), u, attempt("{}"))
	is.True(errors.Is(err, kingcuphook.ErrUpstreamAnswered))
	is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown))
	is.True(!errors.Is(err, kingcuphook.ErrRejected))
}

func TestRejectionBlamesTheRequest(t *testing.T) {
	is := is.New(t)
	for status, rejected := range map[int]bool{400: true, 413: true, 408: false, 429: false, 503: false} {
		d, u := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
		}), kingcuphook.UpstreamKindEngine)
		_, err := d.Start(context.Background(), u, attempt("{}"))
		is.Equal(errors.Is(err, kingcuphook.ErrRejected), rejected)
	}
}

func TestRefusalSaysNotStarted(t *testing.T) {
	is := is.New(t)
	d, u := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(responder.HeaderNotStarted, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}), kingcuphook.UpstreamKindEngine)
	_, err := d.Start(context.Background(), u, attempt("{}"))
	is.True(errors.Is(err, kingcuphook.ErrUnavailable))
}
