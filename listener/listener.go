// Package listener accepts the connections of HTTP servers. It draws their memory, and that of the heads of
// requests while they are being read, on a budget, and refuses what finds no room.
package listener

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/discarder"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/rationer"
)

const (
	// defaultHeadBytes and defaultHeadTimeout apply while the operators' limits are unknown.
	defaultHeadBytes   = 64 << 10
	defaultHeadTimeout = 5 * time.Second
	// ConnectionBytes is the memory of a connection: its buffers and the stacks of its goroutines.
	ConnectionBytes = 24 << 10
	// tlsBytes is the memory that TLS takes beside it.
	tlsBytes = 8 << 10
	// maxStarting limits the accepted connections that are not served yet, so that calls on open
	// connections never wait for a long queue of goroutines.
	maxStarting = 32
	// acceptPause is how long no connection comes until the queue of the kernel is taken for empty, and
	// acceptTimeout limits how long connections from it are accepted after the end of accepting began.
	acceptPause   = 5 * time.Millisecond
	acceptTimeout = 50 * time.Millisecond
)

// Listener accepts connections, for which it reserves memory, and on which the memory of heads is
// reserved while they are being read. Its exported fields are set before use. The server must have
// ObserveState as its hook ConnState.
type Listener struct {
	// Listener accepts the connections; required.
	net.Listener

	// TLS is the configuration of TLS; nil means plain text. The heads on connections over TLS are not
	// seen, so that only the server bounds them.
	TLS *tls.Config

	// Memory is the budget; nil means no limit.
	Memory *rationer.Rationer
	// Limits returns the limits of heads in force; required. Zero values mean 64 KiB and 5 s.
	Limits func() kingcuphook.HeadLimits
	// Refusal returns the answer to a request that is refused with an error; required. The error wraps
	// kingcuphook.ErrTooLarge, ErrDeadline or ErrOutOfMemory.
	Refusal func(err error) Refusal
	// Discards are the refused bodies that the server discards, whose connections make room for
	// new ones; required.
	Discards *discarder.Discarder
	// Connections are told of the accepted connections; nil means that a request that crosses the close
	// of its connection gets no answer.
	Connections *Connections
	// Log receives events; nil means none.
	Log *logger.Logger

	once sync.Once
	// starting has a value for each accepted connection that the server has not read from yet.
	starting chan struct{}
	// draining is set once no more connections are to come, closed is closed when none does.
	draining atomic.Bool
	closed   chan struct{}
	close    sync.Once
}

// Refusal is the answer to a request whose head is not read to its end.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// RetryAfter is the value of the header of that name; empty if there is none.
	RetryAfter string
	// ContentType is the type of the body.
	ContentType, Body string
}

// Accept implements net.Listener. It waits while too many connections are not served yet. A connection
// without room is refused once a request comes, or closed before the handshake of TLS.
func (l *Listener) Accept() (net.Conn, error) {
	l.init()
	for {
		l.starting <- struct{}{}
		accepted, err := l.acceptQueued()
		if err != nil {
			<-l.starting
			return nil, err
		}
		c, ok := accepted.(closeWriter)
		if !ok {
			<-l.starting
			return accepted, nil
		}
		h := l.newConn(c)
		if l.TLS == nil {
			l.Connections.add(h)
			return h, nil
		}
		if h.err == nil {
			return tls.Server(tlsConn{h}, l.TLS), nil
		}
		h.logRefusal(h.err)
		_ = h.Close()
	}
}

func (l *Listener) init() {
	l.once.Do(func() {
		l.starting = make(chan struct{}, maxStarting)
		l.closed = make(chan struct{})
		l.Connections.setListener(l)
	})
}

// acceptQueued accepts a connection. At the end of accepting it closes the listener once the queue is empty,
// since that resets the connections in it.
func (l *Listener) acceptQueued() (net.Conn, error) {
	if l.draining.Load() {
		l.setDeadline(time.Now().Add(acceptPause))
	}
	accepted, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && l.draining.Load() {
		_ = l.Close()
		close(l.closed)
		return nil, net.ErrClosed
	}
	return accepted, err
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	var err error
	l.close.Do(func() { err = l.Listener.Close() })
	return err
}

// endAccept accepts the connections that are queued already, and closes the listener.
func (l *Listener) endAccept() {
	if l.draining.Swap(true) {
		return
	}
	l.setDeadline(time.Now().Add(acceptPause))
	select {
	case <-l.closed:
	case <-time.After(acceptTimeout):
		_ = l.Close()
	}
}

// setDeadline ends a wait for a connection. A listener that can't is closed.
func (l *Listener) setDeadline(t time.Time) {
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok || d.SetDeadline(t) != nil {
		_ = l.Close()
	}
}

// limits returns the limits of heads in force.
func (l *Listener) limits() kingcuphook.HeadLimits {
	limits := l.Limits()
	if limits.Bytes <= 0 {
		limits.Bytes = defaultHeadBytes
	}
	if limits.Timeout <= 0 {
		limits.Timeout = defaultHeadTimeout
	}
	return limits
}

// newConn returns a connection with memory reserved for it. Its err is set if there is no room.
func (l *Listener) newConn(c closeWriter) *conn {
	h := &conn{closeWriter: c, listener: l, own: l.Memory.Open(), account: l.Memory.Open(), reading: true}
	h.started = sync.OnceFunc(func() { <-l.starting })
	h.own.SetTier(kingcuphook.LowestTier + 1) // so that there is room for calls on the connections
	h.err = l.reserve(h.own, Bytes(l.TLS != nil))
	return h
}

// Bytes returns the memory that is reserved for a connection.
func Bytes(overTLS bool) int64 {
	if overTLS {
		return ConnectionBytes + tlsBytes
	}
	return ConnectionBytes
}

// reserve reserves the memory of a connection. Where there is no room it ends a discard, whose
// connection returns its memory at once.
func (l *Listener) reserve(account *rationer.Account, n int64) error {
	err := account.Grow(n)
	if err != nil && l.Discards.EndOldest() {
		account.Take(n)
		return nil
	}
	return err
}
