package transporter

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// A connection in use must survive a silence of its peer that ends an idle one.
func TestUserTimeoutDependsOnUse(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
	defer server.Close()
	settings := Transporter{DialTimeout: time.Second, IdleTimeout: time.Minute, KeepAlive: time.Second, UserTimeout: 5 * time.Second, IdleUserTimeout: time.Second}
	var opened []*conn
	transport := settings.New()
	defer transport.CloseIdleConnections()
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err == nil {
			opened = append(opened, c.(*conn))
		}
		return c, err
	}
	for range 3 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		is.NoErr(err)
		resp, _, err := Send(r, transport.RoundTrip)
		is.NoErr(err)
		is.Equal(userTimeout(t, opened[0]), 5*time.Second)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		for until := time.Now().Add(5 * time.Second); userTimeout(t, opened[0]) != time.Second; time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(until)) // the idle connection must get its timeout
		}
	}
	is.Equal(len(opened), 1)
}

// Three keepalive probes ended calls on connections that were silent twice within 4 s.
func TestKeepAliveEndsNoConnectionBeforeUserTimeout(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	for _, timeout := range []time.Duration{5 * time.Second, 20 * time.Second} {
		settings := Transporter{DialTimeout: time.Second, KeepAlive: time.Second, UserTimeout: timeout, IdleUserTimeout: time.Second}
		opened, err := settings.New().DialContext(t.Context(), "tcp", server.Listener.Addr().String())
		is.NoErr(err)
		probes := option(t, opened.(*conn), unix.TCP_KEEPCNT)
		is.True(time.Duration(probes)*settings.KeepAlive > timeout)
		is.NoErr(opened.Close())
	}
}

// userTimeout returns the user timeout of a connection.
func userTimeout(t *testing.T, c *conn) time.Duration {
	t.Helper()
	return time.Duration(option(t, c, unix.TCP_USER_TIMEOUT)) * time.Millisecond
}

// option returns the value of a TCP option of a connection.
func option(t *testing.T, c *conn, name int) int {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var value int
	if err := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); err != nil {
		t.Fatal(err)
	}
	return value
}
