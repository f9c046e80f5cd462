package transporter

import (
	"errors"
	"io"
	"sync"
	"time"
)

// writeHold keeps the error of a failed write until nothing more can be read from the connection. An
// upstream may answer before it has read a long body, and reset the connection; the HTTP transport
// closes a connection whose write has failed, with the response that has arrived on it.
type writeHold struct {
	writes WriteRecord

	once sync.Once
	// over is closed once nothing more can be read; never nil.
	over chan struct{}
}

// write calls write with p and returns its error once nothing more can be read.
func (h *writeHold) write(p []byte, write func([]byte) (int, error)) (int, error) {
	n, err := h.writes.Write(p, write)
	if err != nil {
		<-h.over
	}
	return n, err
}

// endRead returns the error of a read, which ends the hold. It may end a write that still waits: the
// transport uses no connection on which it can't read.
func (h *writeHold) endRead(err error, setWriteDeadline func(time.Time) error) error {
	if err == nil {
		return nil
	}
	defer h.end()
	if !errors.Is(err, io.EOF) {
		return err
	}
	if broken := h.writes.Broken(setWriteDeadline); broken != nil {
		return broken
	}
	return err
}

// end records that nothing more can be read.
func (h *writeHold) end() { h.once.Do(func() { close(h.over) }) }
