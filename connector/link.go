package connector

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gen/platformpb"
	"github.com/kingcuphook/kingcuphook/translator"
)

// link is one connection to the platform.
type link struct {
	conn   *grpc.ClientConn
	client platformpb.PlatformClient
	// heard is when the platform last answered on the connection, in
	// nanoseconds of Unix time.
	heard atomic.Int64
}

// open returns a new connection. Pings find one that has gone silent while
// nothing is called.
func (c *Connector) open() (*link, error) {
	creds := c.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient("passthrough:///"+c.Address,
		grpc.WithTransportCredentials(creds),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:                pingInterval,
			Timeout:             pingTimeout,
			PermitWithoutStream: true,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
	)
	if err != nil {
		return nil, fmt.Errorf("connector: %w", err)
	}
	l := &link{conn: conn, client: platformpb.NewPlatformClient(conn)}
	l.answered()
	return l, nil
}

// answered notes a sign of life.
func (l *link) answered() { l.heard.Store(time.Now().UnixNano()) }

// silent reports whether nothing was heard on the connection for d.
func (l *link) silent(d time.Duration) bool {
	return time.Since(time.Unix(0, l.heard.Load())) >= d
}

// failed returns the error of a call. A call that timed out on a connection on
// which nothing is heard replaces it, since an open connection can stay silent
// forever although a new one would work.
func (c *Connector) failed(ctx context.Context, l *link, op, key string, err error, changes bool) error {
	switch status.Code(err) {
	case codes.DeadlineExceeded:
		if l.silent(c.timeout()) {
			c.replace(l)
		}
	case codes.Canceled, codes.Unavailable:
	default:
		l.answered()
	}
	return &kingcuphook.StoreError{Op: op, Key: key, Err: translator.Sentinel(ctx, err, changes)}
}

// replace lets further calls use a new connection and closes the old one.
func (c *Connector) replace(old *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Load() != old {
		return
	}
	l, err := c.open()
	if err != nil {
		return
	}
	c.current.Store(l)
	_ = old.conn.Close()
}
