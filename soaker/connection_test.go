package soaker

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// A stream whose last events came with its end, one of which its caller did not wait for, counted as cut.
func TestEventsThatComeWithTheEndAreRead(t *testing.T) {
	is := is.New(t)
	const whole = "id: 0\n\nid: 1\n\nid: 2\n\n"
	for events := 1; events <= 3; events++ {
		body, err := readEvents(iotest.DataErrReader(strings.NewReader(whole)), events)
		is.NoErr(err)
		is.Equal(body, whole)
	}
	_, err := readEvents(iotest.DataErrReader(strings.NewReader(whole)), 4)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}
