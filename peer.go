package kingcuphook

import "context"

// PeerLink exchanges messages with other routers. Package exchanger encodes the
// payload.
type PeerLink interface {
	// Exchange sends a digest to a peer and returns the digest of the peer.
	Exchange(ctx context.Context, address string, digest []byte) ([]byte, error)
	// Permits sends a message of package permitter to a peer and returns its reply. The
	// sender is the address of this router.
	Permits(ctx context.Context, address, sender string, message []byte) ([]byte, error)
	// Pull returns the tables of a peer, encoded as an update from the given
	// revision. The error wraps ErrNotFound if the peer has no newer revision.
	Pull(ctx context.Context, address string, revision int64) ([]byte, error)
}
