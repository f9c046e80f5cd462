package exchanger

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gen/peerpb"
)

const (
	// bufferBytes is the size of the read and write buffers of a connection; little
	// data is sent on one.
	bufferBytes = 4 << 10
	// chunkBytes limits a message received by the server. The chunks of a pull are
	// half as large.
	chunkBytes = 64 << 10
)

// Handler answers the calls of other routers. It must be safe for concurrent use.
type Handler interface {
	// Exchange merges an encoded digest and returns this router's encoded reply.
	Exchange(ctx context.Context, digest []byte) ([]byte, error)
	// Permits handles a message of package permitter from the router at the address of
	// the sender and returns the reply.
	Permits(ctx context.Context, sender string, message []byte) ([]byte, error)
	// Pull returns the encoded tables if they are newer than revision. Otherwise
	// the error wraps ErrNotFound.
	Pull(ctx context.Context, revision int64) ([]byte, error)
}

// Server implements the gRPC service of the peer link. Its exported fields must be
// set before NewGRPC is called.
type Server struct {
	peerpb.UnimplementedPeerServer

	// Handler answers the calls; must not be nil.
	Handler Handler
	// Credentials authenticate both sides; must not be nil.
	Credentials credentials.TransportCredentials
}

// NewGRPC returns a gRPC server with s registered. The caller starts and stops it.
func (s *Server) NewGRPC() *grpc.Server {
	g := grpc.NewServer(
		grpc.Creds(s.Credentials),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.MaxRecvMsgSize(chunkBytes),
	)
	peerpb.RegisterPeerServer(g, s)
	return g
}

// Exchange implements peerpb.PeerServer.
func (s *Server) Exchange(ctx context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	d, err := s.Handler.Exchange(ctx, r.GetDigest())
	if err != nil {
		return nil, toStatus(err)
	}
	return &peerpb.ExchangeReply{Digest: d}, nil
}

// Permits implements peerpb.PeerServer.
func (s *Server) Permits(ctx context.Context, r *peerpb.PermitsRequest) (*peerpb.PermitsReply, error) {
	m, err := s.Handler.Permits(ctx, r.GetSender(), r.GetMessage())
	if err != nil {
		return nil, toStatus(err)
	}
	return &peerpb.PermitsReply{Message: m}, nil
}

// Pull implements peerpb.PeerServer.
func (s *Server) Pull(r *peerpb.PullRequest, stream grpc.ServerStreamingServer[peerpb.PullReply]) error {
	b, err := s.Handler.Pull(stream.Context(), r.GetRevision())
	if err != nil {
		return toStatus(err)
	}
	for len(b) > 0 {
		n := min(len(b), chunkBytes/2)
		if err := stream.Send(&peerpb.PullReply{Chunk: b[:n]}); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// toStatus converts err to a gRPC status error.
func toStatus(err error) error {
	code := codes.Unknown
	switch {
	case errors.Is(err, kingcuphook.ErrInvalid):
		code = codes.InvalidArgument
	case errors.Is(err, kingcuphook.ErrNotFound):
		code = codes.NotFound
	case errors.Is(err, kingcuphook.ErrTooLarge):
		code = codes.ResourceExhausted
	case errors.Is(err, kingcuphook.ErrOverloaded), errors.Is(err, kingcuphook.ErrUnavailable):
		code = codes.Unavailable
	}
	return status.Error(code, err.Error())
}
