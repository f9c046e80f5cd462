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

// codec takes the kind of a reply from its X-Reply header, and the upstream's notice
// from X-Leaves and the status: each step above 200 asks for a pause of 1 s.
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

// upstream is a test server that parses requests and lets the test write the raw
// bytes of each response.
type upstream struct {
	// entry is the upstream as the tables list it.
	entry    *kingcuphook.Upstream
	conns    atomic.Int64
	requests atomic.Int64
	// seen receives the method, path, instance header and body of each request.
	seen chan string
}

// newUpstream starts an upstream. It calls serve with the number of each request,
// from 1 on, and closes the connection when serve returns false.
func newUpstream(t *testing.T, serve func(n int64, w net.Conn) (keep bool)) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	u := &upstream{
		entry: kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: l.Addr().String(), Instance: "i-1"}),
		seen:  make(chan string, 100),
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

// reply returns a response of status 200 with the header lines and the body.
func reply(header, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// TestCallIsForwardedUnchanged checks that upstreams get the path as the caller wrote
// it, that hop-by-hop headers are removed from answers, and that one connection
// carries all calls.
func TestCallIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(_ int64, w net.Conn) bool {
		fmt.Fprint(w, reply("X-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\n", "answer"))
		return true
	})
	f := &Forwarder{Codec: codec{}}
	defer f.Close()
	for _, path := range []string{"/a//b/../c?x=%2F&y", "//odd/path?q=1", "/%41/", "//cups/a%2Fb?x=1", "//cups/50%25", "//cups/?", "///%c3%a4"} {
		a, err := f.Call(t.Context(), u.entry, attempt("POST", path, "body"))
		is.NoErr(err)
		is.Equal(string(a.Body()), "answer")
		is.Equal(a.Header().Get("X-Own"), "1")
		is.Equal(a.Header().Get("X-Hop"), "") // hop-by-hop, as listed in Connection
		is.Equal(<-u.seen, "POST "+path+" i-1 body")
	}
	is.Equal(u.conns.Load(), int64(1))
}

func TestPathThatWouldBeChangedIsNotSendable(t *testing.T) {
	is := is.New(t)
	for path, sendable := range map[string]bool{"/a\"b": true, "//a%2Fb?x=\"": true, "//a/?": true, "//a\"b": false, "//\u00e4": false} {
		is.Equal(IsSendable(path), sendable)
	}
}

// TestNoticesAreReported checks that notices in answers and in not-run replies reach
// OnNotice, and that those in replies to another call or from another program don't.
func TestNoticesAreReported(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(n int64, w net.Conn) bool {
		switch n {
		case 1:
			fmt.Fprint(w, reply("X-Leaves: 1\r\n", "answer"))
		case 2:
			fmt.Fprint(w, "HTTP/1.1 203 Other\r\nX-Reply: not-run\r\nContent-Length: 0\r\n\r\n")
		case 3:
			// The reply belongs to another call, so its notice may be stale.
			fmt.Fprint(w, reply("X-Leaves: 1\r\nX-Reply: foreign\r\n", ""))
		case 4:
			fmt.Fprint(w, reply("X-Leaves: 1\r\nX-Reply: misdirected\r\n", ""))
		default:
			fmt.Fprint(w, reply("", "answer"))
		}
		return true
	})
	var notices []kingcuphook.Notice
	start := time.Now()
	f := &Forwarder{Codec: codec{}, OnNotice: func(at *kingcuphook.Upstream, n kingcuphook.Notice, sentAt time.Time) {
		is.Equal(at, u.entry)
		is.True(sentAt.After(start))
		notices = append(notices, n)
	}}
	defer f.Close()
	for range 5 {
		_, err := f.Call(t.Context(), u.entry, attempt("POST", "/", ""))
		is.True(err == nil || errors.Is(err, kingcuphook.ErrUnavailable) || errors.Is(err, kingcuphook.ErrForeignFrame))
	}
	is.Equal(notices, []kingcuphook.Notice{kingcuphook.NewNotice(true, 0), kingcuphook.NewNotice(false, 3*time.Second), {}})
}

// TestFailedCallErrors checks that the error of a failed call shows whether the call
// may have run: it wraps ErrUnavailable only if the upstream can't have run it, and
// ErrNotSent only if there was no connection.
func TestFailedCallErrors(t *testing.T) {
	unreachable := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: "127.0.0.1:1"})
	for name, test := range map[string]struct {
		reply   string
		want    []error
		notWant []error
	}{
		"not run":      {reply("X-Reply: not-run\r\n", ""), []error{kingcuphook.ErrUnavailable, kingcuphook.ErrOverloaded}, []error{kingcuphook.ErrNotSent}},
		"misdirected":  {reply("X-Reply: misdirected\r\n", ""), []error{kingcuphook.ErrUnavailable, kingcuphook.ErrMisdirected}, []error{kingcuphook.ErrNotSent}},
		"foreign":      {reply("X-Reply: foreign\r\n", ""), []error{kingcuphook.ErrOutcomeUnknown, kingcuphook.ErrForeignFrame}, []error{kingcuphook.ErrUnavailable}},
		"no reply":     {"", []error{kingcuphook.ErrOutcomeUnknown}, []error{kingcuphook.ErrUnavailable}},
		"no HTTP":      {"nonsense\r\n\r\n", []error{kingcuphook.ErrOutcomeUnknown}, []error{kingcuphook.ErrUnavailable}},
		"early end":    {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", []error{kingcuphook.ErrOutcomeUnknown}, []error{kingcuphook.ErrUnavailable}},
		"unreachable":  {"-", []error{kingcuphook.ErrUnavailable, kingcuphook.ErrNotSent}, []error{kingcuphook.ErrOutcomeUnknown}},
		"no status":    {"HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\nok", []error{kingcuphook.ErrOutcomeUnknown}, nil},
		"switch":       {"HTTP/1.1 101 Switching Protocols\r\nContent-Length: 2\r\n\r\nok", []error{kingcuphook.ErrOutcomeUnknown}, nil},
		"broken chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe", []error{kingcuphook.ErrOutcomeUnknown}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, func(_ int64, w net.Conn) bool {
				fmt.Fprint(w, test.reply)
				return false
			}).entry
			if test.reply == "-" {
				u = unreachable
			}
			f := &Forwarder{Codec: codec{}}
			defer f.Close()
			_, err := f.Call(t.Context(), u, attempt("POST", "/", "body"))
			for _, want := range test.want {
				is.True(errors.Is(err, want))
			}
			for _, notWant := range test.notWant {
				is.True(!errors.Is(err, notWant))
			}
		})
	}
}

// TestTransportDoesNotRetrySentRequest closes a reused connection instead of answering
// the second call on it. The HTTP transport would retry a GET there, which could run
// the call twice although the dispatcher counts one attempt.
func TestTransportDoesNotRetrySentRequest(t *testing.T) {
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
		_, err := f.Call(t.Context(), u.entry, attempt(method, "/", ""))
		is.NoErr(err)
		_, err = f.Call(t.Context(), u.entry, attempt(method, "/", ""))
		is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown))
		is.Equal(u.requests.Load(), int64(2))
	}
}

// TestTruncatedStreamIsBroken checks that a stream ends with its end frame only if the
// body ended between events and as its encoding requires, and with ErrBrokenStream
// otherwise.
func TestTruncatedStreamIsBroken(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	for name, test := range map[string]struct {
		reply    string
		want     string
		complete bool
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
			s, err := f.Start(t.Context(), u.entry, attempt("POST", "/", ""))
			is.NoErr(err)
			defer func() { _ = s.Close() }()
			is.Equal(s.(kingcuphook.HeadedStream).Head().Header().Get("X-Own"), "1")
			got, raw := "", ""
			for {
				fr, err := s.Next(t.Context())
				if err != nil {
					is.True(errors.Is(err, kingcuphook.ErrBrokenStream))
					is.True(!test.complete)
					break
				}
				if fr.Kind() == kingcuphook.FrameKindEnd {
					is.True(test.complete)
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

// TestCommentsAreNotEvents checks that comments between events are passed on, but not
// as frames of their own: a stalled upstream that only sends comments must not count
// as making progress.
func TestCommentsAreNotEvents(t *testing.T) {
	const comments = ": still here\n\n: still here\n\n"
	for name, test := range map[string]struct {
		body     string
		want     []string
		complete bool
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
			s, err := f.Start(t.Context(), u.entry, attempt("POST", "/", ""))
			is.NoErr(err)
			defer func() { _ = s.Close() }()
			for _, want := range test.want {
				fr, err := s.Next(t.Context())
				is.NoErr(err)
				is.Equal(fr.Kind(), kingcuphook.FrameKindData)
				is.Equal(fr.Text(), want)
			}
			fr, err := s.Next(t.Context())
			is.Equal(err == nil, test.complete)
			if test.complete {
				is.Equal(fr.Kind(), kingcuphook.FrameKindFinish)
			}
		})
	}
}

// TestAnswerInsteadOfStream checks that Start returns an error status as an
// AnswerError with the answer, and as ErrRejected only for a status below 500.
func TestAnswerInsteadOfStream(t *testing.T) {
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
	_, err := f.Start(t.Context(), u.entry, attempt("POST", "/", ""))
	var answered *kingcuphook.AnswerError
	is.True(errors.As(err, &answered))
	is.Equal(answered.Answer.Status(), 500)
	is.Equal(string(answered.Answer.Body()), "why")
	is.True(!errors.Is(err, kingcuphook.ErrRejected))
	_, err = f.Start(t.Context(), u.entry, attempt("POST", "/", ""))
	is.True(errors.Is(err, kingcuphook.ErrRejected))
}

// TestRestartedUpstreamGetsNewConnection checks that the connection to a program isn't
// reused for the next start of the program at the same address.
func TestRestartedUpstreamGetsNewConnection(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(_ int64, w net.Conn) bool {
		fmt.Fprint(w, reply("", "answer"))
		return true
	})
	f := &Forwarder{Codec: codec{}}
	defer f.Close()
	call := func(entry *kingcuphook.Upstream) {
		_, err := f.Call(t.Context(), entry, attempt("POST", "/", ""))
		is.NoErr(err)
	}
	call(u.entry)
	call(u.entry)
	fields := u.entry.Fields()
	fields.StartTime = 5
	restarted := kingcuphook.NewUpstream(fields)
	f.CloseUnused(kingcuphook.NewTables(1, nil, []*kingcuphook.Pool{
		kingcuphook.NewPool(kingcuphook.PoolFields{Name: "p", Upstreams: []*kingcuphook.Upstream{restarted}}),
	}))
	call(restarted)
	is.Equal(u.conns.Load(), int64(2))
}
