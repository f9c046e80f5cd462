package transporter

import (
	"errors"
	"io"
	"os"
	"sync"
	"syscall"
	"time"
)

// writeHold keeps the error of a failed write until nothing more can be read from the connection. An
// upstream may answer before it has read a long body, and reset the connection; the HTTP transport
// closes a connection whose write has failed, with the response that has arrived on it.
type writeHold struct {
	// writing is held during each write. It guards err, the error of the first write that failed.
	writing sync.Mutex
	err     error

	once sync.Once
	// over is closed once nothing more can be read.
	over chan struct{}
}

func newWriteHold() *writeHold { return &writeHold{over: make(chan struct{})} }

// write calls write with p and returns its error once nothing more can be read.
func (h *writeHold) write(p []byte, write func([]byte) (int, error)) (int, error) {
	n, err := h.try(p, write)
	if err != nil {
		<-h.over
	}
	return n, err
}

// try calls write with p and records its error.
func (h *writeHold) try(p []byte, write func([]byte) (int, error)) (int, error) {
	h.writing.Lock()
	defer h.writing.Unlock()
	n, err := write(p)
	if h.err == nil {
		h.err = err
	}
	return n, err
}

// endRead returns the error of a read, which ends the hold. A write that gets the error of a
// connection leaves an io.EOF to the reads, which must not look like the end of a response. A write
// that still waits is ended, by its deadline, to find that out: the transport uses no connection on
// which it can't read.
func (h *writeHold) endRead(err error, setWriteDeadline func(time.Time) error) error {
	if err == nil {
		return nil
	}
	defer h.end()
	if !errors.Is(err, io.EOF) {
		return err
	}
	_ = setWriteDeadline(time.Unix(1, 0))
	h.writing.Lock()
	defer h.writing.Unlock()
	if h.err == nil || errors.Is(h.err, os.ErrDeadlineExceeded) || errors.Is(h.err, syscall.EPIPE) {
		return err // the upstream has closed the connection
	}
	return h.err
}

// end records that nothing more can be read.
func (h *writeHold) end() { h.once.Do(func() { close(h.over) }) }
