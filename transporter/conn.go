package transporter

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
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
	exchange

	mu sync.Mutex
	// users is the number of requests that use the connection. It is 2 for a moment if the
	// next request gets the connection before the end of the last one is reported.
	users int
	// begunAt is when the last request obtained the connection, timeout the user timeout that is set.
	begunAt time.Time
	timeout time.Duration

	// checkedAt is when followUnread last looked; it belongs to the goroutine that reads.
	checkedAt time.Time
}

// unreadInterval is how often a connection is checked for bytes that its peer has not acknowledged.
const unreadInterval = time.Second

// tracked returns a dialer whose connections have the user timeouts, if they are set, and bounded
// heads of responses.
func (t Transporter) tracked(dial dialer) dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, ok := opened.(*net.TCPConn)
		if !ok {
			b := &boundedConn{Conn: opened}
			t.initExchange(&b.exchange)
			return b, nil
		}
		c := &conn{TCPConn: tcp, busy: t.UserTimeout, idle: t.IdleUserTimeout, received: t.Received}
		t.initExchange(&c.exchange)
		c.setUserTimeout(c.idle)
		return c, nil
	}
}

// exchange is what both kinds of connections keep about requests and responses.
type exchange struct {
	head headLimit
	hold writeHold
	// openedAt is when the connection was open at the latest.
	openedAt time.Time
}

// initExchange sets the fields of the exchange of a connection that was just opened.
func (t Transporter) initExchange(e *exchange) {
	e.openedAt = time.Now()
	e.hold.over = make(chan struct{})
	t.initHead(&e.head)
}

// initHead sets the fields of the limit of a connection.
func (t Transporter) initHead(h *headLimit) {
	h.memory = t.Memory.OpenAnswer()
	h.rejected = t.HeadsRejected
	if h.rejected == nil {
		h.rejected = new(atomic.Int64)
	}
}

// opened implements tracker.
func (e *exchange) opened() time.Time { return e.openedAt }

// endRead returns the result of a read into p after the check of the heads in it.
func (e *exchange) endRead(p []byte, n int, err error, setWriteDeadline func(time.Time) error) (int, error) {
	if headErr := e.head.check(p[:n]); headErr != nil {
		n, err = 0, headErr
	}
	return n, e.hold.endRead(err, setWriteDeadline)
}

// finish ends what a connection holds when it is closed.
func (e *exchange) finish() {
	e.head.close()
	e.hold.end()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.received != nil {
		c.received()
	}
	if n > 0 {
		c.followUnread(time.Now())
	}
	return c.endRead(p, n, err, c.SetWriteDeadline)
}

// Write implements net.Conn. It returns an error only once nothing more can be read.
func (c *conn) Write(p []byte) (int, error) { return c.hold.write(p, c.TCPConn.Write) }

// ReadFrom implements io.ReaderFrom with Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.finish()
	return c.TCPConn.Close()
}

// acquire records that a request uses the connection.
func (c *conn) acquire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.begin()
	c.begunAt = time.Now()
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
		c.head.memory.Close()
		c.setUserTimeout(c.idle)
	}
}

// followUnread extends the user timeout of a connection on which bytes were received while its peer
// leaves some of the request unread. The kernel would end it, though its peer is there, once that has
// acknowledged nothing for the timeout.
func (c *conn) followUnread(now time.Time) {
	if c.busy == 0 || now.Sub(c.checkedAt) < unreadInterval {
		return
	}
	c.checkedAt = now
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.users == 0 {
		return
	}
	d := c.busy
	if c.hasUnread() {
		d += now.Sub(c.begunAt)
	}
	if d != c.timeout {
		c.setUserTimeout(d)
	}
}

// hasUnread reports whether the peer has not acknowledged all that was written.
func (c *conn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return err == nil && n > 0
}

// boundedConn is a connection that isn't one of TCP itself, such as a relayed one, with bounded heads
// of responses.
type boundedConn struct {
	net.Conn
	exchange
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return c.endRead(p, n, err, c.SetWriteDeadline)
}

// Write implements net.Conn. It returns an error only once nothing more can be read.
func (c *boundedConn) Write(p []byte) (int, error) { return c.hold.write(p, c.Conn.Write) }

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.finish()
	return c.Conn.Close()
}

// acquire records that a request uses the connection.
func (c *boundedConn) acquire() { c.head.begin() }

// release records that a request that used the connection has ended.
func (c *boundedConn) release() { c.head.memory.Close() }

// tracker is a connection that records its use.
type tracker interface {
	acquire()
	release()
	// opened returns when the connection was open at the latest.
	opened() time.Time
}

// setUserTimeout makes the kernel close the connection once its peer has acknowledged
// nothing for d, so that the failure of a VM is detected. If d is 0, it leaves that to the kernel.
func (c *conn) setUserTimeout(d time.Duration) {
	if d == 0 {
		return
	}
	c.timeout = d
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// The errors are ignored: the connection works with the timeout that it has.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}
