package relayer

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/timekeeper"
	"github.com/kingcuphook/kingcuphook/transporter"
)

// Defaults of Door.
const (
	defaultMax         = 512
	defaultDialTimeout = 250 * time.Millisecond
	defaultIdleTimeout = 2 * time.Minute
	// endTimeout bounds how long a peer may take to close a connection that the upstream has
	// closed.
	endTimeout = 2 * time.Second
)

// Reasons for which connections are refused.
const (
	reasonForeign  = "the sender is not a known router"
	reasonProtocol = "the request is not for a relayed connection"
	reasonUnknown  = "the upstream is not in the tables"
	reasonFull     = "too many relayed connections"
	reasonNoPath   = "this router does not reach the upstream"
	reasonClosed   = "this router carries no connections now"
)

// Values of headerUnreached.
const (
	// unreachedDialed means that no connection could be opened now.
	unreachedDialed = "dialed"
	// unreachedChecked means that a check failed lately.
	unreachedChecked = "checked"
)

// Ends of relayed connections.
const (
	endUpstream = "upstream-closed"
	endPeer     = "peer-closed"
	endBroken   = "upstream-broken"
	endIdle     = "idle"
)

// Relayed is a connection that has ended.
type Relayed struct {
	// ID is the identifier that the peer gave the connection.
	ID string
	// From is the peer, Upstream the address of the upstream.
	From     netip.Addr
	Upstream string
	// Sent and Received are the numbers of bytes to and from the upstream.
	Sent, Received int64
	// Took is how long the connection was open, End what ended it.
	Took time.Duration
	End  string
	// Err is the error that ended it; nil if there was none.
	Err error
}

// Door accepts connections of peers and carries them to upstreams. Its exported fields are set
// before use; then it is safe for concurrent use.
type Door struct {
	// IsRouter reports whether an address is that of a known router; never nil.
	IsRouter func(a netip.Addr) bool
	// IsUpstream reports whether the program is in the tables; never nil.
	IsUpstream func(p kingcuphook.Program) bool
	// Reaches reports whether this router has a direct path to the program; nil means that it
	// has to all.
	Reaches func(p kingcuphook.Program) bool
	// IsDown reports whether this router has found that the program can't be reached; nil means that
	// it has not.
	IsDown func(p kingcuphook.Program) bool
	// LinksSound reports whether nothing speaks against this router's own links to upstreams; nil
	// means that nothing does.
	LinksSound func() bool
	// CarriesNone reports whether this router carries no connections now, since it is stopping or
	// is cut off itself; nil means that it does.
	CarriesNone func() bool
	// LocalAddress is the address that connections to upstreams come from; nil means any.
	LocalAddress net.Addr
	// OnFailure, if set, is called if a connection to an upstream can't be opened.
	OnFailure func(p kingcuphook.Program, err error)
	// OnRefused, if set, is called for each refused connection, OnEnd for each that has ended.
	OnRefused func(from netip.Addr, id, upstream, reason string)
	OnEnd     func(r Relayed)
	// Max is the largest number of relayed connections, of which one peer may have half; 0 means
	// 512.
	Max int64
	// DialTimeout bounds opening a connection to an upstream; 0 means 250 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection on which nothing is sent is kept; 0 means 2 min.
	IdleTimeout time.Duration

	open, refused atomic.Int64

	mu sync.Mutex
	// tunnels are the open connections.
	tunnels map[*tunnel]bool
	// sources counts the open connections by peer.
	sources map[netip.Addr]int
}

// Open returns the number of relayed connections that are open. Peers close those that they don't use
// once they learn that this router carries none, or after some seconds.
func (d *Door) Open() int64 { return d.open.Load() }

// Refused returns the number of connections that were refused.
func (d *Door) Refused() int64 { return d.refused.Load() }

// countFrom returns the number of open connections of a peer.
func (d *Door) countFrom(a netip.Addr) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return int64(d.sources[a])
}

// Sources returns the peers that have open connections.
func (d *Door) Sources() []netip.Addr {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]netip.Addr, 0, len(d.sources))
	for a := range d.sources {
		list = append(list, a)
	}
	return list
}

// Close ends all relayed connections.
func (d *Door) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for t := range d.tunnels {
		_ = t.peer.Close()
		_ = t.upstream.Close()
	}
}

// ServeHTTP implements http.Handler.
func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, id := peerOf(r.RemoteAddr), r.URL.Query().Get(paramID)
	target, ok := parseProgram(r)
	status, reason := d.check(from, id, target, ok && r.Header.Get("Upgrade") == protocol)
	if status != 0 {
		if reason == reasonNoPath && d.IsDown != nil && d.IsDown(target) {
			d.confirm(w, unreachedChecked)
		}
		d.refuse(w, status, reason, from, id, target)
		return
	}
	if d.open.Add(1) > d.max() {
		d.open.Add(-1)
		d.refuse(w, http.StatusTooManyRequests, reasonFull, from, id, target)
		return
	}
	defer d.open.Add(-1)
	keeper := timekeeper.Start()
	upstream, err := d.dial(r.Context(), target)
	isExcused := keeper.Excuses(err)
	if err != nil {
		if d.OnFailure != nil {
			d.OnFailure(target, err)
		}
		if !isExcused {
			d.confirm(w, unreachedDialed)
		}
		d.refuse(w, http.StatusBadGateway, err.Error(), from, id, target)
		return
	}
	defer func() { _ = upstream.Close() }()
	d.carry(w, upstream, Relayed{ID: id, From: from, Upstream: target.Address()})
}

// check returns the status and the reason of a refusal, or status 0.
func (d *Door) check(from netip.Addr, id string, p kingcuphook.Program, valid bool) (status int, reason string) {
	switch {
	case !from.IsValid() || !d.IsRouter(from):
		return http.StatusForbidden, reasonForeign
	case !valid || id == "" || len(id) > maxIDBytes:
		return http.StatusBadRequest, reasonProtocol
	case d.CarriesNone != nil && d.CarriesNone():
		return http.StatusServiceUnavailable, reasonClosed
	case d.countFrom(from) >= (d.max()+1)/2 && d.max() > 1:
		return http.StatusTooManyRequests, reasonFull
	case !d.IsUpstream(p):
		return http.StatusNotFound, reasonUnknown
	case d.Reaches != nil && !d.Reaches(p):
		return http.StatusBadGateway, reasonNoPath
	}
	return 0, ""
}

func (d *Door) max() int64 {
	if d.Max > 0 {
		return d.Max
	}
	return defaultMax
}

func (d *Door) refuse(w http.ResponseWriter, status int, reason string, from netip.Addr, id string, p kingcuphook.Program) {
	d.refused.Add(1)
	if d.OnRefused != nil {
		d.OnRefused(from, id, p.Address(), reason)
	}
	http.Error(w, reason, status)
}

// confirm tells the peer that the upstream can't be reached from here either, unless the links of this
// router may be at fault.
func (d *Door) confirm(w http.ResponseWriter, how string) {
	if d.LinksSound == nil || d.LinksSound() {
		w.Header().Set(headerUnreached, how)
	}
}

// peerConn is a connection of a peer, of which one direction can be closed.
type peerConn interface {
	net.Conn
	CloseWrite() error
	SetLinger(sec int) error
}

func (d *Door) dial(ctx context.Context, p kingcuphook.Program) (*net.TCPConn, error) {
	timeout := d.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	dialer := net.Dialer{Timeout: timeout, LocalAddr: d.LocalAddress, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	c, err := dialer.DialContext(ctx, "tcp", p.Address())
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		c.Close()
		return nil, errors.ErrUnsupported
	}
	return tcp, nil
}

// carry takes over the connection of the peer and copies until one side ends.
func (d *Door) carry(w http.ResponseWriter, upstream *net.TCPConn, r Relayed) {
	hijacked, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer hijacked.Close()
	_ = hijacked.SetDeadline(time.Time{})
	peer, ok := hijacked.(peerConn)
	if !ok {
		return
	}
	const head = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"
	if _, err := peer.Write([]byte(head)); err != nil {
		return
	}
	begun := time.Now()
	t := &tunnel{peer: peer, upstream: upstream, early: buffered.Reader, idle: d.IdleTimeout}
	if t.idle == 0 {
		t.idle = defaultIdleTimeout
	}
	t.last.Store(begun.UnixNano())
	d.add(t, r.From)
	defer d.remove(t, r.From)
	r.End, r.Err = t.run()
	r.Sent, r.Received, r.Took = t.sent.Load(), t.received.Load(), time.Since(begun)
	if d.OnEnd != nil {
		d.OnEnd(r)
	}
}

// add records an open connection of a peer, remove its end.
func (d *Door) add(t *tunnel, from netip.Addr) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sources == nil {
		d.sources = make(map[netip.Addr]int)
		d.tunnels = make(map[*tunnel]bool)
	}
	d.sources[from]++
	d.tunnels[t] = true
}

func (d *Door) remove(t *tunnel, from netip.Addr) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.tunnels, t)
	d.sources[from]--
	if d.sources[from] == 0 {
		delete(d.sources, from)
	}
}

// parseProgram returns the program that a request asks for.
func parseProgram(r *http.Request) (kingcuphook.Program, bool) {
	q := r.URL.Query()
	start, err := strconv.ParseInt(q.Get(paramStart), 10, 64)
	return kingcuphook.NewProgram(q.Get(paramAddress), q.Get(paramInstance), start), err == nil && q.Get(paramAddress) != ""
}

// tunnel copies the bytes between a peer and an upstream.
type tunnel struct {
	peer     peerConn
	upstream *net.TCPConn
	// early has the bytes of the peer that came with its request.
	early io.Reader
	idle  time.Duration

	// writes are those to the upstream.
	writes transporter.WriteRecord

	sent, received atomic.Int64
	// last is when bytes were last copied, in Unix nanoseconds.
	last atomic.Int64
	// ended is true once the upstream has closed the connection.
	ended atomic.Bool
}

// run copies until one side ends, ends the other, and returns what ended the connection.
func (t *tunnel) run() (end string, err error) {
	peerDone, upstreamDone := make(chan struct{}), make(chan struct{})
	var peerErr, upstreamErr error
	go func() { peerErr = t.copyToUpstream(); close(peerDone) }()
	go func() { upstreamErr = t.copyToPeer(); close(upstreamDone) }()
	select {
	case <-peerDone:
		// The peer uses no half-closed connections: its request has ended or was cancelled.
		end, err = endPeer, peerErr
		if t.ended.Load() {
			end = endUpstream
		}
		_ = t.upstream.Close()
		t.abort()
	case <-upstreamDone:
		end, err = endOf(upstreamErr), upstreamErr
		if err != nil {
			t.abort()
		}
		_ = t.upstream.Close()
		_ = t.peer.SetReadDeadline(time.Now().Add(endTimeout))
	}
	<-peerDone
	<-upstreamDone
	return end, err
}

// endOf returns what ended a connection on which the upstream's bytes were copied until err.
func endOf(err error) string {
	switch {
	case err == nil:
		return endUpstream
	case errors.Is(err, errIdle):
		return endIdle
	case errors.Is(err, errPeerGone):
		return endPeer
	default:
		return endBroken
	}
}

// abort resets the connection of the peer.
func (t *tunnel) abort() {
	_ = t.peer.SetLinger(0)
	_ = t.peer.Close()
}

// copyToUpstream copies the bytes of the peer. Those that the upstream doesn't accept any more are
// dropped, since it may have sent an answer before.
func (t *tunnel) copyToUpstream() error {
	buffer := make([]byte, blockBytes)
	accepts := true
	for {
		n, err := t.early.Read(buffer)
		if n > 0 {
			t.copied(&t.sent, n)
			if accepts {
				_, err := t.writes.Write(buffer[:n], t.upstream.Write)
				accepts = err == nil
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// copyToPeer copies the bytes of the upstream in blocks, and the end mark once the upstream has
// closed the connection.
func (t *tunnel) copyToPeer() error {
	buffer := make([]byte, headerBytes+blockBytes)
	for {
		n, err := t.read(buffer[headerBytes:])
		if errors.Is(err, io.EOF) {
			err = cmp.Or(t.writes.Broken(t.upstream.SetWriteDeadline), err)
		}
		if n > 0 {
			t.copied(&t.received, n)
			if err := t.writeBlock(buffer, n); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			t.ended.Store(true)
			if err := t.writeBlock(buffer, 0); err != nil {
				return err
			}
			return t.peer.CloseWrite()
		}
		if err != nil {
			return err
		}
	}
}

// writeBlock writes a block with n bytes of data, which stand behind room for its header.
func (t *tunnel) writeBlock(buffer []byte, n int) error {
	binary.BigEndian.PutUint16(buffer, uint16(n))
	if _, err := t.peer.Write(buffer[:headerBytes+n]); err != nil {
		return fmt.Errorf("%w: %w", errPeerGone, err)
	}
	return nil
}

var (
	// errIdle means that nothing was sent on a connection for its idle timeout.
	errIdle = errors.New("nothing sent for long")
	// errPeerGone means that nothing can be sent to the peer any more.
	errPeerGone = errors.New("peer gone")
)

// read reads from the upstream. The error is errIdle if neither side has sent anything for the
// idle timeout.
func (t *tunnel) read(p []byte) (int, error) {
	for {
		left := time.Until(time.Unix(0, t.last.Load()).Add(t.idle))
		if left <= 0 {
			return 0, errIdle
		}
		_ = t.upstream.SetReadDeadline(time.Now().Add(left))
		n, err := t.upstream.Read(p)
		var timeout net.Error
		if n == 0 && errors.As(err, &timeout) && timeout.Timeout() {
			continue
		}
		return n, err
	}
}

// copied counts bytes.
func (t *tunnel) copied(count *atomic.Int64, n int) {
	count.Add(int64(n))
	t.last.Store(time.Now().UnixNano())
}
