// Package exchanger is the gRPC transport between routers, with mutual TLS, for the
// digests of package gossiper and for whole tables. It also encodes and decodes these
// digests.
package exchanger

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gen/peerpb"
)

const (
	defaultTimeout     = 500 * time.Millisecond
	defaultPullTimeout = 10 * time.Second
	defaultMaxConns    = 64
	// maxPullBytes limits the encoded tables received in a pull.
	maxPullBytes = 64 << 20
)

// Client implements kingcuphook.PeerLink. Its exported fields must be set before
// first use. It is safe for concurrent use.
type Client struct {
	// Credentials authenticate both sides; must not be nil.
	Credentials credentials.TransportCredentials
	// Timeout limits the duration of an exchange; 0 means 500 ms.
	Timeout time.Duration
	// PullTimeout limits the duration of a pull; 0 means 10 s.
	PullTimeout time.Duration
	// MaxConns limits the open connections; 0 means 64. At the limit the least
	// recently used connection without calls in flight is closed before another is
	// opened; if all have calls in flight, the limit is exceeded.
	MaxConns int

	mu sync.Mutex
	// conns holds the open connections by address, retired those that get no further calls.
	conns   map[string]*conn
	retired map[*conn]bool
	// uses counts the calls started; it orders the connections by use.
	uses int64
}

type conn struct {
	grpc *grpc.ClientConn
	// lastUse is the value of uses at the latest call.
	lastUse int64
	// calls counts the calls in flight.
	calls int
}

var _ kingcuphook.PeerLink = (*Client)(nil)

// Exchange implements kingcuphook.PeerLink. The error wraps ErrUnavailable,
// ErrInvalid or ErrOutcomeUnknown.
func (c *Client) Exchange(ctx context.Context, address string, digest []byte) ([]byte, error) {
	var reply *peerpb.ExchangeReply
	err := c.call(ctx, "exchange", address, c.timeout(), func(ctx context.Context, peer peerpb.PeerClient) (err error) {
		reply, err = peer.Exchange(ctx, &peerpb.ExchangeRequest{Digest: digest})
		return err
	})
	return reply.GetDigest(), err
}

// Permits implements kingcuphook.PeerLink. The error wraps ErrUnavailable, ErrInvalid or
// ErrOutcomeUnknown.
func (c *Client) Permits(ctx context.Context, address, sender string, message []byte) ([]byte, error) {
	var reply *peerpb.PermitsReply
	err := c.call(ctx, "permits", address, c.timeout(), func(ctx context.Context, peer peerpb.PeerClient) (err error) {
		reply, err = peer.Permits(ctx, &peerpb.PermitsRequest{Sender: sender, Message: message})
		return err
	})
	return reply.GetMessage(), err
}

// Pull implements kingcuphook.PeerLink. The error wraps ErrNotFound if the peer's
// tables are not newer than revision.
func (c *Client) Pull(ctx context.Context, address string, revision int64) ([]byte, error) {
	var tables []byte
	timeout := cmp.Or(c.PullTimeout, defaultPullTimeout)
	err := c.call(ctx, "pull", address, timeout, func(ctx context.Context, peer peerpb.PeerClient) error {
		stream, err := peer.Pull(ctx, &peerpb.PullRequest{Revision: revision})
		if err != nil {
			return err
		}
		tables, err = receiveChunks(stream)
		return err
	})
	if err != nil {
		return nil, err
	}
	return tables, nil
}

// receiveChunks returns the chunks of a pull until its end. They may have maxPullBytes together.
func receiveChunks(stream peerpb.Peer_PullClient) ([]byte, error) {
	var b []byte
	for {
		reply, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
		b = append(b, reply.GetChunk()...)
		if len(b) > maxPullBytes {
			return nil, status.Errorf(codes.ResourceExhausted, "tables exceed %d bytes", maxPullBytes)
		}
	}
}

// timeout returns the timeout of an exchange.
func (c *Client) timeout() time.Duration { return cmp.Or(c.Timeout, defaultTimeout) }

// call runs f with a connection to the peer and returns its error for the operation op.
func (c *Client) call(ctx context.Context, op, address string, timeout time.Duration, f func(context.Context, peerpb.PeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	cc, err := c.acquire(address)
	if err != nil {
		return err
	}
	defer c.release(cc)
	if err := f(ctx, peerpb.NewPeerClient(cc.grpc)); err != nil {
		return c.callError(cc, op, address, err)
	}
	return nil
}

// Close closes all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	errs := make([]error, 0, len(c.conns))
	for _, cc := range c.conns {
		errs = append(errs, cc.grpc.Close())
	}
	for cc := range c.retired {
		errs = append(errs, cc.grpc.Close())
	}
	c.conns, c.retired = nil, nil
	return errors.Join(errs...)
}

// acquire returns the connection to address, creating it if necessary, and counts a
// call in flight on it. The caller must release it.
func (c *Client) acquire(address string) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses++
	cc := c.conns[address]
	if cc == nil {
		g, err := grpc.NewClient("passthrough:///"+address,
			grpc.WithTransportCredentials(c.Credentials),
			grpc.WithReadBufferSize(bufferBytes),
			grpc.WithWriteBufferSize(bufferBytes),
		)
		if err != nil {
			return nil, fmt.Errorf("exchanger: connect to %s: %w", address, errors.Join(kingcuphook.ErrUnavailable, err))
		}
		c.evict()
		cc = &conn{grpc: g}
		if c.conns == nil {
			c.conns = make(map[string]*conn)
		}
		c.conns[address] = cc
	}
	cc.lastUse = c.uses
	cc.calls++
	return cc, nil
}

func (c *Client) release(cc *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.calls--
	if cc.calls == 0 && c.retired[cc] {
		delete(c.retired, cc)
		// Close fails only if the connection is already closed.
		_ = cc.grpc.Close()
	}
}

// callError returns the error for a failed call. If the call timed out, the
// connection is retired so that the next call opens a new one: an established
// connection can stay unresponsive forever although a new one would work.
func (c *Client) callError(cc *conn, op, address string, err error) error {
	if status.Code(err) == codes.DeadlineExceeded {
		c.retire(address, cc)
	}
	return fromStatus(op, address, err)
}

// retire gives a connection no further calls. It is closed once those in flight have ended,
// which may have longer timeouts.
func (c *Client) retire(address string, cc *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] != cc {
		return
	}
	delete(c.conns, address)
	if c.retired == nil {
		c.retired = make(map[*conn]bool)
	}
	c.retired[cc] = true
}

// evict closes the least recently used idle connection if MaxConns is reached.
func (c *Client) evict() {
	limit := c.MaxConns
	if limit == 0 {
		limit = defaultMaxConns
	}
	if len(c.conns) < limit {
		return
	}
	oldest := ""
	for a, cc := range c.conns {
		if cc.calls == 0 && (oldest == "" || cc.lastUse < c.conns[oldest].lastUse) {
			oldest = a
		}
	}
	if oldest != "" {
		// Close fails only if the connection is already closed.
		_ = c.conns[oldest].grpc.Close()
		delete(c.conns, oldest)
	}
}

// fromStatus converts a gRPC error into one that wraps the corresponding error of
// package kingcuphook.
func fromStatus(op, address string, err error) error {
	cause := kingcuphook.ErrOutcomeUnknown
	switch status.Code(err) {
	case codes.InvalidArgument:
		cause = kingcuphook.ErrInvalid
	case codes.NotFound:
		cause = kingcuphook.ErrNotFound
	case codes.ResourceExhausted:
		cause = kingcuphook.ErrTooLarge
	case codes.Unavailable:
		cause = kingcuphook.ErrUnavailable
	}
	return fmt.Errorf("exchanger: %s with %s: %w: %w", op, address, cause, err)
}
