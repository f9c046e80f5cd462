package dialer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
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

// runCut runs an attempt whose upstream sends the first n bytes of the head, over a connection that
// had another one before if kept is set. It returns how often it was sent and its error.
func runCut(t *testing.T, head string, n int, end func(net.Conn, func()), kept, stream bool) (sent int, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var count atomic.Int64
	serve := func(c net.Conn) {
		defer c.Close()
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if req.Header.Get(headerAttempt) == "a1" {
				fmt.Fprint(c, response("200 OK", "", "first"))
				continue
			}
			count.Add(1)
			fmt.Fprint(c, head[:n])
			end(c, cancel)
			return
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	kind := kingcuphook.UpstreamKindService
	if stream {
		kind = kingcuphook.UpstreamKindEngine
	}
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: l.Addr().String(), Kind: kind})
	d := &Dialer{DialTimeout: 5 * time.Second}
	d.Init()
	defer d.Close()
	if kept {
		if _, err := d.Call(t.Context(), u, numbered(1)); err != nil {
			t.Fatal(err)
		}
	}
	if !stream {
		_, err = d.Call(ctx, u, numbered(2))
		return int(count.Load()), err
	}
	s, err := d.Start(ctx, u, numbered(2))
	if err == nil {
		defer func() { _ = s.Close() }()
		_, err = s.Next(ctx)
	}
	return int(count.Load()), err
}

// A response whose head was cut, or that ended with it, was taken for a whole one without a body.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n",
		"chunks":        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no length":     "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
		"1.0 no length": "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n",
	} {
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
