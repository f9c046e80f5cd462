package soaker

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// A whole stream that came in one read with its end counted as cut, if its caller meant to leave it.
func TestStreamThatEndsWithLastReadIsNotCut(t *testing.T) {
	const body = "data: 1\n\ndata: 2\n\ndata: 3\n\n"
	for events, want := range map[int]error{1: nil, 3: nil, 4: io.ErrUnexpectedEOF} {
		is := is.New(t)
		read, err := readEvents(iotest.DataErrReader(strings.NewReader(body)), events)
		is.Equal(err, want)
		is.Equal(read, body)
		_, err = readEvents(strings.NewReader(body), events)
		is.Equal(err, want)
	}
	is := is.New(t)
	_, err := readEvents(iotest.ErrReader(io.ErrUnexpectedEOF), 1)
	is.Equal(err, io.ErrUnexpectedEOF)
}
