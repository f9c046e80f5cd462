package forwarder

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pathfinder"
	"github.com/kingcuphook/kingcuphook/relayer"
)

var (
	endingPeer  = netip.MustParseAddr("127.0.0.3")
	soundPeer   = netip.MustParseAddr("127.0.0.4")
	routerLocal = netip.MustParseAddr("127.0.0.2")
)

// serveCut starts an upstream with which connections of the router are silent or, with refuses, are
// closed at once. It answers all others.
func serveCut(t *testing.T, refuses bool) *kingcuphook.Upstream {
	t.Helper()
	u := newUpstream(t, func(_ int64, w net.Conn) bool {
		if netip.MustParseAddrPort(w.RemoteAddr().String()).Addr() == routerLocal {
			if !refuses {
				time.Sleep(time.Second)
			}
			return false
		}
		_, err := io.WriteString(w, reply("", "sound"))
		return err == nil
	})
	return u.entry
}

// serveEndingPeer starts a peer that ends under the first call that it carries.
func serveEndingPeer(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		l.Close()
		r := bufio.NewReader(c)
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: kingcuphook-relay\r\n\r\n")
		_, _ = http.ReadRequest(r)
	}()
	return l.Addr().String()
}

// newRelayed returns a forwarder whose path to an upstream is cut and leads through a peer, beside
// another peer that carries connections.
func newRelayed(t *testing.T, u *kingcuphook.Upstream, current netip.Addr) *Forwarder {
	t.Helper()
	return newRelayedBy(t, u, current, newDoor())
}

// newDoor returns the door of a peer that reaches all upstreams.
func newDoor() *relayer.Door {
	return &relayer.Door{
		IsRouter: func(netip.Addr) bool { return true }, IsUpstream: func(kingcuphook.Program) bool { return true },
		LocalAddress: net.TCPAddrFromAddrPort(netip.AddrPortFrom(soundPeer, 0)),
	}
}

// newRelayedBy is newRelayed with the door of the other peer.
func newRelayedBy(t *testing.T, u *kingcuphook.Upstream, current netip.Addr, d *relayer.Door) *Forwarder {
	t.Helper()
	door := httptest.NewServer(d)
	t.Cleanup(door.Close)
	addresses := map[netip.Addr]string{endingPeer: serveEndingPeer(t), soundPeer: door.Listener.Addr().String()}
	f := &Forwarder{
		Codec: codec{}, LocalAddress: net.TCPAddrFromAddrPort(netip.AddrPortFrom(routerLocal, 0)), Paths: &pathfinder.Pathfinder{},
		Peers:       func(*kingcuphook.Upstream) []netip.Addr { return []netip.Addr{endingPeer, soundPeer} },
		PeerAddress: func(a netip.Addr) string { return addresses[a] }, Relayer: &relayer.Relayer{}, ProbePath: "/",
	}
	t.Cleanup(f.Close)
	f.Paths.Resolve(time.Now(), u, pathfinder.Verdict{Peer: current})
	return f
}

// The end of a peer that carried a call counted as a crash of the upstream, which was sound.
func TestEndOfPeerIsNoCrash(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		is := is.New(t)
		u := serveCut(t, refuses)
		_, err := newRelayed(t, u, endingPeer).Call(t.Context(), u, attempt("POST", "/", "body"))
		is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown))
		is.True(errors.Is(err, kingcuphook.ErrPathLost)) // the other peer reaches the upstream
	}
}

// serveCrash starts an upstream that ends under the first call.
func serveCrash(t *testing.T) *kingcuphook.Upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		l.Close()
		c.Close()
	}()
	return kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: l.Addr().String(), Instance: "i-1"})
}

// The crash of an upstream was taken for a lost path if the call came through a peer.
func TestCrashBehindPeerIsNoLostPath(t *testing.T) {
	is := is.New(t)
	u := serveCrash(t)
	_, err := newRelayed(t, u, soundPeer).Call(t.Context(), u, attempt("POST", "/", "body"))
	is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown))
	is.True(!errors.Is(err, kingcuphook.ErrPathLost)) // nobody reaches the upstream
}

// A router whose peers are out of its reach as well, or in doubt about their own links, would take its
// cut for a crash.
func TestUnconfirmedEndBehindPeerIsLostPath(t *testing.T) {
	for name, test := range map[string]struct {
		noPeers, noPath, unsound, down bool
		lost                           bool
	}{
		"no peer in reach":     {noPeers: true, lost: true},
		"peer in doubt":        {unsound: true, lost: true},
		"peer's check pending": {noPath: true, lost: true},
		"peer found it down":   {noPath: true, down: true, lost: false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u, d := serveCrash(t), newDoor()
			var asked, opened atomic.Int64
			d.Reaches = func(kingcuphook.Program) bool { return asked.Add(1) == 1 || !test.noPath }
			d.IsDown = func(kingcuphook.Program) bool { return test.down }
			d.LinksSound = func() bool { return !test.unsound }
			f := newRelayedBy(t, u, soundPeer, d)
			address := f.PeerAddress
			f.PeerAddress = func(a netip.Addr) string {
				if opened.Add(1) > 1 && test.noPeers {
					return "127.0.0.1:1" // nothing listens there
				}
				return address(a)
			}
			_, err := f.Call(t.Context(), u, attempt("POST", "/", "body"))
			is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown))
			is.Equal(errors.Is(err, kingcuphook.ErrPathLost), test.lost)
		})
	}
}

// A call was sent on the direct path, which is cut, from the failure of its peer to the next check.
func TestCallAfterLossOfPeerIsNotSentOnCutPath(t *testing.T) {
	is := is.New(t)
	u := serveCut(t, true)
	f := newRelayed(t, u, endingPeer)
	f.Paths.Withdraw(time.Now(), endingPeer)
	_, err := f.Call(t.Context(), u, attempt("POST", "/", "body"))
	is.NoErr(err) // the other peer was found
}

// Without another peer, the call must count as not sent.
func TestCallWithoutPathIsNotSent(t *testing.T) {
	is := is.New(t)
	u := serveCut(t, false)
	f := newRelayed(t, u, endingPeer)
	f.Peers = func(*kingcuphook.Upstream) []netip.Addr { return nil }
	f.Paths.Withdraw(time.Now(), endingPeer)
	_, err := f.Call(t.Context(), u, attempt("POST", "/", "body"))
	is.True(errors.Is(err, kingcuphook.ErrNotSent))
}
