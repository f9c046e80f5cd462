package receiver

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/rationer"
)

// A connection that found no room was refused before its request came, which callers take for an error.
func TestRefusalOfConnectionFollowsRequest(t *testing.T) {
	r := newHarness(t, respondWith(http.StatusOK, "done"))
	r.Memory = &rationer.Rationer{Bytes: 1000}
	c, err := net.Dial("tcp", r.run(t))
	r.NoErr(err)
	responses := bufio.NewReader(c)
	r.NoErr(c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = responses.Peek(1)
	r.True(errors.Is(err, os.ErrDeadlineExceeded))
	r.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = fmt.Fprint(c, "GET /plain/ HTTP/1.1\r\nHost: a.example\r\n\r\n")
	r.NoErr(err)
	resp, err := http.ReadResponse(responses, nil)
	r.NoErr(err)
	r.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	r.NoErr(resp.Body.Close())
	r.NoErr(c.Close())
}
