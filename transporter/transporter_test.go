package transporter

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request may be retried on another upstream only if it can't have reached the
// first: Send must report a connection that broke after the request was sent, and none
// if the connection was refused.
func TestSendReportsConnection(t *testing.T) {
	is := is.New(t)
	transport := Transporter{DialTimeout: time.Second, IdleTimeout: time.Second, KeepAlive: time.Second}.New()
	defer transport.CloseIdleConnections()
	send := func(address string) (bool, error) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
		is.NoErr(err)
		resp, connected, err := Send(r, transport.RoundTrip)
		if err == nil {
			resp.Body.Close()
		}
		return connected, err
	}
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	connected, err := send(broken.Listener.Addr().String())
	is.True(err != nil)
	is.True(connected) // the request was sent and may have been processed

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	connected, err = send(closed.Addr().String())
	is.True(err != nil)
	is.True(!connected) // the request was not sent
}

// DisableKeepAlives must open a new connection for each request; without it, requests
// reuse one.
func TestDisableKeepAlives(t *testing.T) {
	is := is.New(t)
	for _, fresh := range []bool{false, true} {
		addresses := make(map[string]bool)
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { addresses[r.RemoteAddr] = true }))
		transport := Transporter{DialTimeout: time.Second, IdleTimeout: time.Second, KeepAlive: time.Second, DisableKeepAlives: fresh}.New()
		for range 2 {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
			is.NoErr(err)
			resp, _, err := Send(r, transport.RoundTrip)
			is.NoErr(err)
			resp.Body.Close()
		}
		transport.CloseIdleConnections()
		server.Close()
		is.Equal(len(addresses) == 2, fresh)
	}
}
