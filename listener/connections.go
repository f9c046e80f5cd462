package listener

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/pauser"
)

const (
	// crossingTimeout is how long a request may still come on an idle connection that is being closed, and the
	// first one on a connection that has just been opened: more than a round trip.
	crossingTimeout = 500 * time.Millisecond
	// closePoll is how often a graceful stop checks for connections that have become idle.
	closePoll = 10 * time.Millisecond
)

// Connections are the open connections of a server, but for those over TLS. They are closed without losing
// requests: one that crosses the close of an idle connection is refused. The refusal is written before the
// close: a caller whose request was on its way takes it for the answer, any other one for the end of the
// connection (status 408 in RFC 9110, section 15.5.9). Its exported field is set before use.
type Connections struct {
	// Refusal is the answer to a request that crosses the close. Its status is 408, which callers expect on
	// an idle connection.
	Refusal Refusal

	// mu guards the fields below.
	mu sync.Mutex
	// listener accepts the connections; nil before it is used.
	listener *Listener
	open     map[*conn]struct{}
}

// Close closes the listener and then each connection once no request is under way on it, and waits for them
// until ctx ends, with an error if it ends first. Requests that are read meanwhile are served. The server may
// only be shut down afterwards: while it is, it drops requests that it has read. Connections over TLS are left
// to that shutdown, which tells callers over HTTP/2 of their end. Keep-alives of the server stay enabled:
// disabling them would close kept connections on which a head is being read.
func (c *Connections) Close(ctx context.Context) error {
	l := c.ofListener()
	if l != nil {
		l.endAccept()
	}
	if l != nil && l.TLS != nil {
		return nil
	}
	for n := c.closeIdle(); n > 0; n = c.closeIdle() {
		if !pauser.Pause(ctx, closePoll) {
			return fmt.Errorf("listener: %d connections are open: %w", n, context.Cause(ctx))
		}
	}
	return nil
}

// closeIdle closes the connections that wait for a request, and returns how many are open.
func (c *Connections) closeIdle() int {
	open, now := c.list(), time.Now()
	for _, h := range open {
		if h.endWaiting(now) {
			go h.refuseCrossing()
		}
	}
	return len(open)
}

func (c *Connections) list() []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := make([]*conn, 0, len(c.open))
	for h := range c.open {
		open = append(open, h)
	}
	return open
}

func (c *Connections) ofListener() *Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listener
}

func (c *Connections) setListener(l *Listener) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = l
}

func (c *Connections) add(h *conn) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[*conn]struct{})
	}
	c.open[h] = struct{}{}
}

func (c *Connections) remove(h *conn) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, h)
}

// setIdle records that the connection waits for a request, the first one if it has just been opened.
func (h *conn) setIdle(opened time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idle = !h.ended
	h.opened = opened
}

// setActive records that the connection waits for no request: one is served, or it was read with the last one.
func (h *conn) setActive() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idle = false
}

// beginWait records that a read begins. The connection is waiting if none of the next request has come.
func (h *conn) beginWait() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting = h.idle
}

// endWait records the result of a read: the connection waits no longer for a request unless the read
// timed out. It reports whether what was read may be served.
func (h *conn) endWait(n int, err error) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting = false
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		h.idle = false
	}
	if h.ended {
		h.crossed += int64(n)
	}
	return !h.ended
}

// endIdle ends a connection that waits for a request, and reports whether it did. Nothing that is read from
// now on is served.
func (h *conn) endIdle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.idle || h.listener.Connections == nil || h.listener.TLS != nil {
		return false
	}
	h.idle, h.ended = false, true
	return true
}

// endWaiting is like endIdle for a connection of which the server reads: a request that was read with the last
// one is served. A connection that has just been opened isn't ended: its first request is on its way.
func (h *conn) endWaiting(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.idle || !h.waiting || now.Sub(h.opened) < crossingTimeout {
		return false
	}
	h.idle, h.ended = false, true
	return true
}

// isEnded reports whether the connection was ended while it waited for a request.
func (h *conn) isEnded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// crossedBytes closes the connection and returns how many bytes the server had read of it after it was ended.
func (h *conn) crossedBytes() int64 {
	_ = h.closeWriter.Close()
	h.readMu.Lock() // until the last read has ended
	defer h.readMu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crossed
}

// refuseCrossing refuses a request that may be on its way, and closes the connection.
func (h *conn) refuseCrossing() {
	r := h.listener.Connections.Refusal
	if n := h.writeRefusal(r, crossingTimeout) + h.crossedBytes(); n > 0 {
		h.listener.Log.Log(logger.CrossingRefused, "caller", h.RemoteAddr(), "status", r.Status, "bytes", n)
	}
	_ = h.close()
}
