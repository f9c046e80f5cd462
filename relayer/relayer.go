// Package relayer carries connections to upstreams through another router: a router that
// can't reach an upstream opens a connection to a peer, which opens one to the upstream and
// copies the bytes of both. The peer interprets none of them, and never passes a connection on
// to a third router. The bytes from the upstream come in blocks with an end mark, so that an
// answer that ends with its connection can't look complete if the peer fails.
package relayer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Path is the path of the HTTP endpoint.
const Path = "/relay"

const (
	// protocol is the value of the Upgrade header.
	protocol = "kingcuphook-relay"
	// paramAddress, paramInstance and paramStart identify the program of the upstream,
	// paramID the connection.
	paramAddress  = "address"
	paramInstance = "instance"
	paramStart    = "start"
	paramID       = "id"
	// headerUnreached in a refusal means that the peer found itself that the upstream can't be
	// reached.
	headerUnreached = "Kingcuphook-Unreached"
	// maxIDBytes bounds the identifier of a connection.
	maxIDBytes = 200
	// maxReasonBytes bounds the reason of a refusal that an error repeats.
	maxReasonBytes = 200
	// maxReplyBytes bounds the reply of a peer.
	maxReplyBytes = 8 << 10
	// headerBytes is the length of the header of a block, which has the length of its data;
	// 0 is the end mark.
	headerBytes = 2
	// blockBytes is the largest length of the data of a block.
	blockBytes = 4 << 10
	// keepAliveInterval and keepAliveProbes are those of connections to peers.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

var (
	// ErrRefused means that the peer is reached and can't carry the connection to this upstream.
	ErrRefused = errors.New("refused by the peer")
	// ErrUnreached means that the peer is reached and has found itself that the upstream can't be
	// reached. It is joined with ErrRefused.
	ErrUnreached = errors.New("not reached by the peer either")
	// ErrCarriesNone means that the peer is reached and carries no connections now.
	ErrCarriesNone = errors.New("peer carries no connections now")
)

// Relayer opens connections to upstreams through peers. It is safe for concurrent use.
type Relayer struct {
	// LocalAddress is the address that connections come from; nil means any. The peer must
	// know it as that of a router.
	LocalAddress net.Addr
}

// Dial opens a connection to the program of an upstream through the peer at an address. The
// identifier names the connection in the logs of both routers. An error wraps
// kingcuphook.ErrNotSent, ErrRefused or ErrCarriesNone if the peer refuses, and ErrUnreached if the
// peer doesn't reach the upstream either.
func (r *Relayer) Dial(ctx context.Context, peer string, p kingcuphook.Program, id string) (*Conn, error) {
	c, err := r.dial(ctx, peer, p, id)
	if err != nil {
		return nil, fmt.Errorf("relayer: %s through peer %s: %w: %w", p.Address(), peer, kingcuphook.ErrNotSent, err)
	}
	return c, nil
}

func (r *Relayer) dial(ctx context.Context, peer string, p kingcuphook.Program, id string) (*Conn, error) {
	d := net.Dialer{LocalAddr: r.LocalAddress, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	opened, err := d.DialContext(ctx, "tcp", peer)
	if err != nil {
		return nil, err
	}
	// The end of ctx ends the handshake, but not the connection.
	stop := context.AfterFunc(ctx, func() { _ = opened.SetDeadline(time.Unix(1, 0)) })
	buffered, err := shakeHands(opened, peer, p, id)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		opened.Close()
		return nil, err
	}
	return &Conn{Conn: opened, r: buffered, id: id}, nil
}

// shakeHands asks the peer to carry the connection and reads its reply.
func shakeHands(c net.Conn, peer string, p kingcuphook.Program, id string) (*bufio.Reader, error) {
	query := url.Values{
		paramAddress: {p.Address()}, paramInstance: {p.Instance()}, paramStart: {strconv.FormatInt(p.StartTime(), 10)}, paramID: {id},
	}
	r := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: Path, RawQuery: query.Encode()},
		Host:   peer,
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {protocol}},
	}
	if err := r.Write(c); err != nil {
		return nil, err
	}
	// The limit is that of the reply alone.
	limited := &io.LimitedReader{R: c, N: maxReplyBytes}
	defer func() { limited.N = math.MaxInt64 }()
	buffered := bufio.NewReaderSize(limited, blockBytes)
	resp, err := http.ReadResponse(buffered, r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusSwitchingProtocols {
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
		return nil, fmt.Errorf("status %d, %s: %w", resp.StatusCode, bytes.TrimSpace(reason), refusalOf(resp))
	}
	return buffered, nil
}

// refusalOf returns the error of a reply by which a peer refuses a connection.
func refusalOf(resp *http.Response) error {
	if resp.StatusCode != http.StatusNotFound && resp.StatusCode != http.StatusBadGateway {
		return ErrCarriesNone
	}
	if resp.Header.Get(headerUnreached) != "" {
		return errors.Join(ErrRefused, ErrUnreached)
	}
	return ErrRefused
}

// Conn is a connection to an upstream through a peer.
type Conn struct {
	net.Conn

	r  *bufio.Reader
	id string
	// mu guards the fields below.
	mu sync.Mutex
	// left is the number of bytes that are left of the current block.
	left int
	// err is the error of all further reads.
	err error
}

// ID returns the identifier of the connection in the logs of both routers.
func (c *Conn) ID() string { return c.id }

// Read implements net.Conn. It returns io.EOF only if the upstream has closed the connection,
// and io.ErrUnexpectedEOF if the peer has.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	if c.left == 0 {
		if c.err = c.readHeader(); c.err != nil {
			return 0, c.err
		}
	}
	n, err := c.r.Read(p[:min(len(p), c.left)])
	c.left -= n
	if err != nil {
		c.err = cut(err)
	}
	if n > 0 {
		return n, nil
	}
	return 0, c.err
}

// readHeader reads the header of the next block; io.EOF is its end mark.
func (c *Conn) readHeader() error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(c.r, header[:]); err != nil {
		return cut(err)
	}
	c.left = int(binary.BigEndian.Uint16(header[:]))
	if c.left == 0 {
		return io.EOF
	}
	return nil
}

// cut returns the error of a connection that ended without an end mark.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// peerOf returns the address of a router that asks for a connection, without its port.
func peerOf(remote string) netip.Addr {
	a, err := netip.ParseAddrPort(remote)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}
