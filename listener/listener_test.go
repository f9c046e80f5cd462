package listener

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/discarder"
	"github.com/kingcuphook/kingcuphook/rationer"
)

func TestHeadEndsAtEmptyLine(t *testing.T) {
	for _, end := range []string{"\r\n", "\n"} {
		text := "GET / HTTP/1.1" + end + "A: b" + end + end
		for size := 1; size <= len(text); size++ {
			is := is.New(t)
			h := &conn{reading: true}
			for rest := text; rest != ""; {
				is.True(h.reading)
				n := min(size, len(rest))
				h.count([]byte(rest[:n]))
				rest = rest[n:]
			}
			h.count([]byte("\n\n\n"))
			is.Equal(h.reading, false)
			is.Equal(h.lines, int64(3))
		}
	}
}

// Calls on open connections were late while thousands of new ones were accepted in a row.
func TestFewConnectionsAreAcceptedBeforeTheyAreServed(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	accepted := make(chan net.Conn, maxStarting+2)
	heads := &Listener{
		Listener: l,
		Limits: func() kingcuphook.HeadLimits {
			return kingcuphook.HeadLimits{Bytes: 64 << 10, Timeout: 5 * time.Second}
		},
		Discards: &discarder.Discarder{},
	}
	go func() {
		defer close(accepted)
		for {
			conn, err := heads.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	unserved := make([]net.Conn, 0, maxStarting+2)
	for range maxStarting + 2 {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer conn.Close()
	}
	for range maxStarting {
		unserved = append(unserved, <-accepted)
	}
	select {
	case <-accepted:
		t.Fatal("accepted beside connections that are not served")
	case <-time.After(50 * time.Millisecond):
	}
	is.NoErr(unserved[0].SetReadDeadline(time.Unix(1, 0)))
	_, err = unserved[0].Read(make([]byte, 1)) // a caller that sends nothing holds up nobody
	is.True(err != nil)
	unserved = append(unserved, <-accepted)
	is.NoErr(unserved[1].Close())
	unserved = append(unserved, <-accepted)
	is.NoErr(l.Close())
	for _, conn := range unserved {
		_ = conn.Close()
	}
	<-accepted
}

// A connection that the handler takes over has no state of its end, and would keep its memory.
func TestTakenOverConnectionReturnsItsMemory(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	memory := &rationer.Rationer{Bytes: 1 << 20}
	server := &http.Server{ReadHeaderTimeout: time.Second, ConnState: ObserveState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		taken, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(taken, "taken")
		_ = taken.Close()
	})}
	defer func() { is.NoErr(server.Close()) }()
	limited := &Listener{
		Listener: l, Memory: memory, Discards: &discarder.Discarder{},
		Limits: func() kingcuphook.HeadLimits { return kingcuphook.HeadLimits{} },
	}
	go func() { _ = server.Serve(limited) }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	text, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(text), "taken")
	for began := time.Now(); memory.Usage().Held > 0; time.Sleep(time.Millisecond) {
		is.True(time.Since(began) < time.Second)
	}
	is.Equal(memory.Usage().Peak, int64(ConnectionBytes))
}
