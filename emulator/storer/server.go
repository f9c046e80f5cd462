package storer

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gen/platformpb"
	"github.com/kingcuphook/kingcuphook/translator"
)

// Server serves a Store over the platform's gRPC API.
type Server struct {
	platformpb.UnimplementedPlatformServer

	// Store is the store to serve; it must be set before Register.
	Store *Store
}

// Register registers the service with a gRPC server.
func (s *Server) Register(g *grpc.Server) { platformpb.RegisterPlatformServer(g, s) }

// Get implements platformpb.PlatformServer.
func (s *Server) Get(ctx context.Context, r *platformpb.GetRequest) (*platformpb.GetReply, error) {
	e, err := s.Store.Get(ctx, r.GetKey())
	if err != nil {
		return nil, translator.Status(err)
	}
	return &platformpb.GetReply{Entry: encodeEntry(e)}, nil
}

// List implements platformpb.PlatformServer.
func (s *Server) List(ctx context.Context, r *platformpb.ListRequest) (*platformpb.ListReply, error) {
	entries, err := s.Store.List(ctx, r.GetPrefix())
	if err != nil {
		return nil, translator.Status(err)
	}
	return &platformpb.ListReply{Entries: encodeEntries(entries)}, nil
}

// Put implements platformpb.PlatformServer.
func (s *Server) Put(ctx context.Context, r *platformpb.PutRequest) (*platformpb.PutReply, error) {
	lease := kingcuphook.LeaseID(r.GetLease())
	revision, err := s.Store.Put(ctx, r.GetKey(), r.GetValue(), r.GetExpect(), lease)
	if err != nil {
		return nil, translator.Status(err)
	}
	return &platformpb.PutReply{Revision: revision}, nil
}

// Delete implements platformpb.PlatformServer.
func (s *Server) Delete(ctx context.Context, r *platformpb.DeleteRequest) (*platformpb.DeleteReply, error) {
	if err := s.Store.Delete(ctx, r.GetKey(), r.GetExpect()); err != nil {
		return nil, translator.Status(err)
	}
	return &platformpb.DeleteReply{}, nil
}

// Watch implements platformpb.PlatformServer.
func (s *Server) Watch(ctx context.Context, r *platformpb.WatchRequest) (*platformpb.WatchReply, error) {
	entries, revision, err := s.Store.Watch(ctx, r.GetPrefix(), r.GetAfter())
	if err != nil {
		return nil, translator.Status(err)
	}
	return &platformpb.WatchReply{Entries: encodeEntries(entries), Revision: revision}, nil
}

// Grant implements platformpb.PlatformServer.
func (s *Server) Grant(ctx context.Context, r *platformpb.GrantRequest) (*platformpb.GrantReply, error) {
	id, err := s.Store.Grant(ctx, time.Duration(r.GetTtlMilliseconds())*time.Millisecond)
	if err != nil {
		return nil, translator.Status(err)
	}
	return &platformpb.GrantReply{Lease: int64(id)}, nil
}

// KeepAlive implements platformpb.PlatformServer.
func (s *Server) KeepAlive(ctx context.Context, r *platformpb.KeepAliveRequest) (*platformpb.KeepAliveReply, error) {
	if err := s.Store.KeepAlive(ctx, kingcuphook.LeaseID(r.GetLease())); err != nil {
		return nil, translator.Status(err)
	}
	return &platformpb.KeepAliveReply{}, nil
}

// Revoke implements platformpb.PlatformServer.
func (s *Server) Revoke(ctx context.Context, r *platformpb.RevokeRequest) (*platformpb.RevokeReply, error) {
	if err := s.Store.Revoke(ctx, kingcuphook.LeaseID(r.GetLease())); err != nil {
		return nil, translator.Status(err)
	}
	return &platformpb.RevokeReply{}, nil
}

// ListVMs implements platformpb.PlatformServer.
func (s *Server) ListVMs(ctx context.Context, _ *platformpb.ListVMsRequest) (*platformpb.ListVMsReply, error) {
	vms, err := s.Store.VMs(ctx)
	if err != nil {
		return nil, translator.Status(err)
	}
	reply := &platformpb.ListVMsReply{}
	for _, vm := range vms {
		reply.Vms = append(reply.Vms, &platformpb.VM{
			Address:    vm.Address(),
			Region:     vm.Region(),
			DataCentre: vm.DataCentre(),
			State:      string(vm.State()),
		})
	}
	return reply, nil
}

func encodeEntry(e kingcuphook.Entry) *platformpb.Entry {
	return &platformpb.Entry{
		Key:      e.Key(),
		Value:    e.Value(),
		Revision: e.Revision(),
		Deleted:  e.Deleted(),
	}
}

func encodeEntries(entries []kingcuphook.Entry) []*platformpb.Entry {
	encoded := make([]*platformpb.Entry, 0, len(entries))
	for _, e := range entries {
		encoded = append(encoded, encodeEntry(e))
	}
	return encoded
}
