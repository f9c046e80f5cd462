// Package connector is the adapter to the platform: its key-value service and
// its list of VMs, over gRPC.
package connector

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gen/platformpb"
	"github.com/kingcuphook/kingcuphook/translator"
)

// Defaults of Connector.
const (
	defaultTimeout = 2 * time.Second
	// watchMargin is how much longer a watch may take than it waits.
	watchMargin   = 5 * time.Second
	watchWait     = 10 * time.Second
	pingInterval  = 10 * time.Second
	pingTimeout   = 2 * time.Second
	messageMargin = 64 << 10
	// maxMessageBytes bounds a reply; a list may hold many values.
	maxMessageBytes = 64*kingcuphook.MaxValueBytes + messageMargin
)

// Connector calls the platform. It is safe for concurrent use after Connect.
type Connector struct {
	// Address is the IP number and port of the platform.
	Address string
	// Timeout bounds each call but a watch; 0 means 2 s.
	Timeout time.Duration
	// Credentials secure the connection; nil means plain text.
	Credentials credentials.TransportCredentials

	conn   *grpc.ClientConn
	client platformpb.PlatformClient
}

var (
	_ kingcuphook.Store    = (*Connector)(nil)
	_ kingcuphook.VMLister = (*Connector)(nil)
)

// Connect prepares the connection; it is opened by the first call and again
// whenever it breaks. Pings find a connection that has gone silent.
func (c *Connector) Connect() error {
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
		return fmt.Errorf("connector: %w", err)
	}
	c.conn = conn
	c.client = platformpb.NewPlatformClient(conn)
	return nil
}

// Close closes the connection.
func (c *Connector) Close() error { return c.conn.Close() }

// Get implements kingcuphook.Store.
func (c *Connector) Get(ctx context.Context, key string) (kingcuphook.Entry, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	reply, err := c.client.Get(ctx, &platformpb.GetRequest{Key: key})
	if err != nil {
		return kingcuphook.Entry{}, storeError(ctx, "get", key, err, false)
	}
	return decodeEntry(reply.GetEntry()), nil
}

// List implements kingcuphook.Store.
func (c *Connector) List(ctx context.Context, prefix string) ([]kingcuphook.Entry, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	reply, err := c.client.List(ctx, &platformpb.ListRequest{Prefix: prefix})
	if err != nil {
		return nil, storeError(ctx, "list", prefix, err, false)
	}
	return decodeEntries(reply.GetEntries()), nil
}

// Put implements kingcuphook.Store.
func (c *Connector) Put(ctx context.Context, key string, value []byte, expect int64, lease kingcuphook.LeaseID) (int64, error) {
	if len(value) > kingcuphook.MaxValueBytes {
		return 0, &kingcuphook.StoreError{Op: "put", Key: key, Err: kingcuphook.ErrTooLarge}
	}
	ctx, cancel := c.bound(ctx)
	defer cancel()
	reply, err := c.client.Put(ctx, &platformpb.PutRequest{Key: key, Value: value, Expect: expect, Lease: int64(lease)})
	if err != nil {
		return 0, storeError(ctx, "put", key, err, true)
	}
	return reply.GetRevision(), nil
}

// Delete implements kingcuphook.Store.
func (c *Connector) Delete(ctx context.Context, key string, expect int64) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	_, err := c.client.Delete(ctx, &platformpb.DeleteRequest{Key: key, Expect: expect})
	if err != nil {
		return storeError(ctx, "delete", key, err, true)
	}
	return nil
}

// Watch implements kingcuphook.Store.
func (c *Connector) Watch(ctx context.Context, prefix string, after int64) ([]kingcuphook.Entry, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	reply, err := c.client.Watch(ctx, &platformpb.WatchRequest{
		Prefix:           prefix,
		After:            after,
		WaitMilliseconds: watchWait.Milliseconds(),
	})
	if err != nil {
		return nil, 0, storeError(ctx, "watch", prefix, err, false)
	}
	return decodeEntries(reply.GetEntries()), reply.GetRevision(), nil
}

// Grant implements kingcuphook.Store.
func (c *Connector) Grant(ctx context.Context, ttl time.Duration) (kingcuphook.LeaseID, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	reply, err := c.client.Grant(ctx, &platformpb.GrantRequest{TtlMilliseconds: ttl.Milliseconds()})
	if err != nil {
		return 0, storeError(ctx, "grant", "", err, true)
	}
	return kingcuphook.LeaseID(reply.GetLease()), nil
}

// KeepAlive implements kingcuphook.Store.
func (c *Connector) KeepAlive(ctx context.Context, id kingcuphook.LeaseID) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	_, err := c.client.KeepAlive(ctx, &platformpb.KeepAliveRequest{Lease: int64(id)})
	if err != nil {
		return storeError(ctx, "keep-alive", "", err, true)
	}
	return nil
}

// Revoke implements kingcuphook.Store.
func (c *Connector) Revoke(ctx context.Context, id kingcuphook.LeaseID) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	_, err := c.client.Revoke(ctx, &platformpb.RevokeRequest{Lease: int64(id)})
	if err != nil {
		return storeError(ctx, "revoke", "", err, true)
	}
	return nil
}

// VMs implements kingcuphook.VMLister.
func (c *Connector) VMs(ctx context.Context) ([]kingcuphook.VM, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	reply, err := c.client.ListVMs(ctx, &platformpb.ListVMsRequest{})
	if err != nil {
		return nil, storeError(ctx, "vms", "", err, false)
	}
	vms := make([]kingcuphook.VM, 0, len(reply.GetVms()))
	for _, vm := range reply.GetVms() {
		vms = append(vms, kingcuphook.NewVM(vm.GetAddress(), vm.GetRegion(), vm.GetDataCentre(), kingcuphook.VMState(vm.GetState())))
	}
	return vms, nil
}

func (c *Connector) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

func storeError(ctx context.Context, op, key string, err error, changes bool) error {
	return &kingcuphook.StoreError{Op: op, Key: key, Err: translator.Sentinel(ctx, err, changes)}
}

func decodeEntry(e *platformpb.Entry) kingcuphook.Entry {
	return kingcuphook.NewEntry(e.GetKey(), e.GetValue(), e.GetRevision(), e.GetDeleted())
}

func decodeEntries(encoded []*platformpb.Entry) []kingcuphook.Entry {
	entries := make([]kingcuphook.Entry, 0, len(encoded))
	for _, e := range encoded {
		entries = append(entries, decodeEntry(e))
	}
	return entries
}
