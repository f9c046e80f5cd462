package forwarder

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo starts a server that sends back what it reads.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 1)
				for {
					if _, err := c.Read(b); err != nil {
						return
					}
					_, _ = c.Write(b)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// ask sends one byte and reads it back.
func ask(c net.Conn) error {
	_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

func TestFaultsBySource(t *testing.T) {
	is := is.New(t)
	cut, other := netip.MustParseAddr("127.19.0.1"), netip.MustParseAddr("127.19.0.2")
	f := &Forwarder{Target: echo(t)}
	address, err := f.ListenFrom(cut, other)
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(f.Close()) })
	dial := func(from netip.Addr) (net.Conn, error) {
		d := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0)), Timeout: 200 * time.Millisecond}
		return d.Dial("tcp", address)
	}
	open := func(from netip.Addr) net.Conn {
		c, err := dial(from)
		is.NoErr(err)
		is.NoErr(ask(c))
		return c
	}
	isReset := func(err error) bool { return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) }
	for _, test := range []struct {
		fault Fault
		// opened checks what happens to an open connection, dialed what does to a new one.
		opened, dialed func(error) bool
	}{
		{FaultHang, isTimeout, isTimeout},
		{FaultReset, isReset, isReset},
		{FaultRefuse, func(err error) bool { return err == nil }, func(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }},
		{FaultResetRefuse, isReset, func(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }},
	} {
		t.Run(string(test.fault), func(t *testing.T) {
			is := is.New(t)
			before, untouched := open(cut), open(other)
			is.NoErr(f.SetFrom(cut, test.fault))
			is.True(test.opened(ask(before)))
			c, err := dial(cut)
			if err == nil {
				err = ask(c)
			}
			is.True(test.dialed(err))
			is.NoErr(ask(untouched))
			is.NoErr(ask(open(other)))
			is.NoErr(f.SetFrom(cut, FaultNone))
			is.NoErr(ask(open(cut)))
			if test.fault == FaultHang {
				_ = before.SetDeadline(time.Now().Add(time.Second))
				_, err = before.Read(make([]byte, 1))
				is.NoErr(err) // what hung arrives
			}
		})
	}
}
