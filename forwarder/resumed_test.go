package forwarder

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// resuming returns an attempt that resumes a stream of which the caller has two events.
func resuming() *kingcuphook.Attempt {
	return kingcuphook.NewAttempt(kingcuphook.AttemptFields{
		ID: "attempt-2", Request: kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "r1", Stream: true}), Method: http.MethodPost, Path: "/",
		ResumeFrom: 2, ResumeAfter: "2", Opaque: &kingcuphook.Opaque{Host: "host.example", Header: http.Header{}},
	})
}

// The caller of a stream that was resumed got the text of another answer as events, or a clean end.
func TestOtherAnswerIsNoRestOfStream(t *testing.T) {
	const event = "id: 3\ndata: c\n\n"
	head := func(lines string) string { return "HTTP/1.1 200 OK\r\n" + lines + "\r\n" }
	const chunked, events = "Transfer-Encoding: chunked\r\n", "Content-Type: text/event-stream; charset=utf-8\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(event), event)
	for name, text := range map[string]string{
		"other type":     head("Content-Type: text/html\r\n"+chunked) + chunk,
		"no type":        head(chunked) + chunk,
		"encoded":        head(events+"Content-Encoding: gzip\r\n"+chunked) + chunk,
		"length":         reply(events, event),
		"length 0":       reply(events, ""),
		"empty":          head(events+chunked) + "0\r\n\r\n",
		"only a comment": head(events+chunked) + "3\r\n:\n\n\r\n0\r\n\r\n",
		"unframed":       head(events+"Connection: close\r\n") + event,
		"HTTP/1.0":       strings.Replace(head(events), "1.1", "1.0", 1) + event,
		"redirect":       "HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n",
		"no content":     "HTTP/1.1 204 No Content\r\n\r\n",
		"partial":        "HTTP/1.1 206 Partial Content\r\n" + events + chunked + "\r\n" + chunk,
		"not found":      "HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\ndata: a\n\n",
		"error":          "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9\r\n\r\ndata: a\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, func(_ int64, w net.Conn) bool {
				fmt.Fprint(w, text)
				return false
			})
			f := &Forwarder{Codec: codec{}}
			defer f.Close()
			s, err := f.Start(t.Context(), u.entry, resuming())
			if err == nil {
				defer func() { _ = s.Close() }()
				_, err = s.Next(t.Context())
			}
			is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown) || errors.Is(err, kingcuphook.ErrBrokenStream))
			is.True(!errors.Is(err, kingcuphook.ErrUnavailable) && !errors.Is(err, kingcuphook.ErrRejected))
		})
	}
}
