package listener

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/rationer"
)

const (
	// headSlack is how much longer than its limit a head may be, as in net/http.
	headSlack = 4 << 10
	// MaxLines limits the lines of a head: many short ones take several times their text.
	MaxLines = 1000
	// FreeHeadBytes is the memory of a head that is not reserved while it is being read, because the
	// buffers of its connection have that size anyway.
	FreeHeadBytes = 4 << 10
	// refusalTimeout limits how long a connection without room waits for a request, and how long the
	// refusal of a head is written.
	refusalTimeout = time.Second
)

// closeWriter is a connection of which one direction can be closed.
type closeWriter interface {
	net.Conn
	CloseWrite() error
}

// conn is a connection that counts the heads of requests. The server reads a connection and
// reports its states one after the other.
type conn struct {
	closeWriter

	listener *Listener
	// own has the memory of the connection itself, account that of a head that is being read.
	own, account *rationer.Account
	// started reports that the connection is served; it may be called more than once.
	started func()
	// err is the error of a connection for which there was no room.
	err error
	// began is when the head that is being read began; zero before its first byte on a kept connection.
	began time.Time
	// reading is set from the end of a call to the end of the next head.
	reading bool
	// read and lines are the length of the head so far.
	read, lines int64
	// blank is set while the current line is empty.
	blank bool

	// readMu is held during a read.
	readMu sync.Mutex
	// mu guards the fields below. A connection is idle from the end of a call to the first byte of the next
	// request, unless its caller has closed it. It isn't idle any more once it is ended.
	mu          sync.Mutex
	idle, ended bool
	// waiting is set while the server reads of an idle connection.
	waiting bool
	// crossed counts the bytes that a read, which waited when the connection was ended, brought after that.
	crossed int64
	// opened is when the connection was opened until the first call on it ends; zero after that.
	opened time.Time
}

// ObserveState follows the states of a connection; it is the hook ConnState of the server.
func ObserveState(c net.Conn, state http.ConnState) {
	h, ok := c.(*conn)
	if !ok {
		return
	}
	h.account.Close()
	if state == http.StateClosed {
		return // the server may still be reading
	}
	h.reading = state == http.StateNew || state == http.StateIdle
	h.began = time.Time{}
	if state == http.StateNew {
		h.began = time.Now()
	}
	h.read, h.lines, h.blank = 0, 0, false
	switch {
	case !h.reading:
		h.setActive()
	case h.err == nil:
		h.setIdle(h.began)
	}
}

// Close implements net.Conn. A request that crosses the close of an idle connection is refused.
func (h *conn) Close() error {
	h.started()
	if h.endIdle() {
		go h.refuseCrossing()
	}
	if h.isEnded() {
		return nil
	}
	return h.close()
}

func (h *conn) close() error {
	defer h.listener.Connections.remove(h)
	defer h.own.Close() // a connection that was taken over has no state of its end
	return h.closeWriter.Close()
}

// Write implements net.Conn.
func (h *conn) Write(b []byte) (int, error) {
	if h.isEnded() {
		return 0, net.ErrClosed
	}
	return h.closeWriter.Write(b)
}

// Read implements net.Conn. It refuses a head that is too long or for which there is no room, and
// then reports the end of the connection.
func (h *conn) Read(b []byte) (int, error) {
	h.started()
	if h.isEnded() {
		return 0, io.EOF
	}
	h.readMu.Lock()
	defer h.readMu.Unlock()
	h.beginWait()
	n, err := h.readOpen(b)
	if !h.endWait(n, err) {
		return 0, io.EOF
	}
	return n, err
}

// readOpen reads from a connection that is not ended.
func (h *conn) readOpen(b []byte) (int, error) {
	if h.err != nil {
		// A refusal is the answer to a request, which may be on its way.
		_ = h.SetReadDeadline(time.Now().Add(refusalTimeout))
		if n, err := h.closeWriter.Read(b); err != nil {
			return n, err
		}
		h.refuse(h.err)
		return 0, io.EOF
	}
	if !h.reading {
		return h.closeWriter.Read(b)
	}
	n, err := h.readHead(b)
	if err != nil && isRefusal(err) {
		h.refuse(err)
		return 0, io.EOF
	}
	return n, err
}

// tlsConn is a connection under TLS. It must not hide the tls.Conn from the server, which serves HTTP/2 on it.
type tlsConn struct{ *conn }

// Read implements net.Conn.
func (c tlsConn) Read(b []byte) (int, error) {
	c.started()
	return c.closeWriter.Read(b)
}

// readHead reads a part of a head, within the limits of heads.
func (h *conn) readHead(b []byte) (int, error) {
	limits := h.listener.limits()
	if !h.began.IsZero() {
		_ = h.SetReadDeadline(h.began.Add(limits.Timeout))
	}
	n, err := h.closeWriter.Read(b)
	if n > 0 && h.began.IsZero() {
		h.began = time.Now()
	}
	h.count(b[:n])
	if h.read > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, errHeadLate
	}
	if h.read > limits.Bytes+headSlack {
		return 0, errHeadTooLong
	}
	if err := h.reserve(); err != nil {
		return 0, err
	}
	return n, err
}

// count adds what was read of a head up to its end, which is an empty line.
func (h *conn) count(b []byte) {
	for len(b) > 0 && h.reading {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			h.read += int64(len(b))
			h.blank = h.blank && string(b) == "\r"
			return
		}
		empty := h.blank && (i == 0 || string(b[:i]) == "\r")
		h.read += int64(i + 1)
		h.lines++
		h.blank = true
		h.reading = !empty
		b = b[i+1:]
	}
}

// reserve reserves the memory of the head so far.
func (h *conn) reserve() error {
	if h.lines > MaxLines {
		return errTooManyLines
	}
	return h.account.Grow(max(rationer.LinesBytes(h.lines)+h.read-FreeHeadBytes-h.account.Held(), 0))
}

var (
	errTooManyLines = fmt.Errorf("listener: head of more than %d lines: %w", MaxLines, kingcuphook.ErrTooLarge)
	errHeadTooLong  = fmt.Errorf("listener: head: %w", kingcuphook.ErrTooLarge)
	errHeadLate     = fmt.Errorf("listener: head: %w", kingcuphook.ErrDeadline)
)

// isRefusal reports whether a head is refused with the error.
func isRefusal(err error) bool {
	return errors.Is(err, kingcuphook.ErrTooLarge) || errors.Is(err, kingcuphook.ErrDeadline) || errors.Is(err, kingcuphook.ErrOutOfMemory)
}

// refuse answers a request whose head is not read on.
func (h *conn) refuse(err error) {
	h.logRefusal(err)
	h.account.Close()
	h.writeRefusal(h.listener.Refusal(err), refusalTimeout)
}

// writeRefusal answers the request that is coming, or already here, and reads on until the caller closes
// the connection or the timeout has passed. It returns how many bytes came.
func (h *conn) writeRefusal(r Refusal, timeout time.Duration) int64 {
	retry := ""
	if r.RetryAfter != "" {
		retry = "Retry-After: " + r.RetryAfter + "\r\n"
	}
	_ = h.SetDeadline(time.Now().Add(timeout))
	_, _ = fmt.Fprintf(h.closeWriter, "HTTP/1.1 %d %s\r\n%sContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		r.Status, http.StatusText(r.Status), retry, r.ContentType, len(r.Body), r.Body)
	_ = h.CloseWrite()
	// Closing a connection with unread bytes would reset it.
	n, _ := io.Copy(io.Discard, h.closeWriter)
	return n
}

func (h *conn) logRefusal(err error) {
	u, limits := h.listener.Memory.Usage(), h.listener.limits()
	h.listener.Log.Log(logger.HeadRefused, "caller", h.RemoteAddr(), "head-bytes", h.read, "lines", h.lines,
		"limit", limits.Bytes, "timeout-ms", limits.Timeout.Milliseconds(),
		"held", u.Held, "peak", u.Peak, "budget", u.Bytes, "error", err)
}

// SetLinger sets what Close does with bytes that are not sent yet, as in net.TCPConn.
func (h *conn) SetLinger(sec int) error {
	c, ok := h.closeWriter.(interface{ SetLinger(sec int) error })
	if !ok {
		return nil
	}
	return c.SetLinger(sec)
}
