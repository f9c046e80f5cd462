// Package transporter makes the HTTP connections to upstreams, and tells of a call
// that failed whether it can have been sent.
package transporter

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	keepAliveProbes    = 3
	maxIdlePerUpstream = 64
	maxResponseHeader  = 64 << 10
)

// Transporter describes connections. Its fields are set before New.
type Transporter struct {
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// IdleTimeout bounds how long a connection is kept without a call.
	IdleTimeout time.Duration
	// KeepAlive is the time between two probes of a connection without traffic.
	KeepAlive time.Duration
	// Fresh opens a connection for each call.
	Fresh bool
	// Dialed is told how long each connection took to open; nil is told nothing. It
	// must be safe for concurrent use.
	Dialed func(took time.Duration)
	// Control sets options of a new connection; nil sets none.
	Control func(network, address string, c syscall.RawConn) error
}

// New returns a transport that makes such connections.
func (t Transporter) New() *http.Transport {
	dial := &net.Dialer{
		Timeout: t.DialTimeout,
		Control: t.Control,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     t.KeepAlive,
			Interval: t.KeepAlive,
			Count:    keepAliveProbes,
		},
	}
	return &http.Transport{
		DialContext:            t.timed(dial.DialContext),
		DisableKeepAlives:      t.Fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        t.IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// dialer opens a connection.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// timed returns a dialer that tells Dialed how long it took.
func (t Transporter) timed(dial dialer) dialer {
	if t.Dialed == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		begun := time.Now()
		c, err := dial(ctx, network, address)
		if err == nil {
			t.Dialed(time.Since(begun))
		}
		return c, err
	}
}

// Send sends a call with do. It reports whether there was a connection to send it
// on: without one, nobody can have got it.
func Send(r *http.Request, do func(*http.Request) (*http.Response, error)) (resp *http.Response, connected bool, err error) {
	var got atomic.Bool
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { got.Store(true) },
	})
	resp, err = do(r.WithContext(ctx))
	return resp, got.Load(), err
}
