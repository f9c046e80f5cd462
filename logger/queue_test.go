package logger

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"
)

// Lines with long texts of callers took hundreds of MiB while the output stood still.
func TestQueueBoundsBytesOfLines(t *testing.T) {
	is := is.New(t)
	const lines, size = 4096, 64 << 10
	var out bytes.Buffer
	q := NewQueue(&out, lines)
	ended, end := context.WithCancel(t.Context())
	end()
	for range 2 {
		dropped := q.Dropped()
		for range lines {
			_, err := q.Write(bytes.Repeat([]byte("x"), size))
			is.NoErr(err)
		}
		q.Run(ended)
		is.Equal(out.Len(), maxQueuedBytes)
		is.Equal(q.Dropped()-dropped, int64(lines-maxQueuedBytes/size))
		out.Reset()
	}
}
