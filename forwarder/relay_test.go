package forwarder

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
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
	door := httptest.NewServer(&relayer.Door{
		IsRouter: func(netip.Addr) bool { return true }, IsUpstream: func(kingcuphook.Program) bool { return true },
		LocalAddress: net.TCPAddrFromAddrPort(netip.AddrPortFrom(soundPeer, 0)),
	})
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

// The crash of an upstream was taken for a lost path if the call came through a peer.
func TestCrashBehindPeerIsNoLostPath(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		l.Close()
		c.Close()
	}()
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: l.Addr().String(), Instance: "i-1"})
	_, err = newRelayed(t, u, soundPeer).Call(t.Context(), u, attempt("POST", "/", "body"))
	is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown))
	is.True(!errors.Is(err, kingcuphook.ErrPathLost)) // nobody reaches the upstream
}
