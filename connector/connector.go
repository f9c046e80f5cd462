// Package connector is the gRPC client of the platform that package router runs on: its
// key-value store and its list of VMs. Package platform accesses the users' host platform.
package connector

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gen/platformpb"
)

// Timeouts and bounds of Connector.
const (
	defaultTimeout = 2 * time.Second
	// watchMargin is the time that a watch call may take beyond watchWait, the time
	// that the platform waits for a change.
	watchMargin   = 5 * time.Second
	watchWait     = 10 * time.Second
	pingInterval  = 10 * time.Second
	pingTimeout   = 2 * time.Second
	messageMargin = 64 << 10
	// maxMessageBytes bounds a reply; a list reply may hold many values.
	maxMessageBytes = 64*kingcuphook.MaxValueBytes + messageMargin
)

// Connector calls the platform. It is safe for concurrent use after Connect.
type Connector struct {
	// Address is the IP address and port of the platform.
	Address string
	// Timeout bounds each call except watches; 0 means 2 s.
	Timeout time.Duration
	// Credentials secure the connection; nil means plaintext.
	Credentials credentials.TransportCredentials

	// current is the connection that new calls use; never nil after Connect.
	current atomic.Pointer[link]
	// mu guards the replacement of current.
	mu sync.Mutex
}

var (
	_ kingcuphook.Store    = (*Connector)(nil)
	_ kingcuphook.VMLister = (*Connector)(nil)
)

// Connect prepares the connection. The first call opens it, and it is opened again
// whenever it breaks.
func (c *Connector) Connect() error {
	l, err := c.open()
	if err != nil {
		return err
	}
	c.current.Store(l)
	return nil
}

// Close closes the connection.
func (c *Connector) Close() error { return c.current.Load().conn.Close() }

// Get implements kingcuphook.Store.
func (c *Connector) Get(ctx context.Context, key string) (kingcuphook.Entry, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	l := c.current.Load()
	reply, err := l.client.Get(ctx, &platformpb.GetRequest{Key: key})
	if err != nil {
		return kingcuphook.Entry{}, c.callError(ctx, l, "get", key, err, false)
	}
	l.replied()
	return decodeEntry(reply.GetEntry()), nil
}

// List implements kingcuphook.Store.
func (c *Connector) List(ctx context.Context, prefix string) ([]kingcuphook.Entry, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	l := c.current.Load()
	reply, err := l.client.List(ctx, &platformpb.ListRequest{Prefix: prefix})
	if err != nil {
		return nil, c.callError(ctx, l, "list", prefix, err, false)
	}
	l.replied()
	return decodeEntries(reply.GetEntries()), nil
}

// Put implements kingcuphook.Store.
func (c *Connector) Put(ctx context.Context, key string, value []byte, expect int64, lease kingcuphook.LeaseID) (int64, error) {
	if len(value) > kingcuphook.MaxValueBytes {
		return 0, &kingcuphook.StoreError{Op: "put", Key: key, Err: kingcuphook.ErrTooLarge}
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	l := c.current.Load()
	reply, err := l.client.Put(ctx, &platformpb.PutRequest{Key: key, Value: value, Expect: expect, Lease: int64(lease)})
	if err != nil {
		return 0, c.callError(ctx, l, "put", key, err, true)
	}
	l.replied()
	return reply.GetRevision(), nil
}

// Delete implements kingcuphook.Store.
func (c *Connector) Delete(ctx context.Context, key string, expect int64) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	l := c.current.Load()
	_, err := l.client.Delete(ctx, &platformpb.DeleteRequest{Key: key, Expect: expect})
	if err != nil {
		return c.callError(ctx, l, "delete", key, err, true)
	}
	l.replied()
	return nil
}

// Watch implements kingcuphook.Store.
func (c *Connector) Watch(ctx context.Context, prefix string, after int64) ([]kingcuphook.Entry, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	l := c.current.Load()
	reply, err := l.client.Watch(ctx, &platformpb.WatchRequest{
		Prefix:           prefix,
		After:            after,
		WaitMilliseconds: watchWait.Milliseconds(),
	})
	if err != nil {
		return nil, 0, c.callError(ctx, l, "watch", prefix, err, false)
	}
	l.replied()
	return decodeEntries(reply.GetEntries()), reply.GetRevision(), nil
}

// Grant implements kingcuphook.Store.
func (c *Connector) Grant(ctx context.Context, ttl time.Duration) (kingcuphook.LeaseID, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	l := c.current.Load()
	reply, err := l.client.Grant(ctx, &platformpb.GrantRequest{TtlMilliseconds: ttl.Milliseconds()})
	if err != nil {
		return 0, c.callError(ctx, l, "grant", "", err, true)
	}
	l.replied()
	return kingcuphook.LeaseID(reply.GetLease()), nil
}

// KeepAlive implements kingcuphook.Store.
func (c *Connector) KeepAlive(ctx context.Context, id kingcuphook.LeaseID) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	l := c.current.Load()
	_, err := l.client.KeepAlive(ctx, &platformpb.KeepAliveRequest{Lease: int64(id)})
	if err != nil {
		return c.callError(ctx, l, "keep-alive", "", err, true)
	}
	l.replied()
	return nil
}

// Revoke implements kingcuphook.Store.
func (c *Connector) Revoke(ctx context.Context, id kingcuphook.LeaseID) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	l := c.current.Load()
	_, err := l.client.Revoke(ctx, &platformpb.RevokeRequest{Lease: int64(id)})
	if err != nil {
		return c.callError(ctx, l, "revoke", "", err, true)
	}
	l.replied()
	return nil
}

// VMs implements kingcuphook.VMLister.
func (c *Connector) VMs(ctx context.Context) ([]kingcuphook.VM, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	l := c.current.Load()
	reply, err := l.client.ListVMs(ctx, &platformpb.ListVMsRequest{})
	if err != nil {
		return nil, c.callError(ctx, l, "vms", "", err, false)
	}
	l.replied()
	vms := make([]kingcuphook.VM, 0, len(reply.GetVms()))
	for _, vm := range reply.GetVms() {
		vms = append(vms, kingcuphook.NewVM(vm.GetAddress(), vm.GetRegion(), vm.GetDataCentre(), kingcuphook.VMState(vm.GetState())))
	}
	return vms, nil
}

func (c *Connector) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout())
}

func (c *Connector) timeout() time.Duration {
	if c.Timeout == 0 {
		return defaultTimeout
	}
	return c.Timeout
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
