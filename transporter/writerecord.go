package transporter

import (
	"errors"
	"os"
	"sync"
	"syscall"
	"time"
)

// WriteRecord records the first failed write to a connection. A write that gets the error of a connection
// leaves an io.EOF to the reads, which must not look like the end of what was sent. The zero value is ready
// for use. It is safe for concurrent use.
type WriteRecord struct {
	// writing is held during each write. It guards err.
	writing sync.Mutex
	err     error
}

// Write calls write with p and records its error.
func (r *WriteRecord) Write(p []byte, write func([]byte) (int, error)) (int, error) {
	r.writing.Lock()
	defer r.writing.Unlock()
	n, err := write(p)
	if r.err == nil {
		r.err = err
	}
	return n, err
}

// Broken returns the error of the write that found the connection broken; nil if none did, so that an
// io.EOF of a read shows that the other side has closed the connection. A write that still waits is ended, by
// the deadline that is set, to find that out.
func (r *WriteRecord) Broken(setWriteDeadline func(time.Time) error) error {
	_ = setWriteDeadline(time.Unix(1, 0))
	r.writing.Lock()
	defer r.writing.Unlock()
	if errors.Is(r.err, os.ErrDeadlineExceeded) || errors.Is(r.err, syscall.EPIPE) {
		return nil
	}
	return r.err
}
