package logger

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
)

// Queue is a writer of log lines that never makes its callers wait: lines are
// written by Run, and what does not fit is dropped and counted. It is safe for
// concurrent use.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue of at most size lines that are written to out.
func NewQueue(out io.Writer, size int) *Queue {
	return &Queue{out: out, lines: make(chan []byte, size)}
}

// Write implements io.Writer.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Run writes lines until ctx ends, and then those that wait.
func (q *Queue) Run(ctx context.Context) {
	for {
		select {
		case line := <-q.lines:
			// There is nowhere to tell of a log that can't be written.
			_, _ = q.out.Write(line)
		case <-ctx.Done():
			q.drain()
			return
		}
	}
}

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
