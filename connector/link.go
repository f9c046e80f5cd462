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

// link is a connection to the platform.
type link struct {
	conn   *grpc.ClientConn
	client platformpb.PlatformClient
	// lastReply is when the platform last replied on the connection, in
	// nanoseconds of Unix time.
	lastReply atomic.Int64
}

// open returns a new connection. Keepalive pings detect a connection that becomes
// unresponsive while no call is in flight.
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
	l.replied()
	return l, nil
}

// replied records that the platform replied on the connection.
func (l *link) replied() { l.lastReply.Store(time.Now().UnixNano()) }

// unresponsive reports whether there was no reply on the connection for d.
func (l *link) unresponsive(d time.Duration) bool {
	return time.Since(time.Unix(0, l.lastReply.Load())) >= d
}

// callError converts the error of a call; changes reports whether the call modifies
// the store. If the call timed out and the connection is unresponsive, the connection
// is replaced: a connection can stay open without delivering any data while a new one
// would work.
func (c *Connector) callError(ctx context.Context, l *link, op, key string, err error, changes bool) error {
	switch status.Code(err) {
	case codes.DeadlineExceeded:
		if l.unresponsive(c.timeout()) {
			c.replace(l)
		}
	case codes.Canceled, codes.Unavailable:
	default:
		l.replied()
	}
	return &kingcuphook.StoreError{Op: op, Key: key, Err: translator.Sentinel(ctx, err, changes)}
}

// replace opens a new connection for further calls and closes the old one.
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
