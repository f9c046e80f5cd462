package logger

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
)

// maxQueuedBytes limits the memory of the lines in a queue: callers choose texts in them.
const maxQueuedBytes = 4 << 20

// Queue is an io.Writer that buffers log lines and never blocks its callers. Run writes
// the lines to the output; lines that do not fit into the buffer are dropped and
// counted. It is safe for concurrent use.
type Queue struct {
	out   io.Writer
	lines chan []byte
	// queued is the number of bytes of the lines in the buffer, at most maxQueuedBytes.
	queued  atomic.Int64
	dropped atomic.Int64
}

// NewQueue returns a queue that buffers up to size lines for out.
func NewQueue(out io.Writer, size int) *Queue {
	return &Queue{out: out, lines: make(chan []byte, size)}
}

// Write implements io.Writer. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	n := int64(len(line))
	if q.queued.Add(n) > maxQueuedBytes || !q.add(line) {
		q.queued.Add(-n)
		q.dropped.Add(1)
	}
	return len(line), nil
}

// add adds a copy of a line to the buffer. It reports false if the buffer has no room for a line.
func (q *Queue) add(line []byte) bool {
	select {
	case q.lines <- bytes.Clone(line):
		return true
	default:
		return false
	}
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Run writes lines until ctx is cancelled, then writes the lines still queued and
// returns.
func (q *Queue) Run(ctx context.Context) {
	for {
		select {
		case line := <-q.lines:
			q.print(line)
		case <-ctx.Done():
			q.drain()
			return
		}
	}
}

// drain writes the queued lines and returns when the queue is empty.
func (q *Queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.print(line)
		default:
			return
		}
	}
}

// print writes a line that was taken from the buffer.
func (q *Queue) print(line []byte) {
	q.queued.Add(-int64(len(line)))
	// A failed write can't be reported: this is the log itself.
	_, _ = q.out.Write(line)
}
