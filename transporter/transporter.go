// Package transporter configures the HTTP connections to upstreams, reports whether a
// failed request may have been sent, and parses the Retry-After header.
package transporter

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook/rationer"
)

const (
	// keepAliveProbes is how many probes of a connection without a user timeout may get no
	// answer. With one, that decides alone: maxKeepAliveProbes is the most that Linux allows.
	keepAliveProbes    = 3
	maxKeepAliveProbes = 127
	maxIdlePerUpstream = 64
	// maxResponseHeader is the limit of the HTTP transport, which also counts what comes behind the
	// head. The connections keep MaxHeadBytes.
	maxResponseHeader = 2 * MaxHeadBytes
)

// Transporter holds the settings of connections to upstreams. Its fields are set
// before New.
type Transporter struct {
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// KeepAlive is the interval of the TCP keepalive probes of an idle connection.
	KeepAlive time.Duration
	// DisableKeepAlives disables the reuse of connections: each request opens a new one.
	DisableKeepAlives bool
	// Dialed, if set, is called with the time that each new connection took to open.
	// It must be safe for concurrent use.
	Dialed func(took time.Duration)
	// LocalAddress is the address that connections come from; nil means any.
	LocalAddress net.Addr
	// UserTimeout is the TCP_USER_TIMEOUT of a connection while a request uses it, and
	// IdleUserTimeout that while none does; 0 means that of the kernel. It also decides when
	// keepalive probes give up.
	UserTimeout, IdleUserTimeout time.Duration
	// Dial opens the connections instead of the standard dialer, if it is set. The settings of
	// a connection are then its own matter.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Received, if set, is called whenever bytes were received on a connection of the standard
	// dialer. It must be safe for concurrent use.
	Received func()
	// Memory is the budget for the heads of responses; nil means no limit.
	Memory *rationer.Rationer
	// HeadsRejected, if set, counts the heads that exceeded MaxHeadLines or MaxHeadBytes.
	HeadsRejected *atomic.Int64
}

// New returns an HTTP transport with these settings.
func (t Transporter) New() *http.Transport {
	dial := &net.Dialer{
		Timeout:   t.DialTimeout,
		LocalAddr: t.LocalAddress,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     t.KeepAlive,
			Interval: t.KeepAlive,
			Count:    t.keepAliveProbes(),
		},
	}
	open := t.timed(dial.DialContext)
	if t.Dial != nil {
		open = t.Dial
	}
	return &http.Transport{
		DialContext:            t.tracked(open),
		DisableKeepAlives:      t.DisableKeepAlives,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        t.IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// keepAliveProbes returns how many keepalive probes may get no answer.
func (t Transporter) keepAliveProbes() int {
	if t.UserTimeout > 0 {
		return maxKeepAliveProbes
	}
	return keepAliveProbes
}

// dialer opens a connection.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// timed returns a dialer that reports the time of each successful dial to Dialed.
func (t Transporter) timed(dial dialer) dialer {
	if t.Dialed == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		start := time.Now()
		c, err := dial(ctx, network, address)
		if err == nil {
			t.Dialed(time.Since(start))
		}
		return c, err
	}
}

// Send sends a request with do. It reports whether a connection was obtained; without
// one, the request can't have reached the upstream.
func Send(r *http.Request, do func(*http.Request) (*http.Response, error)) (resp *http.Response, connected bool, err error) {
	return SendOn(r, do, nil)
}

// unwrap returns the connection that Transporter.Dial opened, or c.
func unwrap(c net.Conn) net.Conn {
	if b, ok := c.(*boundedConn); ok {
		return b.Conn
	}
	return c
}

// SendOn is Send, which calls obtained, if it is set, with each connection that the request obtains and
// with when that was open at the latest; zero if Transporter did not open it.
// A request obtains a second one if the first was closed before it was sent.
func SendOn(r *http.Request, do func(*http.Request) (*http.Response, error), obtained func(c net.Conn, openedAt time.Time)) (resp *http.Response, connected bool, err error) {
	var used atomic.Pointer[tracker]
	var gotConn atomic.Bool
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			gotConn.Store(true)
			var openedAt time.Time
			c, ok := info.Conn.(tracker)
			if ok {
				openedAt = c.opened()
			}
			if obtained != nil {
				obtained(unwrap(info.Conn), openedAt)
			}
			if ok {
				used.Store(&c)
				c.acquire()
			}
		},
		PutIdleConn: func(error) {
			if c := used.Load(); c != nil {
				(*c).release()
			}
		},
	})
	resp, err = do(r.WithContext(ctx))
	return resp, gotConn.Load(), err
}
