package server

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Requests that were sent, or half read, while a planned stop closed their connection got neither an answer nor a refusal.
func TestRequestsThatCrossCloseAreAnswered(t *testing.T) {
	const text, closeTime = "GET /nowhere HTTP/1.1\r\nHost: a.example\r\n\r\n", 100 * time.Millisecond
	for name, test := range map[string]struct {
		begun  string
		status int
	}{
		"kept connection": {begun: text, status: http.StatusRequestTimeout},
		"new connection":  {status: http.StatusNotFound},
		"half a head":     {begun: text[:20], status: http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, url := serve(t, nil, Limits{})
			c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
			answers := bufio.NewReader(c)
			send := func(text string) (status int, isLast bool) {
				_, err := fmt.Fprint(c, text)
				is.NoErr(err)
				resp, err := http.ReadResponse(answers, nil)
				is.NoErr(err)
				is.NoErr(resp.Body.Close())
				return resp.StatusCode, resp.Close
			}
			rest := strings.TrimPrefix(text, test.begun)
			if rest == "" {
				send(text)
				rest = text
			} else {
				_, err = fmt.Fprint(c, test.begun)
				is.NoErr(err)
			}
			time.Sleep(closeTime)
			stopped := make(chan error, 1)
			go func() { stopped <- s.Stop(context.Background()) }()
			time.Sleep(closeTime)
			status, isLast := send(rest)
			is.Equal(status, test.status)
			is.True(isLast)
			is.NoErr(c.Close())
			is.NoErr(<-stopped)
		})
	}
}
