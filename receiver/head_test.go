package receiver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/listener"
	"github.com/kingcuphook/kingcuphook/rationer"
)

// run serves the Receiver on a listener of its own and returns its address.
func (r *harness) run(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.NoErr(err)
	r.serve(t, l)
	return l.Addr().String()
}

// serve runs the receiver on l until the test ends.
func (r *harness) serve(t *testing.T, l net.Listener) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- r.Run(l) }()
	t.Cleanup(func() {
		r.NoErr(r.Stop(context.Background()))
		r.NoErr(<-ended)
	})
}

// exchange sends text on a new connection and returns the response.
func exchange(t *testing.T, address, text string) reply {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = conn.Write([]byte(text))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return reply{StatusCode: resp.StatusCode, Header: resp.Header}
}

const headStart = "POST /plain/ HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\n"

func headerLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// Heads of many short lines once took several times their length while they were read.
func TestHeadsDoNotExceedBudget(t *testing.T) {
	r := newHarness(t, respondWith(http.StatusOK, "done"))
	r.Memory = &rationer.Rationer{Bytes: 900 * 1024}
	address := r.run(t)
	unfinished := headStart + headerLines(900)
	headBytes := rationer.LinesBytes(int64(strings.Count(unfinished, "\n"))) + int64(len(unfinished)) - listener.FreeHeadBytes
	held := make([]net.Conn, 0, 2)
	for range 2 {
		conn, err := net.Dial("tcp", address)
		r.NoErr(err)
		_, err = conn.Write([]byte(unfinished))
		r.NoErr(err)
		held = append(held, conn)
	}
	waitUntil(t, func() bool { return r.Memory.Usage().Held == 2*(headBytes+listener.ConnectionBytes) })
	resp := exchange(t, address, unfinished)
	r.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	r.True(resp.Header.Get("Retry-After") != "")
	r.Equal(exchange(t, address, headStart+"Content-Length: 2\r\n\r\nok").StatusCode, http.StatusOK)
	for _, conn := range held {
		r.NoErr(conn.Close())
	}
	waitUntil(t, func() bool { return r.Memory.Usage().Held == 0 })
	r.Equal(exchange(t, address, headStart+headerLines(900)+"Content-Length: 2\r\n\r\nok").StatusCode, http.StatusOK)
	r.Equal(exchange(t, address, headStart+headerLines(listener.MaxLines)).StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	lines := headStart + "Content-Length: 100\r\n\r\n" + strings.Repeat("\n", 100)
	r.Equal(exchange(t, address, lines).StatusCode, http.StatusOK)
	r.True(r.Memory.Usage().Peak <= r.Memory.Bytes)
}

// Connections of many callers once left too little of the memory for their bodies.
func TestConnectionsDrawOnBudget(t *testing.T) {
	r := newHarness(t, respondWith(http.StatusOK, "done"))
	r.Memory = &rationer.Rationer{Bytes: 14 * listener.ConnectionBytes} // connections may use 3/4 of it
	address := r.run(t)
	held := make([]net.Conn, 0, 10)
	for range cap(held) {
		conn, err := net.Dial("tcp", address)
		r.NoErr(err)
		held = append(held, conn)
	}
	waitUntil(t, func() bool { return r.Memory.Usage().Held == 10*listener.ConnectionBytes })
	resp := exchange(t, address, headStart+"Content-Length: 2\r\n\r\nok")
	r.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	r.True(resp.Header.Get("Retry-After") != "")
	for _, conn := range held { // there is room for calls on the connections
		_, err := conn.Write([]byte(headStart + "Content-Length: 2\r\n\r\nok"))
		r.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		r.NoErr(err)
		r.NoErr(resp.Body.Close())
		r.Equal(resp.StatusCode, http.StatusOK)
		r.NoErr(conn.Close())
	}
	waitUntil(t, func() bool { return r.Memory.Usage().Held == 0 })
	r.Equal(exchange(t, address, headStart+"Content-Length: 2\r\n\r\nok").StatusCode, http.StatusOK)
}

// The operators' limits of heads were not followed.
func TestHeadsFollowDeclaredLimits(t *testing.T) {
	r := newHarness(t, respondWith(http.StatusOK, "done"))
	current := Directory{Tables: tables()}
	var mu sync.Mutex
	r.Directory = func() Directory {
		mu.Lock()
		defer mu.Unlock()
		return current
	}
	address := r.run(t)
	declare := func(limits kingcuphook.HeadLimits) {
		mu.Lock()
		defer mu.Unlock()
		current.HeadLimits = limits
	}
	long := headStart + "X-Long: " + strings.Repeat("x", 80<<10) + "\r\nContent-Length: 2\r\n\r\nok"
	r.Equal(exchange(t, address, long).StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	declare(kingcuphook.HeadLimits{Bytes: 100 << 10})
	r.Equal(exchange(t, address, long).StatusCode, http.StatusOK)
	declare(kingcuphook.HeadLimits{Bytes: 1 << 10})
	r.Equal(exchange(t, address, headStart+"X-Long: "+strings.Repeat("x", 8<<10)).StatusCode, http.StatusRequestHeaderFieldsTooLarge)

	declare(kingcuphook.HeadLimits{Timeout: 50 * time.Millisecond})
	r.Equal(exchange(t, address, headStart).StatusCode, http.StatusRequestTimeout)
	conn, err := net.Dial("tcp", address)
	r.NoErr(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, rest := range []string{"\r\n", "\r\n", ""} { // a connection may be idle for longer
		_, err := conn.Write([]byte(headStart + "Content-Length: 0\r\n" + rest))
		r.NoErr(err)
		resp, err := http.ReadResponse(reader, nil)
		r.NoErr(err)
		_, _ = io.Copy(io.Discard, resp.Body)
		r.NoErr(resp.Body.Close())
		r.Equal(resp.StatusCode == http.StatusOK, rest != "")
		time.Sleep(100 * time.Millisecond)
	}
}
