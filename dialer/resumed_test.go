package dialer

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// An answer that is not the rest of a resumed stream must break the attempt without a frame of its
// text. A 4xx is about the resumption: it was taken for a rejection of the call, which was not tried elsewhere.
func TestOtherAnswerIsNoRestOfStream(t *testing.T) {
	const text = "data: not of this stream\n\n"
	const events = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	for name, reply := range map[string]string{
		"other type": "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk,
		"length":     response("200 OK", "", text),
		"length 0":   response("200 OK", "", ""),
		"empty":      events + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"only end":   events + "Transfer-Encoding: chunked\r\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n",
		"unframed":   events + "Connection: close\r\n\r\n" + text,
		"redirect":   response("302 Found", "Location: /other\r\n", text),
		"no content": "HTTP/1.1 204 No Content\r\n\r\n",
		"not found":  response("404 Not Found", "", text),
		"error":      response("500 Internal Server Error", "", text),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			at := serveRaw(t, func(int, string) string { return reply })
			u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: at.Address(), Kind: kingcuphook.UpstreamKindEngine})
			d := &Dialer{}
			d.Init()
			defer d.Close()
			s, err := d.Start(t.Context(), u, kingcuphook.NewAttempt(kingcuphook.AttemptFields{
				ID: "a2", Request: kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "r1", Stream: true}), Method: http.MethodPost, Path: "/", ResumeFrom: 2,
			}))
			if err == nil {
				defer func() { _ = s.Close() }()
				f, e := s.Next(t.Context())
				if err = e; err == nil {
					is.True(f.Attempt() != "a2") // the assembler refuses it
					return
				}
			}
			is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown) || errors.Is(err, kingcuphook.ErrBrokenStream))
			is.True(!errors.Is(err, kingcuphook.ErrUnavailable) && !errors.Is(err, kingcuphook.ErrRejected))
		})
	}
}
