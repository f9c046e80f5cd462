package transporter

import (
	"bytes"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/kingcuphook/kingcuphook/rationer"
)

const (
	// MaxHeadLines is the most lines that the head of a response may have. Ordinary heads have fewer
	// than 40.
	MaxHeadLines = 256
	// MaxHeadBytes is the most bytes that the head of a response may have.
	MaxHeadBytes = 64 << 10
	// byteCost is how often the text of a head is in memory: as received and parsed.
	byteCost = 2
	// startBytes is how much of a status line is kept, which includes the first digit of its status.
	startBytes = 32
)

// ErrHead means that the head of a response exceeds MaxHeadLines or MaxHeadBytes.
var ErrHead = errors.New("head of a response without end")

// headLimit bounds the head of each response on a connection, with the interim responses before it,
// as its bytes arrive.
type headLimit struct {
	// memory is the memory held for the head until the end of its request.
	memory *rationer.Account
	// rejected counts the heads that were too long.
	rejected *atomic.Int64
	// due is set when a request obtains the connection, whose next bytes then begin a head.
	due atomic.Bool
	// closed is set once the connection is closed.
	closed atomic.Bool

	// The fields below belong to the goroutine that reads.

	// err is the error of all further reads.
	err error
	// inHead is set until the end of the head; then nothing is counted.
	inHead       bool
	lines, bytes int
	// start is the beginning of the status line.
	start [startBytes]byte
	// inStatus is set until the end of the status line, blank while its line has no text.
	inStatus, blank bool
	lineBytes       int
}

// begin makes the next bytes the beginning of a head.
func (h *headLimit) begin() { h.due.Store(true) }

// check counts the bytes of a head among the bytes that were read. It returns an error that wraps
// ErrHead if the head is too long, and ErrOutOfMemory if there is no room for it. That error stays,
// since the bytes of the read are lost.
func (h *headLimit) check(p []byte) error {
	if h.due.Load() && h.due.Swap(false) {
		h.inHead, h.lines, h.bytes = true, 0, 0
		h.beginStatus()
	}
	if h.inHead && h.err == nil {
		h.err = h.count(p)
	}
	return h.err
}

// count counts the bytes of the head in p, and reserves memory for them.
func (h *headLimit) count(p []byte) error {
	lines, n := h.lines, h.bytes
	h.scan(p)
	if h.lines > MaxHeadLines || h.bytes > MaxHeadBytes {
		h.rejected.Add(1)
		return fmt.Errorf("%w: over %d lines or %d bytes", ErrHead, MaxHeadLines, MaxHeadBytes)
	}
	err := h.memory.Grow(int64(byteCost*(h.bytes-n)) + rationer.LinesBytes(int64(h.lines-lines)))
	if h.closed.Load() {
		h.memory.Close()
	}
	if err != nil {
		return fmt.Errorf("head of a response: %w", err)
	}
	return nil
}

// close releases the memory when the connection is closed, maybe during a call of check.
func (h *headLimit) close() {
	h.closed.Store(true)
	h.memory.Close()
}

// scan counts the lines and bytes of p up to the end of the head.
func (h *headLimit) scan(p []byte) {
	for len(p) > 0 && h.inHead && h.lines <= MaxHeadLines {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			h.addText(p)
			return
		}
		h.addText(p[:i])
		h.endLine()
		p = p[i+1:]
	}
}

// addText counts text of the current line.
func (h *headLimit) addText(p []byte) {
	if h.inStatus && h.lineBytes < startBytes {
		copy(h.start[h.lineBytes:], p)
	}
	h.bytes += len(p)
	h.lineBytes += len(p)
	h.blank = h.blank && (len(p) == 0 || h.lineBytes == 1 && p[0] == '\r')
}

// endLine counts the end of a line. A blank one ends the head, or an interim response, which the
// next head follows.
func (h *headLimit) endLine() {
	h.bytes++
	h.lines++
	switch {
	case h.blank && h.isInterim():
		h.beginStatus()
	case h.blank:
		h.inHead = false
	default:
		h.inStatus = false
		h.lineBytes, h.blank = 0, true
	}
}

// beginStatus begins a status line.
func (h *headLimit) beginStatus() {
	h.start = [startBytes]byte{}
	h.inStatus, h.blank, h.lineBytes = true, true, 0
}

// isInterim reports whether the status of the response is between 100 and 199.
func (h *headLimit) isInterim() bool {
	_, status, _ := bytes.Cut(h.start[:], []byte(" "))
	return bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
}
