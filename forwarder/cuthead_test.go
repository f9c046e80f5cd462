package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// cutEnds are the ways in which a connection ends after a head that is cut. In a silence, the caller
// gives up.
var cutEnds = map[string]func(c net.Conn, giveUp func()){
	"close": func(net.Conn, func()) {},
	"reset": func(c net.Conn, _ func()) { _ = c.(*net.TCPConn).SetLinger(0) },
	"silence": func(c net.Conn, giveUp func()) {
		time.Sleep(10 * time.Millisecond)
		giveUp()
		_, _ = c.Read(make([]byte, 1)) // until the router closes the connection
	},
}

// cutHeads are heads of responses with a body of some bytes.
var cutHeads = map[string]string{
	"length":          "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 12\r\n\r\n",
	"chunks":          "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"no length":       "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nConnection: close\r\n\r\n",
	"1.0 length":      "HTTP/1.0 200 OK\r\nX-Stamp: s\r\nContent-Length: 12\r\n\r\n",
	"1.0 no length":   "HTTP/1.0 200 OK\r\nX-Stamp: s\r\n\r\n",
	"1.0 no reason":   "HTTP/1.0 200\r\nX-Stamp: s\r\n\r\n",
	"1.0 kept":        "HTTP/1.0 200 OK\r\nX-Stamp: s\r\nConnection: keep-alive\r\n\r\n",
	"early hints":     "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\n",
	"bare line feeds": "HTTP/1.0 200 OK\nX-Stamp: s\n\n",
}

// runCut runs a call whose upstream sends the first n bytes of the head, over a connection that had
// another one before if kept is set. It returns how often the call was sent and its error.
func runCut(t *testing.T, head string, n int, end func(net.Conn, func()), kept, stream bool) (sent int, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	u := newUpstream(t, func(i int64, c net.Conn) bool {
		if kept && i == 1 {
			fmt.Fprint(c, reply("", "first"))
			return true
		}
		fmt.Fprint(c, head[:n])
		end(c, cancel)
		return false
	})
	f := &Forwarder{Codec: codec{}, DialTimeout: 5 * time.Second}
	defer f.Close()
	before := 0
	if kept {
		before = 1
		if _, err := f.Call(t.Context(), u.entry, attempt("POST", "/", "")); err != nil {
			t.Fatal(err)
		}
	}
	if !stream {
		_, err = f.Call(ctx, u.entry, attempt("POST", "/", "body"))
		return int(u.requests.Load()) - before, err
	}
	s, err := f.Start(ctx, u.entry, attempt("POST", "/", "body"))
	if err == nil {
		defer func() { _ = s.Close() }()
		_, err = s.Next(ctx)
	}
	return int(u.requests.Load()) - before, err
}

// A response whose head was cut, or that ended with it, was taken for a whole one without a body.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for name, head := range cutHeads {
		for endName, end := range cutEnds {
			for _, kept := range []bool{false, true} {
				for _, stream := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s/kept=%v/stream=%v", name, endName, kept, stream), func(t *testing.T) {
						t.Parallel()
						for n := range len(head) + 1 {
							sent, err := runCut(t, head, n, end, kept, stream)
							isUnknown := errors.Is(err, kingcuphook.ErrOutcomeUnknown) || errors.Is(err, kingcuphook.ErrBrokenStream) || errors.Is(err, context.Canceled)
							if !isUnknown || errors.Is(err, kingcuphook.ErrUnavailable) || sent != 1 {
								t.Errorf("%q: sent %d times: %v", head[:n], sent, err)
							}
						}
					})
				}
			}
		}
	}
}

// Answers that have no body must not count as cut.
func TestAnswerWithoutBodyIsWhole(t *testing.T) {
	for name, test := range map[string]struct{ method, reply string }{
		"length 0":    {http.MethodPost, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
		"no chunk":    {http.MethodPost, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		"no content":  {http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n"},
		"not changed": {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n\r\n"},
		"HEAD":        {http.MethodHead, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"},
		"HEAD 1.0":    {http.MethodHead, "HTTP/1.0 200 OK\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(_ int64, c net.Conn) bool {
				fmt.Fprint(c, test.reply)
				return false
			})
			f := &Forwarder{Codec: codec{}, DialTimeout: 5 * time.Second}
			defer f.Close()
			a, err := f.Call(t.Context(), u.entry, attempt(test.method, "/", ""))
			if err != nil || len(a.Body()) != 0 || !strings.Contains(test.reply, fmt.Sprint(a.Status())) {
				t.Errorf("status %d with %d bytes, %v", a.Status(), len(a.Body()), err)
			}
		})
	}
}
