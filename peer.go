package kingcuphook

import "context"

// PeerLink exchanges messages with the other routers. The payload is encoded
// by package exchanger.
type PeerLink interface {
	// Exchange sends a digest to a peer and returns its digest.
	Exchange(ctx context.Context, address string, digest []byte) ([]byte, error)
	// Pull returns the tables of a peer if they are newer than revision.
	Pull(ctx context.Context, address string, revision int64) ([]byte, error)
}
