package transporter

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection to an upstream whose user timeout depends on whether a request uses
// it. An idle connection that is closed costs no request, one in use costs its request.
type conn struct {
	*net.TCPConn
	// busy and idle are the user timeouts while a request uses the connection and while none
	// does.
	busy, idle time.Duration
	// received, if set, is called whenever bytes were received.
	received func()

	mu sync.Mutex
	// users is the number of requests that use the connection. It is 2 for a moment if the
	// next request gets the connection before the end of the last one is reported.
	users int
}

// tracked returns a dialer whose connections have the user timeouts, if they are set.
func (t Transporter) tracked(dial dialer) dialer {
	if t.UserTimeout == 0 {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, ok := opened.(*net.TCPConn)
		if !ok {
			return opened, nil
		}
		c := &conn{TCPConn: tcp, busy: t.UserTimeout, idle: t.IdleUserTimeout, received: t.Received}
		c.setUserTimeout(c.idle)
		return c, nil
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.received != nil {
		c.received()
	}
	return n, err
}

// acquire records that a request uses the connection.
func (c *conn) acquire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users++
	if c.users == 1 {
		c.setUserTimeout(c.busy)
	}
}

// release records that a request that used the connection has ended.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users--
	if c.users == 0 {
		c.setUserTimeout(c.idle)
	}
}

// setUserTimeout makes the kernel close the connection once its peer has acknowledged
// nothing for d, so that the failure of a VM is detected.
func (c *conn) setUserTimeout(d time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// The errors are ignored: the connection works with the timeout that it has.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}
