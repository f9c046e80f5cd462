package logger

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
)

// Queue is an io.Writer that buffers log lines and never blocks its callers. Run writes
// the lines to the output; lines that do not fit into the buffer are dropped and
// counted. It is safe for concurrent use.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue that buffers up to size lines for out.
func NewQueue(out io.Writer, size int) *Queue {
	return &Queue{out: out, lines: make(chan []byte, size)}
}

// Write implements io.Writer. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Run writes lines until ctx is cancelled, then writes the lines still queued and
// returns.
func (q *Queue) Run(ctx context.Context) {
	for {
		select {
		case line := <-q.lines:
			// A failed write can't be reported: this is the log itself.
			_, _ = q.out.Write(line)
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
			_, _ = q.out.Write(line)
		default:
			return
		}
	}
}
