package forwarder

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// codec knows replies by a header of the tests.
type codec struct{}

func (codec) Encode(h http.Header, u *kingcuphook.Upstream, _ *kingcuphook.Attempt, _ time.Time) {
	h.Set("X-Instance", u.Instance())
}

func (codec) Decode(_ *kingcuphook.Attempt, _ int, h http.Header) kingcuphook.ReplyKind {
	if kind := h.Get("X-Reply"); kind != "" {
		return kingcuphook.ReplyKind(kind)
	}
	return kingcuphook.ReplyKindAnswer
}

func (codec) Notice(status int, h http.Header) kingcuphook.Notice {
	return kingcuphook.NewNotice(h.Get("X-Leaves") != "", time.Duration(status-http.StatusOK)*time.Second)
}

// upstream serves raw connections: each request is answered by the next reply,
// after which the connection is closed if the reply says so.
type upstream struct {
	row      *kingcuphook.Upstream
	conns    atomic.Int64
	requests atomic.Int64
	seen     chan string
}

func newUpstream(t *testing.T, serve func(n int64, w net.Conn) (keep bool)) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	u := &upstream{
		row:  kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: l.Addr().String(), Instance: "i-1"}),
		seen: make(chan string, 100),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go u.serve(c, serve)
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn, serve func(int64, net.Conn) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		u.seen <- fmt.Sprintf("%s %s %s %s", req.Method, req.RequestURI, req.Header.Get("X-Instance"), body)
		if !serve(u.requests.Add(1), c) {
			return
		}
	}
}

func attempt(method, path, body string) *kingcuphook.Attempt {
	return kingcuphook.NewAttempt(kingcuphook.AttemptFields{
		ID:      "attempt-1",
		Request: kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "r1"}),
		Method:  method,
		Path:    path,
		Body:    []byte(body),
		Opaque:  &kingcuphook.Opaque{Host: "host.example", Header: http.Header{}},
	})
}

func reply(header, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

func TestCallIsPassedOnAsItCame(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(_ int64, w net.Conn) bool {
		fmt.Fprint(w, reply("X-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\n", "answer"))
		return true
	})
	f := &Forwarder{Codec: codec{}}
	defer f.Close()
	for _, path := range []string{"/a//b/../c?x=%2F&y", "//odd/path?q=1", "/%41/"} {
		a, err := f.Call(t.Context(), u.row, attempt("POST", path, "body"))
		is.NoErr(err)
		is.Equal(string(a.Body()), "answer")
		is.Equal(a.Header().Get("X-Own"), "1")
		is.Equal(a.Header().Get("X-Hop"), "") // concerned the connection only
		is.Equal(<-u.seen, "POST "+path+" i-1 body")
	}
	is.Equal(u.conns.Load(), int64(1))
}

func TestTellsWhatUpstreamsSayOfThemselves(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(n int64, w net.Conn) bool {
		switch n {
		case 1:
			fmt.Fprint(w, reply("X-Leaves: 1\r\n", "answer"))
		case 2:
			fmt.Fprint(w, "HTTP/1.1 203 Other\r\nX-Reply: not-run\r\nContent-Length: 0\r\n\r\n")
		case 3:
			// It answers another call, perhaps of another time.
			fmt.Fprint(w, reply("X-Leaves: 1\r\nX-Reply: foreign\r\n", ""))
		default:
			fmt.Fprint(w, reply("", "answer"))
		}
		return true
	})
	var told []kingcuphook.Notice
	f := &Forwarder{Codec: codec{}, Noticed: func(at *kingcuphook.Upstream, n kingcuphook.Notice) {
		is.Equal(at, u.row)
		told = append(told, n)
	}}
	defer f.Close()
	for range 4 {
		_, err := f.Call(t.Context(), u.row, attempt("POST", "/", ""))
		is.True(err == nil || errors.Is(err, kingcuphook.ErrUnavailable) || errors.Is(err, kingcuphook.ErrForeignFrame))
	}
	is.Equal(told, []kingcuphook.Notice{kingcuphook.NewNotice(true, 0), kingcuphook.NewNotice(false, 3*time.Second)})
}

func TestWhatIsKnownOfAFailure(t *testing.T) {
	dead := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: "127.0.0.1:1"})
	for name, test := range map[string]struct {
		reply string
		want  []error
		not   []error
	}{
		"not run":      {reply("X-Reply: not-run\r\n", ""), []error{kingcuphook.ErrUnavailable, kingcuphook.ErrOverloaded}, []error{kingcuphook.ErrNotSent}},
		"misdirected":  {reply("X-Reply: misdirected\r\n", ""), []error{kingcuphook.ErrUnavailable, kingcuphook.ErrMisdirected}, []error{kingcuphook.ErrNotSent}},
		"foreign":      {reply("X-Reply: foreign\r\n", ""), []error{kingcuphook.ErrOutcomeUnknown, kingcuphook.ErrForeignFrame}, []error{kingcuphook.ErrUnavailable}},
		"no reply":     {"", []error{kingcuphook.ErrOutcomeUnknown}, []error{kingcuphook.ErrUnavailable}},
		"no HTTP":      {"nonsense\r\n\r\n", []error{kingcuphook.ErrOutcomeUnknown}, []error{kingcuphook.ErrUnavailable}},
		"early end":    {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", []error{kingcuphook.ErrOutcomeUnknown}, []error{kingcuphook.ErrUnavailable}},
		"unreachable":  {"-", []error{kingcuphook.ErrUnavailable, kingcuphook.ErrNotSent}, []error{kingcuphook.ErrOutcomeUnknown}},
		"broken chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe", []error{kingcuphook.ErrOutcomeUnknown}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, func(_ int64, w net.Conn) bool {
				fmt.Fprint(w, test.reply)
				return false
			}).row
			if test.reply == "-" {
				u = dead
			}
			f := &Forwarder{Codec: codec{}}
			defer f.Close()
			_, err := f.Call(t.Context(), u, attempt("POST", "/", "body"))
			for _, want := range test.want {
				is.True(errors.Is(err, want))
			}
			for _, not := range test.not {
				is.True(!errors.Is(err, not))
			}
		})
	}
}

// TestNothingIsRepeatedUnseen closes a kept connection instead of answering the
// second call on it.
func TestNothingIsRepeatedUnseen(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		is := is.New(t)
		u := newUpstream(t, func(n int64, w net.Conn) bool {
			if n == 2 {
				return false
			}
			fmt.Fprint(w, reply("", "answer"))
			return true
		})
		f := &Forwarder{Codec: codec{}}
		defer f.Close()
		_, err := f.Call(t.Context(), u.row, attempt(method, "/", ""))
		is.NoErr(err)
		_, err = f.Call(t.Context(), u.row, attempt(method, "/", ""))
		is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown))
		is.Equal(u.requests.Load(), int64(2))
	}
}

func TestStreamEndsWholeOrBroken(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	for name, test := range map[string]struct {
		reply string
		want  string
		whole bool
	}{
		"whole":         {head + chunk("id: 1\ndata: a\n\nid: 2\n") + chunk("data: b\n\n") + "0\r\n\r\n", "1 2 ", true},
		"within event":  {head + chunk("id: 1\ndata: a\n\nid: 2\nda") + "0\r\n\r\n", "1 ", false},
		"between":       {head + chunk("id: 1\ndata: a\n\n"), "1 ", false},
		"without end":   {strings.ReplaceAll(head, "Transfer-Encoding: chunked\r\n", "Connection: close\r\n") + "id: 1\r\ndata: a\r\n\r\n", "1 ", true},
		"with own line": {head + chunk("weights: 3\nid: 7\ndata: a\n\n") + "0\r\n\r\n", "7 ", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, func(_ int64, w net.Conn) bool {
				fmt.Fprint(w, test.reply)
				return false
			})
			f := &Forwarder{Codec: codec{}}
			defer f.Close()
			s, err := f.Start(t.Context(), u.row, attempt("POST", "/", ""))
			is.NoErr(err)
			defer func() { _ = s.Close() }()
			is.Equal(s.(kingcuphook.HeadedStream).Head().Header().Get("X-Own"), "1")
			got, raw := "", ""
			for {
				fr, err := s.Next(t.Context())
				if err != nil {
					is.True(errors.Is(err, kingcuphook.ErrBrokenStream))
					is.True(!test.whole)
					break
				}
				if fr.Kind() == kingcuphook.FrameKindEnd {
					is.True(test.whole)
					break
				}
				if fr.Kind() == kingcuphook.FrameKindData {
					got += fr.Event() + " "
					raw += fr.Text()
				}
			}
			is.Equal(got, test.want)
			is.True(strings.HasSuffix(raw, "\n\n") || strings.HasSuffix(raw, "\n\r\n"))
		})
	}
}

// TestCommentsAreNoPieces has an upstream send comments between its events: they reach
// the caller, but don't stand for the progress of the stream.
func TestCommentsAreNoPieces(t *testing.T) {
	const comments = ": still here\n\n: still here\n\n"
	for name, test := range map[string]struct {
		body  string
		want  []string
		whole bool
	}{
		"before an event":  {comments + "id: 1\ndata: a\n\n", []string{comments + "id: 1\ndata: a\n\n"}, true},
		"between":          {"id: 1\ndata: a\n\n" + comments + "id: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", comments + "id: 2\ndata: b\n\n"}, true},
		"at the end":       {"id: 1\ndata: a\n\n" + comments, []string{"id: 1\ndata: a\n\n", comments}, true},
		"within a comment": {"id: 1\ndata: a\n\n: st", []string{"id: 1\ndata: a\n\n"}, false},
		"without end":      {"id: 1\ndata: a\n\n" + strings.Repeat(comments, maxEventBytes/len(comments)+1) + "id: 2\n\n", []string{"id: 1\ndata: a\n\n"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, func(_ int64, w net.Conn) bool {
				fmt.Fprint(w, reply("Content-Type: text/event-stream\r\n", test.body))
				return false
			})
			f := &Forwarder{Codec: codec{}}
			defer f.Close()
			s, err := f.Start(t.Context(), u.row, attempt("POST", "/", ""))
			is.NoErr(err)
			defer func() { _ = s.Close() }()
			for _, want := range test.want {
				fr, err := s.Next(t.Context())
				is.NoErr(err)
				is.Equal(fr.Kind(), kingcuphook.FrameKindData)
				is.Equal(fr.Text(), want)
			}
			fr, err := s.Next(t.Context())
			is.Equal(err == nil, test.whole)
			if test.whole {
				is.Equal(fr.Kind(), kingcuphook.FrameKindFinish)
			}
		})
	}
}

func TestAnswerInPlaceOfAStream(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(n int64, w net.Conn) bool {
		status := "500 Internal Server Error"
		if n > 1 {
			status = "400 Bad Request"
		}
		fmt.Fprintf(w, "HTTP/1.1 %s\r\nContent-Length: 3\r\n\r\nwhy", status)
		return true
	})
	f := &Forwarder{Codec: codec{}}
	defer f.Close()
	_, err := f.Start(t.Context(), u.row, attempt("POST", "/", ""))
	var answered *kingcuphook.AnswerError
	is.True(errors.As(err, &answered))
	is.Equal(answered.Answer.Status(), 500)
	is.Equal(string(answered.Answer.Body()), "why")
	is.True(!errors.Is(err, kingcuphook.ErrRejected))
	_, err = f.Start(t.Context(), u.row, attempt("POST", "/", ""))
	is.True(errors.Is(err, kingcuphook.ErrRejected))
}

func TestConnectionsGoWithTheirProgram(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(_ int64, w net.Conn) bool {
		fmt.Fprint(w, reply("", "answer"))
		return true
	})
	f := &Forwarder{Codec: codec{}}
	defer f.Close()
	call := func(row *kingcuphook.Upstream) {
		_, err := f.Call(t.Context(), row, attempt("POST", "/", ""))
		is.NoErr(err)
	}
	call(u.row)
	call(u.row)
	again := u.row.Fields()
	again.Born = 5
	next := kingcuphook.NewUpstream(again)
	f.Keep(kingcuphook.NewTables(1, nil, []*kingcuphook.Pool{
		kingcuphook.NewPool(kingcuphook.PoolFields{Name: "p", Upstreams: []*kingcuphook.Upstream{next}}),
	}))
	call(next)
	is.Equal(u.conns.Load(), int64(2))
}
