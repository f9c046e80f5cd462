package connector

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/forwarder"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

// connect serves the store over gRPC and returns a client that is connected to it.
func connect(t *testing.T, store *storer.Store) *Connector {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	(&storer.Server{Store: store}).Register(g)
	go func() { _ = g.Serve(l) }()
	t.Cleanup(g.Stop)
	c := &Connector{Address: l.Addr().String()}
	if err := c.Connect(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// The results of the store, values as well as errors, must be the same through gRPC.
func TestResultsAreTheSameThroughGRPC(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &storer.Store{}
	store.SetVMs([]kingcuphook.VM{kingcuphook.NewVM("127.0.0.1:1", "cairo", "cairo-1", kingcuphook.VMStateLive)})
	c := connect(t, store)

	_, err := c.Get(ctx, "a")
	is.True(errors.Is(err, kingcuphook.ErrNotFound))
	revision, err := c.Put(ctx, "a", []byte("1"), kingcuphook.RevisionAbsent, 0)
	is.NoErr(err)
	_, err = c.Put(ctx, "a", []byte("2"), kingcuphook.RevisionAbsent, 0)
	is.True(errors.Is(err, kingcuphook.ErrConflict))
	entries, _, err := c.Watch(ctx, "a", revision-1)
	is.NoErr(err)
	is.Equal(len(entries), 1)
	is.NoErr(c.Delete(ctx, "a", revision))
	vms, err := c.VMs(ctx)
	is.NoErr(err)
	is.Equal(vms[0].Region(), "cairo")
}

// A connection can stay open without delivering any data. A call that times out on
// such a connection must replace it.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := &forwarder.Forwarder{Target: connect(t, &storer.Store{}).Address}
	address, err := f.Listen()
	is.NoErr(err)
	defer func() { _ = f.Close() }()
	c := &Connector{Address: address, Timeout: 100 * time.Millisecond}
	is.NoErr(c.Connect())
	defer func() { _ = c.Close() }()
	_, err = c.Put(ctx, "a", nil, kingcuphook.RevisionAny, 0)
	is.NoErr(err)

	f.Blackhole()
	_, err = c.Put(ctx, "a", nil, kingcuphook.RevisionAny, 0)
	is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown))
	_, err = c.Get(ctx, "a") // on a new connection
	is.NoErr(err)
	is.Equal(f.Opened(), 2)
}

// An outage changes nothing in the store; after a lost reply, a write may have taken
// effect. The errors must differ.
func TestOutageDiffersFromLostReply(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &storer.Store{}
	c := connect(t, store)
	store.SetFault(storer.Fault{Down: true})
	_, err := c.Put(ctx, "a", nil, kingcuphook.RevisionAny, 0)
	is.True(errors.Is(err, kingcuphook.ErrUnavailable))
	store.SetFault(storer.Fault{LoseReply: true})
	_, err = c.Put(ctx, "a", nil, kingcuphook.RevisionAny, 0)
	is.True(errors.Is(err, kingcuphook.ErrOutcomeUnknown))
}
