package dialer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// serveEarly starts an upstream that answers once it has a part of a request and resets the connection
// after a delay, if it is at least 0, or closes it. It counts the requests.
func serveEarly(t *testing.T, text string, resetAfter time.Duration) (u *kingcuphook.Upstream, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests = new(atomic.Int64)
	serve := func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		if _, err := c.Read(make([]byte, 1)); err != nil {
			return
		}
		requests.Add(1)
		_, _ = io.WriteString(c, text)
		if resetAfter >= 0 {
			time.Sleep(resetAfter)
			_ = c.SetLinger(0)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: l.Addr().String(), Kind: kingcuphook.UpstreamKindService}), requests
}

// An answer that came before the end of a long body was lost when the rest could not be written.
func TestAnswerBeforeEndOfBodyIsNotLost(t *testing.T) {
	const runs = 10
	long := strings.Repeat("b", 4<<20)
	whole := strings.Repeat("x", 20<<10)
	for name, want := range map[string]struct {
		text   string
		status int
	}{
		"413":         {response("413 Too Large", "", "large"), http.StatusRequestEntityTooLarge},
		"200":         {response("200 OK", "", whole), http.StatusOK},
		"not started": {response("503 Busy", headerNotStarted+": 1\r\n", "busy"), 0},
	} {
		for _, reset := range []time.Duration{-1, 0, 10 * time.Millisecond, 100 * time.Millisecond} {
			for _, once := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%v/once=%v", name, reset, once), func(t *testing.T) {
					t.Parallel()
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					u, requests := serveEarly(t, want.text, reset)
					for range runs {
						status, err := callLong(ctx, u, long, once)
						if status != want.status || want.status == 0 && !errors.Is(err, kingcuphook.ErrUnavailable) {
							t.Errorf("status %d, want %d: %v", status, want.status, err)
						}
					}
					if n := requests.Load(); n != runs {
						t.Errorf("%d requests were sent %d times", runs, n)
					}
				})
			}
		}
	}
}

// callLong sends a body on a new connection, with once of a request that may run once, and returns the
// status of the answer, or 0.
func callLong(ctx context.Context, u *kingcuphook.Upstream, body string, once bool) (int, error) {
	d := &Dialer{DialTimeout: 5 * time.Second}
	d.Init()
	defer d.Close()
	a, err := d.Call(ctx, u, kingcuphook.NewAttempt(kingcuphook.AttemptFields{
		ID:      "a",
		Request: kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "r", NonIdempotent: once}),
		Method:  http.MethodPost,
		Path:    "/",
		Body:    []byte(body),
	}))
	if err != nil {
		return 0, err
	}
	return a.Status(), nil
}
