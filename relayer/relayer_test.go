package relayer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// testDoor is a door before an upstream that hands its connections to the test.
type testDoor struct {
	*is.I
	*Door
	t       *testing.T
	address string
	program kingcuphook.Program
	// accepted has the connections that the upstream accepted, ended what the door reported.
	accepted chan *net.TCPConn
	ended    chan Relayed
	refused  chan string
}

func newTestDoor(t *testing.T) *testDoor {
	d := &testDoor{I: is.New(t), t: t, accepted: make(chan *net.TCPConn, 8), ended: make(chan Relayed, 8), refused: make(chan string, 8)}
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	d.NoErr(err)
	t.Cleanup(func() { upstream.Close() })
	go func() {
		for {
			c, err := upstream.Accept()
			if err != nil {
				return
			}
			d.accepted <- c.(*net.TCPConn)
		}
	}()
	d.program = kingcuphook.NewProgram(upstream.Addr().String(), "i-1", 17)
	d.Door = &Door{
		IsRouter:   func(a netip.Addr) bool { return a == netip.MustParseAddr("127.0.0.1") },
		IsUpstream: func(p kingcuphook.Program) bool { return p == d.program },
		OnEnd:      func(r Relayed) { d.ended <- r },
		OnRefused:  func(_ netip.Addr, _, _, reason string) { d.refused <- reason },
	}
	server := httptest.NewServer(d.Door)
	t.Cleanup(server.Close)
	d.address = server.Listener.Addr().String()
	return d
}

// open opens a connection through the door and returns both its ends.
func (d *testDoor) open() (c *Conn, upstream *net.TCPConn) {
	d.t.Helper()
	c, err := (&Relayer{}).Dial(d.t.Context(), d.address, d.program, "c-1")
	d.NoErr(err)
	d.t.Cleanup(func() { c.Close() })
	upstream = <-d.accepted
	d.t.Cleanup(func() { _ = upstream.Close() })
	return c, upstream
}

// refuses checks that the door refuses a connection from a local address to a program.
func (d *testDoor) refuses(source string, p kingcuphook.Program, reason string) {
	d.t.Helper()
	_, err := (&Relayer{LocalAddress: &net.TCPAddr{IP: net.ParseIP(source)}}).Dial(d.t.Context(), d.address, p, "c-2")
	forAll := reason == reasonForeign || reason == reasonFull || reason == reasonClosed
	d.Equal(errors.Is(err, ErrCarriesNone), forAll)
	d.Equal(errors.Is(err, ErrRefused), !forAll)
	d.True(errors.Is(err, kingcuphook.ErrNotSent))
	d.Equal(<-d.refused, reason)
	select {
	case <-d.accepted:
		d.t.Error("the door opened a connection to the upstream")
	default:
	}
}

// Callers could otherwise reach upstreams, or what isn't one, past all rules of a router.
func TestDoorOpensOnlyForRoutersAndToUpstreams(t *testing.T) {
	d := newTestDoor(t)
	d.refuses("127.0.0.2", d.program, reasonForeign)
	d.refuses("127.0.0.1", kingcuphook.NewProgram(d.program.Address(), "i-2", 17), reasonUnknown)
	d.refuses("127.0.0.1", kingcuphook.NewProgram(d.program.Address(), "i-1", 18), reasonUnknown)
	d.refuses("127.0.0.1", kingcuphook.NewProgram("127.0.0.1:1", "i-1", 17), reasonUnknown)

	resp, err := http.Get("http://" + d.address + Path)
	d.NoErr(err)
	resp.Body.Close()
	d.Equal(resp.StatusCode, http.StatusBadRequest)
	d.Equal(d.Refused(), int64(5))
}

// A helper would pass a connection on in a circle, or be swamped.
func TestDoorRefusesWhatItCannotCarry(t *testing.T) {
	d := newTestDoor(t)
	closed, reaches := false, true
	d.CarriesNone = func() bool { return closed }
	d.Reaches = func(kingcuphook.Program) bool { return reaches }
	d.Max = 1
	c, _ := d.open()
	d.refuses("127.0.0.1", d.program, reasonFull)
	c.Close()
	<-d.ended
	for d.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
	reaches = false
	d.refuses("127.0.0.1", d.program, reasonNoPath)
	closed = true
	d.refuses("127.0.0.1", d.program, reasonClosed)
}

// An answer without a length that the path cut off looked complete.
func TestEndsCrossARelayedConnection(t *testing.T) {
	t.Run("closed", func(t *testing.T) {
		d := newTestDoor(t)
		c, upstream := d.open()
		long := strings.Repeat("answer ", 5000)
		go func() { _, _ = io.WriteString(upstream, long); _ = upstream.Close() }()
		got, err := io.ReadAll(c)
		d.NoErr(err)
		d.Equal(string(got), long)
		c.Close()
		end := <-d.ended
		d.Equal(end.End, endUpstream)
		d.Equal(end.Received, int64(len(long)))
		d.Equal(end.ID, "c-1")
	})
	t.Run("reset", func(t *testing.T) {
		d := newTestDoor(t)
		c, upstream := d.open()
		_, _ = io.WriteString(upstream, "half")
		buffer := make([]byte, 8)
		n, err := c.Read(buffer)
		d.NoErr(err)
		d.Equal(string(buffer[:n]), "half")
		d.NoErr(upstream.SetLinger(0))
		_ = upstream.Close()
		_, err = c.Read(buffer)
		d.True(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrUnexpectedEOF))
		end := <-d.ended
		d.Equal(end.End, endBroken)
	})
	t.Run("cancelled", func(t *testing.T) {
		d := newTestDoor(t)
		c, upstream := d.open()
		_, err := io.WriteString(c, "request")
		d.NoErr(err)
		buffer := make([]byte, 7)
		_, err = io.ReadFull(upstream, buffer)
		d.NoErr(err)
		d.Equal(d.Open(), int64(1))
		c.Close()
		d.NoErr(upstream.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = upstream.Read(buffer)
		d.True(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET))
		end := <-d.ended
		d.Equal(end.End, endPeer)
		d.Equal(end.Sent, int64(7))
	})
}

// A helper whose process is killed closes its connections like an upstream that has ended an answer.
func TestEndOfTheHelperIsNoEndOfAnAnswer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n\x00\x04half")
		c.Close()
	}()
	c, err := (&Relayer{}).Dial(t.Context(), l.Addr().String(), kingcuphook.NewProgram("10.0.0.1:1", "i", 0), "c-1")
	is.NoErr(err)
	defer c.Close()
	got, err := io.ReadAll(c)
	is.Equal(string(got), "half")
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// Connections that nobody uses any more were kept for ever.
func TestIdleConnectionsEnd(t *testing.T) {
	d := newTestDoor(t)
	d.IdleTimeout = 50 * time.Millisecond
	c, _ := d.open()
	_, err := c.Read(make([]byte, 1))
	d.True(err != nil && !errors.Is(err, io.EOF))
	end := <-d.ended
	d.Equal(end.End, endIdle)
}

// A helper stopped under streams whose upstreams were silent: only a connection that is closed carries none.
func TestSilentConnectionIsOpen(t *testing.T) {
	for _, answer := range []string{"", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n"} {
		d := newTestDoor(t)
		c, upstream := d.open()
		_, err := c.Write([]byte("POST / HTTP/1.1\r\n\r\n"))
		d.NoErr(err)
		_, err = upstream.Read(make([]byte, 100))
		d.NoErr(err)
		_, err = upstream.Write([]byte(answer))
		d.NoErr(err)
		_, err = io.ReadFull(c, make([]byte, len(answer)))
		d.NoErr(err)
		d.mu.Lock()
		for carried := range d.tunnels {
			carried.last.Add(-int64(time.Minute)) // the upstream has been silent since
		}
		d.mu.Unlock()
		d.Equal(d.Open(), int64(1))
		d.NoErr(c.Close())
		<-d.ended
	}
}

// A router took the crash of an upstream for a lost path, since a refusal did not tell who is at fault.
func TestRefusalTellsThatPeerDoesNotReachUpstream(t *testing.T) {
	d := newTestDoor(t)
	sound, down, reaches := true, false, true
	d.LinksSound = func() bool { return sound }
	d.IsDown = func(kingcuphook.Program) bool { return down }
	d.Reaches = func(kingcuphook.Program) bool { return reaches }
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	d.NoErr(err)
	unused.Close()
	d.program = kingcuphook.NewProgram(unused.Addr().String(), "i-1", 17)
	confirms := func() bool {
		_, err := (&Relayer{}).Dial(t.Context(), d.address, d.program, "c-1")
		d.True(errors.Is(err, ErrRefused))
		return errors.Is(err, ErrUnreached)
	}
	d.True(confirms()) // its dial fails
	reaches = false
	d.True(!confirms()) // its check decides
	down = true
	d.True(confirms()) // its check failed
	sound = false
	d.True(!confirms()) // its own links may be at fault
}

// A peer that stood still during its dial told that it does not reach an upstream.
func TestStandstillOfPeerConfirmsNothing(t *testing.T) {
	d := newTestDoor(t)
	d.program = kingcuphook.NewProgram(listenFull(t), "i-1", 17)
	confirms := func() bool {
		_, err := (&Relayer{}).Dial(t.Context(), d.address, d.program, "c-1")
		d.True(errors.Is(err, ErrRefused))
		return errors.Is(err, ErrUnreached)
	}
	d.Reaches = func(kingcuphook.Program) bool { return standStill(t) }
	for tries := 1; confirms(); tries++ {
		d.True(tries < 5) // the process may have been stopped before the dial
	}
	d.Reaches = nil
	until := time.Now().Add(10 * time.Second)
	for !confirms() { // as soon as timers are in time
		d.True(time.Now().Before(until))
	}
}

// standStill lets this process be stopped right after it returns, for longer than a dial may take.
func standStill(t *testing.T) bool {
	t.Helper()
	stopper := exec.Command("sh", "-c", "echo; sleep 0.05; kill -STOP $PPID; sleep 0.6; kill -CONT $PPID")
	out, err := stopper.StdoutPipe()
	if err != nil {
		t.Error(err)
		return false
	}
	if err := stopper.Start(); err != nil {
		t.Error(err)
		return false
	}
	t.Cleanup(func() { _ = stopper.Wait() })
	_, err = out.Read(make([]byte, 1))
	return err == nil
}

// listenFull returns the address of a socket whose queue of connections is full: further dials hang.
func listenFull(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	is.NoErr(err)
	address := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	for range 3 {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
	return address
}
